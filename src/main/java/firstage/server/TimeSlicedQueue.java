package firstage.server;

import firstage.server.IoThreadMonitor.Step;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Work of one kind whose amount clients decide, done in the order of its arrival within a time
 * slice per selector pass. A task runs at once while the slice lasts; later ones are queued until
 * the next pass. Each task must be short, since it is not interrupted. Owned by the I/O thread.
 */
public final class TimeSlicedQueue {
    /** A queued task and the time at which it was added. */
    private record QueuedTask(Runnable task, long addedAtNanos) {}

    private final String name;
    private final long sliceNanos;
    private final Counters counters;
    private final IoThreadMonitor monitor;
    private final Step step;
    private final Runnable onWorkDone;
    private final ArrayDeque<QueuedTask> queue = new ArrayDeque<>();
    private long spentNanos;

    /**
     * Creates an empty queue.
     *
     * @param step names the work in counters and log lines
     * @param sliceMs time per selector pass, exceeded by one task at most
     * @param onWorkDone called after each task that ran at once, and when a task was queued
     */
    TimeSlicedQueue(
            Step step,
            int sliceMs,
            Counters counters,
            IoThreadMonitor monitor,
            Runnable onWorkDone) {
        this.step = step;
        this.name = step.label();
        this.sliceNanos = TimeUnit.MILLISECONDS.toNanos(sliceMs);
        this.counters = counters;
        this.monitor = monitor;
        this.onWorkDone = onWorkDone;
    }

    /** Returns whether a task may run at once: none is queued, and the time slice lasts. */
    public boolean mayRunNow() {
        return queue.isEmpty() && spentNanos < sliceNanos;
    }

    /** Runs a task now and counts its time; to be called if {@link #mayRunNow} allows it. */
    public void runNow(Runnable task) {
        long startedAtNanos = monitor.begin(step);
        try {
            runTimed(task);
        } finally {
            monitor.end(step, startedAtNanos, 1);
            onWorkDone.run();
        }
    }

    /** Queues a task. */
    public void defer(Runnable task) {
        counters.count("deferred " + name);
        queue.add(new QueuedTask(task, System.nanoTime()));
        onWorkDone.run();
    }

    /** Runs a callback once all tasks that are queued now have run. */
    void runAfterQueued(Runnable callback) {
        if (queue.isEmpty()) {
            callback.run();
        } else {
            queue.add(new QueuedTask(callback, System.nanoTime()));
        }
    }

    /** Returns whether no task is queued. */
    public boolean isEmpty() {
        return queue.isEmpty();
    }

    int size() {
        return queue.size();
    }

    /** Returns for how long the oldest queued task has waited, in nanoseconds; 0 without one. */
    long oldestDelayNanos() {
        return queue.isEmpty() ? 0 : System.nanoTime() - queue.peekFirst().addedAtNanos;
    }

    /** Starts the time slice of the next pass and runs queued tasks in it. */
    void runSlice() {
        spentNanos = 0;
        if (queue.isEmpty()) {
            return;
        }
        long startedAtNanos = monitor.begin(step);
        int tasks = 0;
        try {
            while (!queue.isEmpty() && spentNanos < sliceNanos) {
                QueuedTask next = queue.pollFirst();
                counters.recordMax(
                        "max delay of deferred " + name + ", us",
                        TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - next.addedAtNanos));
                runTimed(next.task);
                tasks++;
            }
        } finally {
            monitor.end(step, startedAtNanos, tasks);
        }
    }

    private void runTimed(Runnable task) {
        long startedAt = System.nanoTime();
        try {
            task.run();
        } finally {
            spentNanos += System.nanoTime() - startedAt;
        }
    }
}
