package firstage.door;

/** How a dispatch ended. {@code work} and {@code memoryMb} are what the batch truly needed, 0 if untold. */
public record Ending(int batch, int dispatch, int engine, Outcome outcome, long took, long work,
                     int memoryMb, boolean closed, Report report) {
}
