package firstage.overload;

/** Effects of the load-shedding level. */
public interface SheddingActions {
    /**
     * Sets the threshold. Requests of lower priority bands are refused; of this band only a
     * fraction is admitted.
     *
     * @param admittedFraction fraction of the band's requests to admit, from 0 to 1
     */
    void setThreshold(long now, int band, double admittedFraction);
}
