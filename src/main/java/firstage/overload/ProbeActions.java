package firstage.overload;

/** Effects of the probe coordinator; an implementation must not call the coordinator. */
public interface ProbeActions {
    /**
     * Sets whether this manager leaves the probing of an engine to other managers.
     *
     * @param backoffOver whether the engine may be probed now, without waiting for its backoff
     */
    void setProbedByOthers(long engine, boolean probedByOthers, boolean backoffOver);
}
