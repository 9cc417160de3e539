package firstage.server;

/**
 * The Unix clock in ticks as it stood at the start, carried on by the monotonic clock: a step of
 * the system's time neither delays a decision nor makes all of them due at once.
 */
public final class TickClock {
    private static final long NANOS = 100_000;
    private final long startTick = System.currentTimeMillis() * 10;
    private final long startNanos = System.nanoTime();

    public long now() {
        return startTick + (System.nanoTime() - startNanos) / NANOS;
    }

    /** A moment in Unix milliseconds of another process, on this clock; 0 stays 0: long ago. */
    public long fromUnixMillis(long unixMs) {
        return unixMs == 0 ? 0 : now() - (System.currentTimeMillis() - unixMs) * 10;
    }
}
