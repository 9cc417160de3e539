package firstage.overload;

/** What is decided. */
public interface SheddingActions {
    /** Batches of a lower band are refused, and of this band all but this part. */
    void setThreshold(long now, int band, double admittedPart);
}
