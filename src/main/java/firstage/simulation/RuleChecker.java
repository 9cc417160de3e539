package firstage.simulation;

import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.TrafficClass.Effect;
import firstage.util.Ticks;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checker of the scheduling rules that managers have to keep. It observes only the messages between
 * managers, engines and clients, and never reads the state of a manager. The rules that it checks:
 *
 * <ol>
 *   <li>Each try is answered once and in time. No attempt of it starts after its answer or after
 *       its client left, or has a later deadline than the client's.
 *   <li>A non-idempotent request is sent again, or rejected, only if no earlier attempt can have
 *       run. A request with an idempotency key is sent again only within its idempotency window.
 *   <li>No statement goes to an engine after the grace period that follows the announcement of its
 *       drain.
 *   <li>No cold engine is overloaded.
 *   <li>Requests of one ordering key at one manager run one at a time and in order, and pause for
 *       the key's quiet period after an attempt that may still run.
 * </ol>
 *
 * <p>Rules 6 (placement) and 7 (retry budget) are not checked: fleet files have no keys for them.
 */
public final class RuleChecker {
    /** Tolerance for late answers of simulated managers, in ticks (20 ms). */
    private static final long ANSWER_SLACK = 200;

    /** Tolerance for an attempt that starts after its client left. */
    private static final long DEPARTURE_SLACK = Ticks.ofMillis(100);

    /** Tolerance for a deadline, as sent to an engine, that is later than the client's. */
    private static final long DEADLINE_SLACK = Ticks.ofMillis(150);

    private static final int MAX_VIOLATIONS_KEPT = 20;

    /** One try of a request at one manager. */
    public static final class ClientTry {
        public final GeneratedRequest request;
        public final int manager;
        public final long deadline;
        private int answerCount;
        private boolean abandoned;
        private int attemptsInFlight;
        private boolean mayHaveRun;
        private long firstSentAt = -1;
        private boolean attempted;
        private long extraAnswerSlack;
        private long overtakenAt;
        private long leftAt = -1;
        private boolean deadlineExact;

        public ClientTry(GeneratedRequest request, int manager, long deadline) {
            this.request = request;
            this.manager = manager;
            this.deadline = deadline;
        }

        /** Returns whether no answer is due: the manager was killed or never accepted the try. */
        public boolean abandoned() {
            return abandoned;
        }

        /**
         * Marks the deadline as exact: it counts from the request's last byte, rather than from
         * some time before the request was sent. Only exact deadlines are compared with those that
         * engines receive.
         */
        public void setDeadlineExact() {
            deadlineExact = true;
        }

        /**
         * Records that the client closed its connection or cancelled, at {@code now} at the latest.
         */
        public void onClientLeft(long now) {
            leftAt = leftAt < 0 ? now : leftAt;
        }

        /** Returns whether the client left. */
        public boolean hasClientLeft() {
            return leftAt >= 0;
        }

        /** Returns whether an attempt of this try was recorded. */
        public boolean attempted() {
            return attempted;
        }

        /** Allows the answer to be {@code delay} ticks later, because the manager was paused. */
        public void allowPause(long delay) {
            extraAnswerSlack = Math.max(extraAnswerSlack, delay);
        }

        /** Returns whether the answer may be late because the manager was paused. */
        public boolean hasPauseAllowance() {
            return extraAnswerSlack > 0;
        }

        public int answerCount() {
            return answerCount;
        }
    }

    private static final class KeyState {
        private final List<ClientTry> openTries = new ArrayList<>();
        private ClientTry running;
        private long quietUntil;
    }

    private final FleetPlan plan;
    private final long answerSlack;
    private final long observationDelay;
    private final List<String> violations = new ArrayList<>();
    private long violationCount;
    private final Map<Long, Integer> runsByRequest = new HashMap<>();
    private final List<Map<Integer, KeyState>> keysByManager = new ArrayList<>();

    /**
     * Times at which the endpoint list reported to a manager that an engine drains or is gone, by
     * manager and engine; absent while the engine is active.
     */
    private final List<Map<Integer, Long>> drainsByManager = new ArrayList<>();

    /** Latest start of an engine that was reported to a manager, by manager and engine. */
    private final List<Map<Integer, Long>> engineStartsByManager = new ArrayList<>();

    RuleChecker(FleetPlan plan) {
        this(plan, ANSWER_SLACK, 0);
    }

    /**
     * Creates a checker of managers that are observed from outside their processes.
     *
     * @param answerSlack tolerance for late answers, in ticks
     * @param observationDelay longest time from the sending of a statement or an answer until it is
     *     observed, in ticks; 0 if both are observed as they are sent
     */
    public RuleChecker(FleetPlan plan, long answerSlack, long observationDelay) {
        this.plan = plan;
        this.answerSlack = answerSlack;
        this.observationDelay = observationDelay;
        for (int m = 0; m < plan.managers().count(); m++) {
            keysByManager.add(new HashMap<>());
            drainsByManager.add(new HashMap<>());
            engineStartsByManager.add(new HashMap<>());
        }
    }

    public void onAccepted(ClientTry clientTry) {
        if (clientTry.request.orderingKey >= 0) {
            keysByManager
                    .get(clientTry.manager)
                    .computeIfAbsent(clientTry.request.orderingKey, k -> new KeyState())
                    .openTries
                    .add(clientTry);
        }
    }

    public void onEndpointUpdate(long now, int manager, int engine, boolean active) {
        if (active) {
            drainsByManager.get(manager).remove(engine);
        } else {
            drainsByManager.get(manager).putIfAbsent(engine, now);
        }
    }

    /** Records the start time of an engine that the endpoint list reported to this manager. */
    public void onEngineStartReported(int manager, int engine, long startedAt) {
        engineStartsByManager.get(manager).merge(engine, startedAt, Math::max);
    }

    boolean knowsEngineStart(int manager, int engine, long startedAt) {
        return engineStartsByManager.get(manager).getOrDefault(engine, 0L) >= startedAt;
    }

    /** Records that no running manager accepted the try, so that no answer is due. */
    public void onNeverAccepted(ClientTry clientTry) {
        clientTry.abandoned = true;
        KeyState keyState =
                clientTry.request.orderingKey >= 0
                        ? keysByManager.get(clientTry.manager).get(clientTry.request.orderingKey)
                        : null;
        if (keyState != null) {
            keyState.openTries.remove(clientTry);
        }
    }

    /** Records that a manager was killed; its open tries need no answer any more. */
    public void onManagerKilled(int manager, Iterable<ClientTry> openTries) {
        openTries.forEach(clientTry -> clientTry.abandoned = true);
        keysByManager.get(manager).clear();
        drainsByManager.get(manager).clear();
    }

    public void onAttemptSent(long now, ClientTry clientTry, int engine) {
        onAttemptSent(now, clientTry, engine, false);
    }

    /**
     * Records an attempt, when it is sent (in simulations) or when it arrives at its engine (in
     * fault tests).
     *
     * @param delayed whether the network may have held the statement back, so that the time at
     *     which it was sent is unknown
     */
    public void onAttemptSent(long now, ClientTry clientTry, int engine, boolean delayed) {
        Effect effect = plan.trafficClasses().get(clientTry.request.trafficClass).effect();
        if (clientTry.answerCount > 0 && !delayed) {
            recordViolation(now, 1, clientTry, "was sent after it was answered");
        }
        if (effect == Effect.NON_IDEMPOTENT
                && (clientTry.mayHaveRun || clientTry.attemptsInFlight > 0)) {
            recordViolation(now, 2, clientTry, "was sent again although it may have run");
        }
        if (effect == Effect.IDEMPOTENT_WITH_KEY
                && clientTry.firstSentAt >= 0
                && now
                        > clientTry.firstSentAt
                                + plan.trafficClasses()
                                        .get(clientTry.request.trafficClass)
                                        .idempotencyWindow()) {
            recordViolation(now, 2, clientTry, "was sent again after its idempotency window");
        }
        Long drain = drainsByManager.get(clientTry.manager).get(engine);
        if (drain != null
                && !delayed
                && now > drain + plan.rules().drainGrace() + observationDelay) {
            recordViolation(
                    now,
                    3,
                    clientTry,
                    "was sent to engine "
                            + engine
                            + ", whose drain was announced "
                            + (now - drain) / 10
                            + " ms earlier");
        }
        clientTry.attemptsInFlight++;
        clientTry.attempted = true;
        clientTry.firstSentAt = clientTry.firstSentAt < 0 ? now : clientTry.firstSentAt;
        KeyState keyState =
                clientTry.request.orderingKey >= 0 && !clientTry.abandoned
                        ? keysByManager.get(clientTry.manager).get(clientTry.request.orderingKey)
                        : null;
        if (keyState != null) {
            if (keyState.running != null && keyState.running != clientTry) {
                recordViolation(
                        now,
                        5,
                        clientTry,
                        "was sent while batch "
                                + keyState.running.request.id
                                + " of its key is in flight");
            } else if (observationDelay == 0
                    && (keyState.openTries.isEmpty() || keyState.openTries.get(0) != clientTry)) {
                recordViolation(now, 5, clientTry, "was sent out of the order of its key");
            }
            // If answers are observed later than statements, the answer to an earlier try may
            // still be under way: onAnswered reports the overtaking if that answer comes too late.
            keyState.openTries.stream()
                    .takeWhile(a -> a != clientTry)
                    .filter(a -> a.overtakenAt == 0)
                    .forEach(a -> a.overtakenAt = now);
            if (keyState.running == null
                    && now < keyState.quietUntil
                    && clientTry.firstSentAt == now) {
                recordViolation(now, 5, clientTry, "was sent in the quiet period of its key");
            }
            keyState.running = clientTry;
        }
    }

    /**
     * Checks the start and the deadline of an attempt, for observers that know them.
     *
     * @param beganAt the earliest time at which the attempt can have started
     * @param deadline the deadline that the engine received
     */
    public void checkAttemptTimes(long beganAt, ClientTry clientTry, long deadline) {
        if (clientTry.leftAt >= 0 && beganAt > clientTry.leftAt + DEPARTURE_SLACK) {
            recordViolation(
                    beganAt,
                    1,
                    clientTry,
                    "was started "
                            + (beganAt - clientTry.leftAt) / 10
                            + " ms after its client left");
        }
        if (clientTry.deadlineExact && deadline > clientTry.deadline + DEADLINE_SLACK) {
            recordViolation(
                    beganAt,
                    1,
                    clientTry,
                    "was sent with a deadline "
                            + (deadline - clientTry.deadline) / 10
                            + " ms after its client's");
        }
    }

    public void onAttemptEnded(long now, ClientTry clientTry, AttemptOutcome outcome) {
        clientTry.attemptsInFlight--;
        clientTry.mayHaveRun |= outcome.mayHaveRun;
        if (!outcome.mayHaveRun && !clientTry.mayHaveRun && clientTry.attemptsInFlight == 0) {
            clientTry.firstSentAt = -1;
        }
        KeyState keyState =
                clientTry.request.orderingKey >= 0
                        ? keysByManager.get(clientTry.manager).get(clientTry.request.orderingKey)
                        : null;
        if (keyState != null && clientTry.attemptsInFlight == 0 && keyState.running == clientTry) {
            keyState.running = null;
            if (outcome == AttemptOutcome.TIMED_OUT
                    || outcome == AttemptOutcome.CONNECTION_LOST
                    || outcome == AttemptOutcome.CANCELLED) {
                keyState.quietUntil = now + plan.rules().keyQuietPeriod();
            }
        }
    }

    public void onAnswered(long now, ClientTry clientTry, boolean rejected) {
        if (++clientTry.answerCount > 1) {
            recordViolation(now, 1, clientTry, "was answered twice");
        }
        if (observationDelay > 0
                && clientTry.overtakenAt > 0
                && now > clientTry.overtakenAt + observationDelay) {
            recordViolation(
                    now,
                    5,
                    clientTry,
                    "was overtaken by a later batch of its key and answered "
                            + (now - clientTry.overtakenAt) / 10
                            + " ms after that");
        }
        if (now > clientTry.deadline + answerSlack + clientTry.extraAnswerSlack) {
            recordViolation(
                    now,
                    1,
                    clientTry,
                    "was answered " + (now - clientTry.deadline) / 10 + " ms late");
        }
        if (rejected
                && plan.trafficClasses().get(clientTry.request.trafficClass).effect()
                        == Effect.NON_IDEMPOTENT
                && (clientTry.mayHaveRun || clientTry.attemptsInFlight > 0)) {
            recordViolation(now, 2, clientTry, "was rejected although it may have run");
        }
        KeyState keyState =
                clientTry.request.orderingKey >= 0
                        ? keysByManager.get(clientTry.manager).get(clientTry.request.orderingKey)
                        : null;
        if (keyState != null) {
            keyState.openTries.remove(clientTry);
        }
    }

    /** Checks that the try was answered; called once its deadline and the tolerance have passed. */
    public void onDeadlinePassed(long now, ClientTry clientTry) {
        if (clientTry.answerCount == 0 && !clientTry.abandoned && clientTry.leftAt < 0) {
            recordViolation(now, 1, clientTry, "was never answered");
        }
    }

    /** Records that an engine starts to run the request. */
    void onRunStarted(GeneratedRequest request, long now) {
        if (runsByRequest.merge(request.id, 1, Integer::sum) > 1
                && plan.trafficClasses().get(request.trafficClass).effect()
                        == Effect.NON_IDEMPOTENT) {
            recordViolation(now, 2, new ClientTry(request, -1, 0), "ran twice");
        }
    }

    /** Records that a run of the request ended. */
    public void onRunEnded(GeneratedRequest request) {
        if (plan.trafficClasses().get(request.trafficClass).effect() != Effect.NON_IDEMPOTENT) {
            runsByRequest.remove(request.id);
        }
    }

    void onColdEngineOverloaded(int engine, long now, String detail) {
        violationCount++;
        keepViolation(
                "rule 4 at "
                        + now / 10
                        + " ms: cold engine "
                        + engine
                        + " was overloaded; "
                        + detail);
    }

    private void recordViolation(long now, int rule, ClientTry clientTry, String detail) {
        violationCount++;
        keepViolation(
                "rule "
                        + rule
                        + " at "
                        + now / 10
                        + " ms: batch "
                        + clientTry.request.id
                        + " at manager "
                        + clientTry.manager
                        + " "
                        + detail);
    }

    /** Records a violation that the caller found. */
    public void addViolation(String description) {
        violationCount++;
        keepViolation(description);
    }

    private void keepViolation(String description) {
        if (violations.size() < MAX_VIOLATIONS_KEPT) {
            violations.add(description);
        }
    }

    /** Returns descriptions of the first violations: rule, time, request and manager. */
    public List<String> violations() {
        return violations;
    }

    long violationCount() {
        return violationCount;
    }
}
