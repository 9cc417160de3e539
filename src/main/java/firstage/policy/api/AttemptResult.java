package firstage.policy.api;

/**
 * Result of an attempt that has ended.
 *
 * @param attemptNumber number of the attempt within its request, from 0
 * @param duration time since the start of the attempt, in ticks
 * @param actualWork work that the request needed, in ticks on one thread; 0 if not reported
 * @param actualMemoryMb memory that the request needed; 0 if not reported
 * @param requestClosed whether the client was answered with this result
 * @param loadReport load report that the engine sent with the result; null if none
 * @param mayStillRunFor upper bound, in ticks, on how long the engine may still run the attempt; 0
 *     if the attempt is known to have ended, or if the deployment's quiet period covers it
 */
public record AttemptResult(
        int requestId,
        int attemptNumber,
        int engineId,
        AttemptOutcome outcome,
        long duration,
        long actualWork,
        int actualMemoryMb,
        boolean requestClosed,
        LoadReport loadReport,
        long mayStillRunFor) {}
