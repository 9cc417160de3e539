package firstage.policy.api;

/**
 * How an attempt ended.
 *
 * @param attemptNumber from 0, for each request
 * @param duration in ticks, from its start
 * @param actualWork what the request truly needed, in ticks on one thread; 0 where not reported
 * @param actualMemoryMb what the request truly needed; 0 where not reported
 * @param requestClosed whether the client has its answer with this
 * @param loadReport of the engine; null where none came with it
 * @param mayStillRunFor for how many ticks its engine may still run it; 0 where its end is proven,
 *     or the deployment's quiet period covers it
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
