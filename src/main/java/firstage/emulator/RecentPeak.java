package firstage.emulator;

/**
 * The largest of the recently recorded values: those of the current and the previous window of a
 * quarter of a second. Recorded by one thread, read by any; values are ticks.
 */
final class RecentPeak {
    private static final long WINDOW_NS = 250_000_000;

    private volatile long currentWindowPeak;
    private volatile long previousWindowPeak;
    private long windowStartNs = System.nanoTime();

    void record(long value) {
        long nowNs = System.nanoTime();
        if (nowNs - windowStartNs > WINDOW_NS) {
            windowStartNs = nowNs;
            previousWindowPeak = currentWindowPeak;
            currentWindowPeak = 0;
        }
        currentWindowPeak = Math.max(currentWindowPeak, value);
    }

    long value() {
        return Math.max(currentWindowPeak, previousWindowPeak);
    }
}
