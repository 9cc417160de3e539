package firstage.server.client;

import java.util.Optional;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/** Checks what a client sends with a statement. The first fault found is the one answered. */
final class StatementCallValidator {
    /** Work in ms or memory in MB: a year on one core, and a thousand engines' memory. */
    static final double MAX_ESTIMATE = 3e10;

    /** Times its class's deadline: no client waits longer; clocks and rounding need far less. */
    private static final double MAX_TIMEOUT_FACTOR = 1.5;

    private static final Pattern REQUEST_ID = Pattern.compile("[0-9a-fA-F]{16}");
    private static final Pattern ORDERING_KEY = Pattern.compile("[!-~]{1,64}");

    /** An HTTP status and the text of the answer. */
    record Refusal(int status, String reason) {}

    private final TrafficClasses classes;
    private final Predicate<String> isOpen;

    /** {@code isOpen}: whether a request with this id is owed an answer. */
    StatementCallValidator(TrafficClasses classes, Predicate<String> isOpen) {
        this.classes = classes;
        this.isOpen = isOpen;
    }

    /** Why the call can't be accepted; empty where it can. */
    Optional<Refusal> check(StatementCall call) {
        if (call.trafficClassIndex() < 0) {
            return refuse(400, "unknown service group");
        }
        if (call.requestId() == null || !REQUEST_ID.matcher(call.requestId()).matches()) {
            return refuse(400, "X-Job-Id is missing or not usable");
        }
        if (isOpen.test(call.requestId())) {
            // Engines know a request by its id: another statement under it would get this one's
            // answer.
            return refuse(409, "X-Job-Id is of an open batch");
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
