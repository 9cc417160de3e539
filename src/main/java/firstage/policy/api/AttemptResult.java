package firstage.policy.api;

/**
 * How a dispatch ended. {@code actualWork} and {@code actualMemoryMb} are what the batch truly
 * needed, 0 if untold; {@code mayStillRunFor} is how much longer its engine may hold it, 0 where
 * its end is proven or the deployment's own rest says it all.
 */
public record AttemptResult(
        int request,
        int attempt,
        int engine,
        AttemptOutcome outcome,
        long duration,
        long actualWork,
        int actualMemoryMb,
        boolean requestClosed,
        LoadReport loadReport,
        long mayStillRunFor) {}
