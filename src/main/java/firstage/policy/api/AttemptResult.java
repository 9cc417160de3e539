package firstage.policy.api;

/**
 * How a dispatch ended. {@code work} and {@code memoryMb} are what the batch truly needed, 0 if
 * untold; {@code mayHold} is how much longer its engine may hold it, 0 where its end is proven or
 * the deployment's own rest says it all.
 */
public record AttemptResult(
        int batch,
        int dispatch,
        int engine,
        AttemptOutcome outcome,
        long took,
        long work,
        int memoryMb,
        boolean closed,
        LoadReport report,
        long mayHold) {}
