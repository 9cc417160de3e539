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
 * Brings events to the scheduler and lets it evaluate once after all events that are at hand. Where
 * the thread was stalled, what arrived meanwhile is read before that. An exception of the scheduler
 * is logged and counted, and the program goes on. Owned by the I/O thread.
 */
final class SchedulerLoop {
    private static final Logger LOG = Logger.getLogger(SchedulerLoop.class.getName());

    /** A longer delay is a stall: clients write requests of one key 60 ms apart. */
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

    /** The thread was stalled since the last evaluation. */
    private boolean stalled;

    /** {@code endpointsConfirmed}: whether the endpoint list may be acted on yet. */
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

    /** Called once, before the first event. */
    void attach(SchedulingPolicy scheduler, Runnable beforeEvaluation, Runnable afterEvaluation) {
        this.scheduler = scheduler;
        this.beforeEvaluation = beforeEvaluation;
        this.afterEvaluation = afterEvaluation;
    }

    /** The scheduler, to be asked only: events go by {@link #dispatch}. */
    SchedulingPolicy scheduler() {
        return scheduler;
    }

    /** Hands one event to the scheduler; {@code event} names it in the log. */
    void dispatch(String event, Consumer<SchedulingPolicy> call) {
        try {
            call.accept(scheduler);
        } catch (RuntimeException exception) {
            onUnexpectedException(event, exception);
        }
        scheduleEvaluation();
    }

    /** One evaluation after all events that are at hand. */
    void scheduleEvaluation() {
        if (!evaluationScheduled) {
            evaluationScheduled = true;
            long dueNanos = System.nanoTime();
            io.execute(
                    () -> {
                        stalled |= recordDelay("max evaluation delay, us", dueNanos);
                        stalled |= guard.isCatchingUp();
                        if (stalled) {
                            // What arrived meanwhile is read first: nothing must be sent for a
                            // client that left in that time.
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
            onUnexpectedException("turn", exception);
        }
        afterEvaluation.run();
    }

    /** Wakes the scheduler up after {@code delay}, with {@code token}. */
    void scheduleWakeUp(long delay, long token) {
        long delayMs = Math.max(1, delay / 10);
        long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMs);
        runLater(
                delayMs,
                () -> {
                    stalled |= recordDelay("max wake-up delay, us", dueNanos);
                    dispatch("woken", policy -> policy.onWakeUp(clock.now(), token));
                });
    }

    /** Runs a task on the I/O thread after so many milliseconds. */
    XnioExecutor.Key runLater(long ms, Runnable task) {
        return io.executeAfter(task, ms, TimeUnit.MILLISECONDS);
    }

    /** Keeps the largest delay of a timer under {@code counter}; true where it is a stall. */
    boolean recordDelay(String counter, long dueNanos) {
        long delayUs = (System.nanoTime() - dueNanos) / 1_000;
        counters.peak(counter, delayUs);
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
