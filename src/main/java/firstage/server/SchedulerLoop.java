package firstage.server;

import firstage.policy.api.SchedulingPolicy;
import firstage.server.FlightRecorder.EventType;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Passes events to the scheduler and runs one evaluation after all events that are ready. If the
 * thread was stalled, all input that arrived in the meantime is read before the evaluation. An
 * exception of the scheduler is logged and counted, and the program continues. Owned by the I/O
 * thread.
 */
final class SchedulerLoop {
    private static final Logger LOG = Logger.getLogger(SchedulerLoop.class.getName());

    /**
     * Delay, in microseconds, above which the thread counts as stalled: half of the 60 ms by which
     * clients space the requests of one ordering key.
     */
    private static final long STALL_THRESHOLD_US = 30_000;

    private final XnioIoThread io;
    private final TickClock clock;
    private final Counters counters;
    private final ActionGuard guard;
    private final BooleanSupplier endpointsConfirmed;
    private SchedulingPolicy scheduler;
    private Runnable beforeEvaluation;
    private Runnable afterEvaluation;
    private boolean evaluationScheduled;

    /** Whether the thread was stalled since the last evaluation. */
    private boolean stalled;

    /**
     * Creates the loop; {@link #attach} must be called before the first event.
     *
     * @param endpointsConfirmed returns whether the endpoint list may be acted on yet
     */
    SchedulerLoop(
            XnioIoThread io,
            TickClock clock,
            Counters counters,
            ActionGuard guard,
            BooleanSupplier endpointsConfirmed) {
        this.io = io;
        this.clock = clock;
        this.counters = counters;
        this.guard = guard;
        this.endpointsConfirmed = endpointsConfirmed;
    }

    /** Sets the scheduler and the hooks of evaluations; called once, before the first event. */
    void attach(SchedulingPolicy scheduler, Runnable beforeEvaluation, Runnable afterEvaluation) {
        this.scheduler = scheduler;
        this.beforeEvaluation = beforeEvaluation;
        this.afterEvaluation = afterEvaluation;
    }

    /** Returns the scheduler for queries only; events go through {@link #dispatch}. */
    SchedulingPolicy scheduler() {
        return scheduler;
    }

    /**
     * Passes an event to the scheduler, and schedules an evaluation.
     *
     * @param event the name of the event in the log
     */
    void dispatch(String event, Consumer<SchedulingPolicy> call) {
        try {
            call.accept(scheduler);
        } catch (RuntimeException exception) {
            onUnexpectedException(event, exception);
        }
        scheduleEvaluation();
    }

    /** Schedules one evaluation after all events that are ready. */
    void scheduleEvaluation() {
        if (!evaluationScheduled) {
            evaluationScheduled = true;
            long dueNanos = System.nanoTime();
            io.execute(
                    () -> {
                        stalled |= recordDelay("max evaluation delay, us", dueNanos);
                        stalled |= guard.isCatchingUp();
                        if (stalled) {
                            // All input that arrived in the meantime is read first: nothing must
                            // be sent for a client that left in that time.
                            counters.count("stalls");
                            stalled = false;
                            guard.runAfterPendingReads(this::runScheduler);
                        } else {
                            runScheduler();
                        }
                    });
        }
    }

    private void runScheduler() {
        evaluationScheduled = false;
        try {
            beforeEvaluation.run();
            if (endpointsConfirmed.getAsBoolean()) {
                scheduler.runPendingActions(clock.now());
            }
        } catch (RuntimeException exception) {
            onUnexpectedException("evaluation", exception);
        }
        afterEvaluation.run();
    }

    /** Wakes up the scheduler with {@code token} after {@code delay} ticks. */
    void scheduleWakeUp(long delay, long token) {
        long delayMs = Math.max(1, delay / 10);
        long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMs);
        runLater(
                delayMs,
                () -> {
                    stalled |= recordDelay("max wake-up delay, us", dueNanos);
                    dispatch("wake-up", policy -> policy.onWakeUp(clock.now(), token));
                });
    }

    /** Runs a task on the I/O thread after {@code ms} milliseconds. */
    XnioExecutor.Key runLater(long ms, Runnable task) {
        return io.executeAfter(task, ms, TimeUnit.MILLISECONDS);
    }

    /** Records a timer's delay under {@code counter}; returns whether the delay is a stall. */
    boolean recordDelay(String counter, long dueNanos) {
        long delayUs = (System.nanoTime() - dueNanos) / 1_000;
        counters.recordMax(counter, delayUs);
        if (delayUs > STALL_THRESHOLD_US) {
            counters.recorder().record(EventType.STALL, null, delayUs / 1_000, 0);
        }
        return delayUs > STALL_THRESHOLD_US;
    }

    private void onUnexpectedException(String event, RuntimeException exception) {
        counters.count("unexpected exceptions");
        LOG.log(Level.SEVERE, "unexpected exception event=" + event, exception);
    }
}
