package firstage.simulation.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Observes the messages between clients, one manager and engines, and reports violations of the
 * rules. It reads no state of the manager. Rule 1: one final answer in time. Rule 2: no
 * non-idempotent request runs twice, and none is rejected that may have run. Rule 3: no statement
 * to a draining engine past the grace period. Rule 5: no request reaches an engine while an earlier
 * one of its ordering key is open, or another of its key may run. Besides: no statement is sent
 * more than 0.3 s after its client was last present. Times are ticks.
 */
public final class ScheduleRuleChecker {
    /** Ticks after a client's limit in which its answer still counts. */
    private static final long ANSWER_SLACK = 500;

    /** After its client left nothing is sent for it later than this. */
    private static final long MAX_SEND_DELAY_AFTER_ABSENCE = 3_000;

    /** What crossed of one request. */
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

        /** Since when its client is not there; below 0 where it is. */
        private long absentSince = -1;

        private int runCount;

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

    private final List<String> violations = new ArrayList<>();
    private final Map<Integer, ObservedRequest> requests = new HashMap<>();

    /** By key, the requests that came, in the order of their last bytes. */
    private final Map<Integer, List<ObservedRequest>> requestsByKey = new HashMap<>();

    /** By key, the requests whose runs are at engines now; once for each run. */
    private final Map<Integer, List<ObservedRequest>> runningByKey = new HashMap<>();

    /** Which of the managers that follow each other is up. */
    private int incarnation;

    /** Time that the thread stood still: no answer can be asked for within it. */
    private long totalStall;

    /** The last byte of a request reached the machine; {@code orderingKey} -1 without order. */
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

    public void onStalled(long length) {
        totalStall += length;
    }

    /** The manager says how it ends; a client that asks at once has it at once. */
    public void onCompleted(long now, int requestId, boolean rejected) {
        ObservedRequest request = requests.get(requestId);
        if (!request.answerWaived && now > request.deadline + ANSWER_SLACK + totalStall) {
            recordViolation(now, 1, request, "answered too late");
        }
        if (rejected && request.nonIdempotent && request.runCount > 0) {
            recordViolation(now, 2, request, "pushed back, and may have run");
        }
        request.completed = true;
    }

    /** The client has its answer. */
    public void onAnswered(long now, int requestId) {
        ObservedRequest request = requests.get(requestId);
        request.answerCount++;
        if (request.answerCount > 1) {
            recordViolation(now, 1, request, "answered " + request.answerCount + " times");
        }
    }

    /**
     * The manager was killed: what it held is no duty of anybody's, and the next one's orders begin
     * anew.
     */
    public void onManagerKilled() {
        requests.values().stream()
                .filter(request -> request.answerCount == 0)
                .forEach(request -> onClientLeft(request.id));
        requestsByKey.clear();
        runningByKey.clear();
        incarnation++;
    }

    /** How many managers were killed before this one. */
    public int incarnation() {
        return incarnation;
    }

    /** The client left: it is owed nothing. */
    public void onClientLeft(int requestId) {
        ObservedRequest request = requests.get(requestId);
        request.answerWaived = true;
        request.completed = true;
    }

    /** The client is not there, for now or for ever. */
    public void onClientAbsent(long now, int requestId) {
        requests.get(requestId).absentSince = now;
    }

    public void onClientPresent(int requestId) {
        requests.get(requestId).absentSince = -1;
    }

    /** A statement goes onto the wire. */
    public void onStatementSent(long now, int requestId) {
        ObservedRequest request = requests.get(requestId);
        if (request.absentSince >= 0
                && now - request.absentSince > MAX_SEND_DELAY_AFTER_ABSENCE + totalStall) {
            violations.add(
                    "at "
                            + now
                            + ": batch "
                            + request.id
                            + " is sent "
                            + (now - request.absentSince)
                            + " after its client left");
        }
    }

    /**
     * A statement came whole to an engine that takes it up; {@code sinceDrain} below 0 where it
     * does not drain.
     */
    public void onRunStarted(long now, int requestId, long sentSinceDrain, long drainGrace) {
        ObservedRequest request = requests.get(requestId);
        if (sentSinceDrain > drainGrace) {
            recordViolation(
                    now, 3, request, "sent " + sentSinceDrain + " after the drain was told");
        }
        if (request.nonIdempotent && request.runCount > 0) {
            recordViolation(now, 2, request, "runs again");
        }
        request.runCount++;
        if (request.orderingKey < 0 || request.managerIncarnation != incarnation) {
            return;
        }
        // A retry or a hedged request of the same request is outside this rule.
        List<ObservedRequest> running =
                runningByKey.computeIfAbsent(request.orderingKey, absentKey -> new ArrayList<>());
        for (ObservedRequest other : running) {
            if (other != request) {
                recordViolation(now, 5, request, "runs beside " + other.id);
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
                        "runs before "
                                + earlier.id
                                + ", which came "
                                + (request.arrivedAt - earlier.arrivedAt)
                                + " earlier");
            }
        }
    }

    /** A run ended at its engine: by itself, by a DELETE, forgotten, or with the process. */
    public void onRunEnded(int requestId) {
        ObservedRequest request = requests.get(requestId);
        if (request.orderingKey >= 0 && request.managerIncarnation == incarnation) {
            runningByKey.get(request.orderingKey).remove(request);
        }
    }

    /** All is played: nobody may be without an answer. */
    public void checkAllAnswered(long now) {
        for (ObservedRequest request : requests.values()) {
            if (request.answerCount == 0 && !request.answerWaived) {
                recordViolation(now, 1, request, "never answered");
            }
        }
    }

    /** A table of the manager's that is not empty at the end. */
    public void recordLeftover(String leftover) {
        violations.add("kept at the end: " + leftover);
    }

    private void recordViolation(long now, int rule, ObservedRequest request, String description) {
        violations.add(
                "rule "
                        + rule
                        + " at "
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
