package firstage.simulation;

/**
 * A request as it truly is: what its client wants, and what it costs. Only estimates and what is
 * observed ever pass to the decisions ({@link ManagerModel} hands those on). Indices are -1 where
 * there is none; times ticks.
 */
public final class TrueRequest {
    public final long id;
    public final int trafficClass;
    public final int tenant;
    public final int orderingKey;
    public final int tableGroup;

    /** First asked for, and when its client gives up for good. */
    public final long firstRequestedAt;

    public final long deadline;

    /** Truly needed: the time of one thread on one core at speed 1, and MB. */
    public final double work;

    public final double memoryMb;

    /** As told. */
    public final long estimatedWork;

    public final int estimatedMemoryMb;
    public int tries;
    public boolean succeeded;

    /**
     * Times are ticks; {@code estimatedWork} and {@code estimatedMemoryMb} are what clients tell.
     */
    public TrueRequest(
            long id,
            int trafficClass,
            int tenant,
            int orderingKey,
            int tableGroup,
            long firstRequestedAt,
            long deadline,
            double work,
            double memoryMb,
            long estimatedWork,
            int estimatedMemoryMb) {
        this.id = id;
        this.trafficClass = trafficClass;
        this.tenant = tenant;
        this.orderingKey = orderingKey;
        this.tableGroup = tableGroup;
        this.firstRequestedAt = firstRequestedAt;
        this.deadline = deadline;
        this.work = work;
        this.memoryMb = memoryMb;
        this.estimatedWork = estimatedWork;
        this.estimatedMemoryMb = estimatedMemoryMb;
    }
}
