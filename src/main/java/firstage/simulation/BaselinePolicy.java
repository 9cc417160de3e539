package firstage.simulation;

import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
import firstage.policy.api.AttemptResult;
import firstage.policy.api.Deployment;
import firstage.policy.api.EndpointUpdate;
import firstage.policy.api.IncomingRequest;
import firstage.policy.api.LoadReport;
import firstage.policy.api.PolicyActions;
import firstage.policy.api.SchedulingPolicy;
import firstage.policy.api.TrafficClass;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Textbook policies behind the same door, as baselines: each batch goes at once to an engine that
 * is up, batches of a key one at a time. None sends anything again, holds grants or watches health.
 */
final class BaselinePolicy implements SchedulingPolicy {
    /** How the engine is chosen. */
    enum Kind {
        RANDOM,
        ROUND_ROBIN,
        LEAST_OUTSTANDING,
        TWO_CHOICES
    }

    private static final class Open {
        private final IncomingRequest is;
        private int engine = -1;

        private Open(IncomingRequest is) {
            this.is = is;
        }
    }

    private final Kind kind;
    private final PolicyActions host;
    private final Deployment deployment;
    private final RandomGenerator chance;
    private final TreeMap<Integer, Integer> out = new TreeMap<>();
    private final List<Integer> up = new ArrayList<>();
    private final Map<Integer, Open> open = new HashMap<>();
    private final Map<Integer, ArrayDeque<Open>> keys = new HashMap<>();
    private final Map<Integer, Long> rests = new HashMap<>();
    private int next;

    BaselinePolicy(Kind kind, Deployment deployment, PolicyActions host) {
        this.kind = kind;
        this.host = host;
        this.deployment = deployment;
        chance = RandomGeneratorFactory.of("L64X128MixRandom").create(deployment.seed());
    }

    @Override
    public void onRequest(long now, IncomingRequest arrival) {
        Open b = new Open(arrival);
        open.put(arrival.requestId(), b);
        TrafficClass is = deployment.trafficClasses().get(arrival.trafficClass());
        if (is.ordered() && arrival.orderingKey() >= 0) {
            ArrayDeque<Open> line =
                    keys.computeIfAbsent(arrival.orderingKey(), k -> new ArrayDeque<>());
            line.add(b);
            if (line.size() > 1 || rests.getOrDefault(arrival.orderingKey(), 0L) > now) {
                host.scheduleWakeUp(
                        Math.max(1, rests.getOrDefault(arrival.orderingKey(), 0L) - now),
                        arrival.orderingKey());
                return;
            }
        }
        go(b);
    }

    private void go(Open b) {
        if (up.isEmpty()) {
            host.reject(b.is.requestId(), 0);
            close(b);
            return;
        }
        b.engine = pick();
        out.merge(b.engine, 1, Integer::sum);
        host.startAttempt(b.is.requestId(), b.engine, 0);
    }

    private int pick() {
        return switch (kind) {
            case RANDOM -> up.get(chance.nextInt(up.size()));
            case ROUND_ROBIN -> up.get(Math.floorMod(next++, up.size()));
            case LEAST_OUTSTANDING -> {
                int best = up.get(chance.nextInt(up.size()));
                for (int e : up) {
                    best = attemptsInFlight(e) < attemptsInFlight(best) ? e : best;
                }
                yield best;
            }
            case TWO_CHOICES -> {
                int one = up.get(chance.nextInt(up.size()));
                int two = up.get(chance.nextInt(up.size()));
                yield attemptsInFlight(two) < attemptsInFlight(one) ? two : one;
            }
        };
    }

    @Override
    public void onAttemptResult(long now, AttemptResult ending) {
        Open b = open.get(ending.requestId());
        if (b == null) {
            return;
        }
        out.merge(ending.engineId(), -1, Integer::sum);
        b.engine = -1;
        if (!ending.requestClosed()) {
            if (ending.outcome().mayHaveRun) {
                host.fail(b.is.requestId());
            } else {
                host.reject(b.is.requestId(), 0);
            }
        }
        boolean rests = ending.outcome() != AttemptOutcome.SUCCEEDED && ending.outcome().mayHaveRun;
        if (rests && b.is.orderingKey() >= 0) {
            this.rests.put(
                    b.is.orderingKey(),
                    now + Math.max(deployment.rules().keyQuietPeriod(), ending.mayStillRunFor()));
        }
        close(b);
        follow(now, b.is.orderingKey());
    }

    /** The next of a key, once it has rested. */
    private void follow(long now, int key) {
        ArrayDeque<Open> line = keys.get(key);
        if (line == null || line.isEmpty() || line.peek().engine >= 0) {
            return;
        }
        long rest = rests.getOrDefault(key, 0L) - now;
        if (rest > 0) {
            host.scheduleWakeUp(rest, key);
        } else {
            go(line.peek());
        }
    }

    private void close(Open b) {
        if (b.engine < 0 && open.remove(b.is.requestId()) != null) {
            ArrayDeque<Open> line = keys.get(b.is.orderingKey());
            if (line != null) {
                line.remove(b);
                if (line.isEmpty()) {
                    keys.remove(b.is.orderingKey());
                }
            }
            host.releaseRequest(b.is.requestId());
        }
    }

    @Override
    public void onClientGone(long now, int batch) {
        Open b = open.get(batch);
        if (b != null && b.engine < 0) {
            close(b);
            follow(now, b.is.orderingKey());
        }
    }

    @Override
    public void onEndpointsUpdated(long now, EndpointUpdate list) {
        if (list.kind() == EndpointUpdate.Kind.SNAPSHOT
                || list.kind() == EndpointUpdate.Kind.INITIAL) {
            up.clear();
        }
        for (EndpointUpdate.Endpoint e : list.endpoints()) {
            up.remove((Integer) e.engineId());
            if (e.lifecycle() == EndpointUpdate.Lifecycle.ACTIVE) {
                up.add(e.engineId());
            }
        }
    }

    @Override
    public void onAttemptProgress(long now, AttemptProgress note) {
        // None of these listens.
    }

    @Override
    public void onProbeResult(long now, int engine, AttemptOutcome outcome, LoadReport report) {
        // None of these asks.
    }

    @Override
    public void onShutdown(long now, long endsAt) {
        // What is out is answered as it ends.
    }

    @Override
    public void onWakeUp(long now, long token) {
        follow(now, (int) token);
    }

    @Override
    public int attemptsInFlight(int engine) {
        return out.getOrDefault(engine, 0);
    }

    @Override
    public void runPendingActions(long now) {
        // Each acts at once.
    }
}
