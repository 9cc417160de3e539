package firstage.simulation;

/**
 * A request with its true cost, which scheduling policies never see: {@link ManagerModel} passes
 * them estimates and observations only. Indices are -1 where there is none; times are in ticks.
 */
public final class GeneratedRequest {
    public final long id;
    public final int trafficClass;
    public final int tenant;
    public final int orderingKey;
    public final int tableGroup;

    /** Time of the first try. */
    public final long firstRequestedAt;

    /** Time at which the client gives up for good. */
    public final long deadline;

    /** True work: the time of one thread on one core at speed 1. */
    public final double work;

    /** True memory need. */
    public final double memoryMb;

    /** Estimate of the work, as the client sends it. */
    public final long estimatedWork;

    /** Estimate of the memory need, as the client sends it. */
    public final int estimatedMemoryMb;

    /** Number of tries so far, the first one included. */
    public int tries;

    public boolean succeeded;

    /**
     * Creates a request. Times are in ticks; {@code estimatedWork} and {@code estimatedMemoryMb}
     * are what the client sends.
     */
    public GeneratedRequest(
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
