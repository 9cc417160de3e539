package firstage.server.client;

import java.util.Optional;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/** Validates calls that submit a statement; a call is refused for the first fault found. */
final class StatementCallValidator {
    /**
     * Upper limit on both estimates: work in ms (a year on one core) and memory in MB (the memory
     * of a thousand engines).
     */
    static final double MAX_ESTIMATE = 3e10;

    /**
     * Upper limit on the timeout as a multiple of the deadline of the traffic class. No client
     * waits longer; the margin is far more than inaccurate clocks and rounding need.
     */
    private static final double MAX_TIMEOUT_FACTOR = 1.5;

    private static final Pattern REQUEST_ID = Pattern.compile("[0-9a-fA-F]{16}");
    private static final Pattern ORDERING_KEY = Pattern.compile("[!-~]{1,64}");

    /** HTTP status and error text of a refused call. */
    record Refusal(int status, String reason) {}

    private final TrafficClasses classes;
    private final Predicate<String> isOpen;
    private final Predicate<String> isSpent;

    /**
     * Creates a validator.
     *
     * @param isOpen returns whether the request with an id is not answered yet
     * @param isSpent returns whether a request with an id is over and may have run
     */
    StatementCallValidator(
            TrafficClasses classes, Predicate<String> isOpen, Predicate<String> isSpent) {
        this.classes = classes;
        this.isOpen = isOpen;
        this.isSpent = isSpent;
    }

    /** Returns the reason to refuse the call, or empty if it can be accepted. */
    Optional<Refusal> check(StatementCall call) {
        if (call.trafficClassIndex() < 0) {
            return refuse(400, "unknown service group");
        }
        if (call.requestId() == null || !REQUEST_ID.matcher(call.requestId()).matches()) {
            return refuse(400, "X-Job-Id is missing or not usable");
        }
        if (isOpen.test(call.requestId())) {
            // Engines identify a request by its id: another statement with the same id would get
            // the answer to this one.
            return refuse(409, "X-Job-Id is of an open batch");
        }
        if (isSpent.test(call.requestId())) {
            // Not a rejection, which would promise that the request has not run.
            return refuse(409, "X-Job-Id is of a batch that may have run");
        }
        double maxTimeoutMs = classes.deadlineMs(call.trafficClassIndex()) * MAX_TIMEOUT_FACTOR;
        if (!(call.timeoutMs() > 0 && call.timeoutMs() <= maxTimeoutMs)) {
            return refuse(400, "X-Allow-Ms is missing or not usable");
        }
        if (!isEstimate(call.estimateMs())) {
            return refuse(400, "X-Size-Ms is not usable");
        }
        if (!isEstimate(call.memoryMb())) {
            return refuse(400, "X-Memory is not usable");
        }
        if (call.orderingKey() != null && !ORDERING_KEY.matcher(call.orderingKey()).matches()) {
            return refuse(400, "X-Item is not usable");
        }
        if (call.statement().length == 0) {
            return refuse(400, "no statement");
        }
        return call.tenant() < 0 ? refuse(400, "X-Team is missing or unknown") : Optional.empty();
    }

    private static boolean isEstimate(double value) {
        return value >= 0 && value < MAX_ESTIMATE;
    }

    private static Optional<Refusal> refuse(int status, String reason) {
        return Optional.of(new Refusal(status, reason));
    }
}
