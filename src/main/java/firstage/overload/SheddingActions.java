package firstage.overload;

/** What the load-shedding level decides. */
public interface SheddingActions {
    /** Requests of a lower band are refused, and of this band all but the admitted part. */
    void setThreshold(long now, int band, double admittedPart);
}
