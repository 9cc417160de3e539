package firstage.bench;

import firstage.config.WireFields;
import firstage.policy.api.PolicyActions;
import java.util.Base64;

/**
 * Writes the actions of one manager: each becomes a line of the reply, in the order of the calls.
 * Releases free the indices of the simulator's ids.
 */
final class BenchActionWriter implements PolicyActions {
    private final String manager;
    private final BenchIds ids;
    private final StringBuilder lines = new StringBuilder();

    /** Creates a writer for the manager with this number on the wire. */
    BenchActionWriter(String manager, BenchIds ids) {
        this.manager = manager;
        this.ids = ids;
    }

    /** Returns the lines written since the last call. */
    String takeLines() {
        String taken = lines.toString();
        lines.setLength(0);
        return taken;
    }

    /** Sends bytes to all peers. */
    void messagePeers(byte[] payload) {
        start(BenchWire.MESSAGE_PEERS);
        field(BenchWire.RECEIVER, BenchWire.ALL_PEERS);
        field(BenchWire.PAYLOAD, Base64.getEncoder().encodeToString(payload));
        end();
    }

    @Override
    public void setGrantAndPriority(int request, int grantMb, int priority) {
        start(BenchWire.SET_GRANT_AND_PRIORITY, request);
        field(BenchWire.GRANT_MB, grantMb);
        field(BenchWire.PRIORITY, priority);
        end();
    }

    @Override
    public void startAttempt(int request, int engine, long timeout) {
        start(BenchWire.START_ATTEMPT, request);
        field(BenchWire.ENGINE, ids.engines().idOf(engine));
        field(BenchWire.ATTEMPT_TIMEOUT, WireFields.formatSeconds(timeout));
        end();
    }

    @Override
    public void cancelAttempt(int request, int attempt) {
        start(BenchWire.CANCEL_ATTEMPT, request);
        field(BenchWire.ATTEMPT, attempt);
        end();
    }

    @Override
    public void reject(int request, long retryAfter) {
        start(BenchWire.REJECT_REQUEST, request);
        field(BenchWire.RETRY_AFTER, WireFields.formatSeconds(retryAfter));
        end();
    }

    @Override
    public void fail(int request) {
        start(BenchWire.FAIL_REQUEST, request);
        end();
    }

    @Override
    public void releaseRequest(int request) {
        ids.requests().release(request);
    }

    @Override
    public void releaseKey(int orderingKey) {
        ids.orderingKeys().release(orderingKey);
    }

    @Override
    public void releaseEngine(int engine) {
        ids.engines().release(engine);
    }

    @Override
    public void probeEngine(int engine) {
        start(BenchWire.PROBE_ENGINE);
        field(BenchWire.ENGINE, ids.engines().idOf(engine));
        end();
    }

    @Override
    public void subscribeToEndpoints() {
        start(BenchWire.SUBSCRIBE);
        field(BenchWire.ENABLED, 1);
        end();
    }

    @Override
    public void scheduleWakeUp(long delay, long token) {
        start(BenchWire.SCHEDULE_WAKE_UP);
        field(BenchWire.TIMER_DELAY, WireFields.formatSeconds(delay));
        field(BenchWire.TIMER_TOKEN, token);
        end();
    }

    @Override
    public void log(String text) {
        start(BenchWire.LOG);
        field(BenchWire.TEXT, text);
        end();
    }

    private void start(String action) {
        lines.append(action).append(' ').append(BenchWire.MANAGER).append('=').append(manager);
    }

    private void start(String action, int request) {
        start(action);
        field(BenchWire.REQUEST, ids.requests().idOf(request));
    }

    private void field(String name, Object value) {
        lines.append(' ').append(name).append('=').append(value);
    }

    private void field(String name, long value) {
        lines.append(' ').append(name).append('=').append(value);
    }

    private void end() {
        lines.append('\n');
    }
}
