package firstage.emulator;

/**
 * The largest of the values of the last quarter of a second, and of some before. Recorded by one
 * thread, read by any; values are ticks.
 */
final class RecentPeak {
    private static final long WINDOW_NS = 250_000_000;

    private volatile long ofThisWindow;
    private volatile long ofWindowBefore;
    private long windowStartNs = System.nanoTime();

    void record(long value) {
        long nowNs = System.nanoTime();
        if (nowNs - windowStartNs > WINDOW_NS) {
            windowStartNs = nowNs;
            ofWindowBefore = ofThisWindow;
            ofThisWindow = 0;
        }
        ofThisWindow = Math.max(ofThisWindow, value);
    }

    long value() {
        return Math.max(ofThisWindow, ofWindowBefore);
    }
}
