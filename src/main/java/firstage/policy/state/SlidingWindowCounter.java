package firstage.policy.state;

import java.util.ArrayDeque;

/**
 * Sum of amounts over a sliding window, kept in buckets. A bucket starts with its first amount.
 * Times are in ticks.
 */
public final class SlidingWindowCounter {
    private static final class Bucket {
        private final long startedAt;
        private double sum;

        private Bucket(long startedAt) {
            this.startedAt = startedAt;
        }
    }

    private final ArrayDeque<Bucket> buckets = new ArrayDeque<>();
    private final long windowLength;
    private final long bucketLength;

    /** Creates an empty window of this length, divided into this number of buckets. */
    public SlidingWindowCounter(long windowLength, int bucketCount) {
        this.windowLength = windowLength;
        this.bucketLength = windowLength / bucketCount;
    }

    /** Adds an amount at the time {@code now}. */
    public void add(long now, double amount) {
        while (!buckets.isEmpty() && buckets.peek().startedAt < now - windowLength - bucketLength) {
            buckets.poll();
        }
        if (buckets.isEmpty() || now - buckets.peekLast().startedAt > bucketLength) {
            buckets.add(new Bucket(now));
        }
        buckets.peekLast().sum += amount;
    }

    /** Returns the sum of the buckets that lie entirely within the window; never too high. */
    public double lowerBound(long now) {
        return sumSince(now - windowLength);
    }

    /** Returns the sum of the buckets that overlap the window; never too low. */
    public double upperBound(long now) {
        return sumSince(now - windowLength - bucketLength);
    }

    private double sumSince(long from) {
        double sum = 0;
        for (Bucket bucket : buckets) {
            sum += bucket.startedAt >= from ? bucket.sum : 0;
        }
        return sum;
    }
}
