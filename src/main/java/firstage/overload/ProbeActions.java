package firstage.overload;

/** What the probe coordinator decides; none of it calls back. */
public interface ProbeActions {
    /**
     * Whether others probe this engine in this manager's place; where {@code backoffOver}, it is to
     * be probed now.
     */
    void setProbedByOthers(long engine, boolean probedByOthers, boolean backoffOver);
}
