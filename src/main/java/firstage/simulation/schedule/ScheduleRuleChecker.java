package firstage.simulation.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks the messages between clients, one manager and engines against the rules, without reading
 * any state of the manager. The rules have the numbers of {@link firstage.simulation.RuleChecker};
 * rule 4 (cold engines) is not checked. Times are ticks.
 *
 * <ul>
 *   <li>Rule 1: each request gets one final answer, in time.
 *   <li>Rule 2: no non-idempotent request runs twice, and none is rejected that may have run.
 *       Without hedged requests, no request has two attempts at engines at a time.
 *   <li>Rule 3: no statement is sent to a draining engine after the grace period.
 *   <li>Rule 5: no request reaches an engine while an earlier request of its ordering key is open,
 *       or while another request of the key may run.
 *   <li>Unnumbered: no statement is sent more than 0.3 s after its client was last present.
 * </ul>
 */
public final class ScheduleRuleChecker {
    /** Time after the deadline of a request within which its answer counts as in time. */
    private static final long ANSWER_SLACK = 500;

    /** Longest time after the start of a client's absence at which its statement may be sent. */
    private static final long MAX_SEND_DELAY_AFTER_ABSENCE = 3_000;

    /** Messages observed for one request. */
    private static final class ObservedRequest {
        private final int id;
        private final int managerIncarnation;
        private final int orderingKey;
        private final boolean nonIdempotent;
        private final long arrivedAt;
        private final long deadline;
        private int answerCount;
        private boolean completed;
        private boolean answerWaived;

        /** Time since which the client is absent; negative while it is present. */
        private long absentSince = -1;

        private int runCount;

        /** Number of runs at engines now. */
        private int runningCount;

        private ObservedRequest(
                int id,
                int orderingKey,
                boolean nonIdempotent,
                long arrivedAt,
                long deadline,
                int managerIncarnation) {
            this.id = id;
            this.managerIncarnation = managerIncarnation;
            this.orderingKey = orderingKey;
            this.nonIdempotent = nonIdempotent;
            this.arrivedAt = arrivedAt;
            this.deadline = deadline;
        }
    }

    private final boolean attemptsMayOverlap;
    private final List<String> violations = new ArrayList<>();
    private final Map<Integer, ObservedRequest> requests = new HashMap<>();

    /** Requests of each ordering key, in the order in which their last bytes arrived. */
    private final Map<Integer, List<ObservedRequest>> requestsByKey = new HashMap<>();

    /** Requests of each ordering key that run at engines now, listed once for each run. */
    private final Map<Integer, List<ObservedRequest>> runningByKey = new HashMap<>();

    /** Number of managers that were killed before the current one. */
    private int incarnation;

    /**
     * Total time for which the manager's thread was stalled. {@link #ANSWER_SLACK} and {@link
     * #MAX_SEND_DELAY_AFTER_ABSENCE} are extended by it, because a stalled manager can't act.
     */
    private long totalStall;

    /**
     * Creates a checker.
     *
     * @param attemptsMayOverlap whether a request may have several attempts at a time
     */
    public ScheduleRuleChecker(boolean attemptsMayOverlap) {
        this.attemptsMayOverlap = attemptsMayOverlap;
    }

    /**
     * Records that the last byte of a request reached the machine; {@code orderingKey} is -1 for a
     * request without one.
     */
    public void onArrived(
            long now, int requestId, int orderingKey, boolean nonIdempotent, long deadline) {
        ObservedRequest request =
                new ObservedRequest(
                        requestId, orderingKey, nonIdempotent, now, deadline, incarnation);
        requests.put(requestId, request);
        if (orderingKey >= 0) {
            requestsByKey.computeIfAbsent(orderingKey, absentKey -> new ArrayList<>()).add(request);
        }
    }

    /** Records a stall of the manager's thread. */
    public void onStalled(long length) {
        totalStall += length;
    }

    /**
     * Records that the manager determined the outcome of a request; a client that is waiting gets
     * its answer at once.
     */
    public void onCompleted(long now, int requestId, boolean rejected) {
        ObservedRequest request = requests.get(requestId);
        if (!request.answerWaived && now > request.deadline + ANSWER_SLACK + totalStall) {
            recordViolation(now, 1, request, "answered too late");
        }
        if (rejected && request.nonIdempotent && request.runCount > 0) {
            recordViolation(now, 2, request, "rejected although it may have run");
        }
        request.completed = true;
    }

    /** Records that the client received its answer. */
    public void onAnswered(long now, int requestId) {
        ObservedRequest request = requests.get(requestId);
        request.answerCount++;
        if (request.answerCount > 1) {
            recordViolation(now, 1, request, "answered " + request.answerCount + " times");
        }
    }

    /**
     * Records that the manager was killed: its open requests need no answer, and the next manager
     * tracks the order of each key from scratch.
     */
    public void onManagerKilled() {
        requests.values().stream()
                .filter(request -> request.answerCount == 0)
                .forEach(request -> onClientLeft(request.id));
        requestsByKey.clear();
        runningByKey.clear();
        incarnation++;
    }

    /** Returns the number of managers that were killed before the current one. */
    public int incarnation() {
        return incarnation;
    }

    /** Records that the client left for good, so that its request needs no answer. */
    public void onClientLeft(int requestId) {
        ObservedRequest request = requests.get(requestId);
        request.answerWaived = true;
        request.completed = true;
    }

    /** Records that the client is absent, temporarily or for good. */
    public void onClientAbsent(long now, int requestId) {
        requests.get(requestId).absentSince = now;
    }

    public void onClientPresent(int requestId) {
        requests.get(requestId).absentSince = -1;
    }

    /** Records that a statement is written to a connection. */
    public void onStatementSent(long now, int requestId) {
        ObservedRequest request = requests.get(requestId);
        if (request.absentSince >= 0
                && now - request.absentSince > MAX_SEND_DELAY_AFTER_ABSENCE + totalStall) {
            violations.add(
                    "at tick "
                            + now
                            + ": batch "
                            + request.id
                            + " was sent "
                            + (now - request.absentSince)
                            + " ticks after its client left");
        }
    }

    /**
     * Records that an engine received a whole statement and starts to run it.
     *
     * @param sentSinceDrain time from the engine's drain notice to the send; negative if the
     *     manager had no such notice
     */
    public void onRunStarted(long now, int requestId, long sentSinceDrain, long drainGrace) {
        ObservedRequest request = requests.get(requestId);
        if (sentSinceDrain > drainGrace) {
            recordViolation(
                    now, 3, request, "sent " + sentSinceDrain + " ticks after the drain notice");
        }
        if (request.nonIdempotent && request.runCount > 0) {
            recordViolation(now, 2, request, "runs again");
        }
        if (!attemptsMayOverlap && request.runningCount > 0) {
            recordViolation(now, 2, request, "runs beside another attempt of its own");
        }
        request.runCount++;
        request.runningCount++;
        if (request.orderingKey < 0 || request.managerIncarnation != incarnation) {
            return;
        }
        // Rule 5 does not apply between attempts of one request: retries and hedged requests.
        List<ObservedRequest> running =
                runningByKey.computeIfAbsent(request.orderingKey, absentKey -> new ArrayList<>());
        for (ObservedRequest other : running) {
            if (other != request) {
                recordViolation(now, 5, request, "runs concurrently with batch " + other.id);
            }
        }
        running.add(request);
        for (ObservedRequest earlier : requestsByKey.get(request.orderingKey)) {
            if (earlier.arrivedAt >= request.arrivedAt) {
                break;
            }
            if (!earlier.completed) {
                recordViolation(
                        now,
                        5,
                        request,
                        "runs before batch "
                                + earlier.id
                                + ", which arrived "
                                + (request.arrivedAt - earlier.arrivedAt)
                                + " ticks earlier");
            }
        }
    }

    /**
     * Records that a run ended at its engine: it completed, was deleted or expired, or the engine
     * went down.
     */
    public void onRunEnded(int requestId) {
        ObservedRequest request = requests.get(requestId);
        request.runningCount--;
        if (request.orderingKey >= 0 && request.managerIncarnation == incarnation) {
            runningByKey.get(request.orderingKey).remove(request);
        }
    }

    /** Records a violation for each request that lacks an answer at the end of the schedule. */
    public void checkAllAnswered(long now) {
        for (ObservedRequest request : requests.values()) {
            if (request.answerCount == 0 && !request.answerWaived) {
                recordViolation(now, 1, request, "never answered");
            }
        }
    }

    /** Records a broken invariant of the manager, such as state left over at the end. */
    public void recordInvariantViolation(String description) {
        violations.add("invariant not kept: " + description);
    }

    private void recordViolation(long now, int rule, ObservedRequest request, String description) {
        violations.add(
                "rule "
                        + rule
                        + " at tick "
                        + now
                        + ": batch "
                        + request.id
                        + " (key "
                        + request.orderingKey
                        + ") "
                        + description);
    }

    public List<String> violations() {
        return violations;
    }
}
