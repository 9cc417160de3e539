package firstage.simulation;

/**
 * A batch as it truly is: what its client wants, and what it costs. Only estimates and what is
 * observed ever pass to the decisions ({@link ManagerModel} hands those on). Indices are -1 where
 * there is none; times tenths of a millisecond.
 */
public final class TrueRequest {
    public final long id;
    public final int group;
    public final int customer;
    public final int key;
    public final int tables;

    /** First asked for, and when its client gives up for good. */
    public final long asked;

    public final long limit;

    /** Truly needed: the time of one thread on one core at speed 1, and MB. */
    public final double work;

    public final double memoryMb;

    /** As told. */
    public final long estimate;

    public final int memoryTold;
    public int tries;
    public boolean done;

    TrueRequest(
            long id,
            int group,
            int customer,
            int key,
            int tables,
            long asked,
            long limit,
            double work,
            double memoryMb,
            long estimate,
            int memoryTold) {
        this.id = id;
        this.group = group;
        this.customer = customer;
        this.key = key;
        this.tables = tables;
        this.asked = asked;
        this.limit = limit;
        this.work = work;
        this.memoryMb = memoryMb;
        this.estimate = estimate;
        this.memoryTold = memoryTold;
    }
}
