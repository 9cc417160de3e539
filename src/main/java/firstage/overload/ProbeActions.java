package firstage.overload;

/** What is decided; none of it calls back. */
public interface ProbeActions {
    /** Whether others try this engine; where {@code now} is true as well, its rest is over. */
    void setProbedByOthers(long engine, boolean probedByOthers, boolean backoffOver);
}
