package firstage.policy.state;

import firstage.policy.api.DemandHistogram;
import firstage.policy.api.IncomingRequest;
import firstage.policy.api.TrafficClass;
import java.util.ArrayList;
import java.util.List;

/** State of a request that is open, or closed but still has an attempt in flight. */
public final class RequestState {
    public final IncomingRequest incoming;
    public final TrafficClassStats classStats;

    /** Position of the request in the order of arrival at this manager. */
    public final long arrivalOrder;

    /** Time of acceptance, in ticks. */
    public final long acceptedAt;

    /** Ordering key of the request if its traffic class is ordered; otherwise -1. */
    public final int orderingKey;

    /** Time at which the latency objective ends, in ticks. */
    public long objectiveAt;

    public int attemptsStarted;

    /** Whether the request exceeded its tenant's quota when it arrived. */
    public boolean overQuota;

    /** Band of the request, see {@link DemandHistogram#priorityBand}. */
    public int priorityBand;

    /** Whether any attempt that has ended may have run. */
    public boolean mayHaveRun;

    /** Time at which the earliest attempt that ended and may have run was sent, in ticks. */
    public long firstExecutionAt;

    /** Engine of the attempt that was sent at {@link #firstExecutionAt}; null if there is none. */
    public EngineState firstExecutionEngine;

    /** Number of the latest attempt that ended without proof; -1 if there is none. */
    public int unconfirmedAttempt = -1;

    /** Time until which the {@link #unconfirmedAttempt} may still run, in ticks. */
    public long unconfirmedUntil;

    /** Engine of the latest attempt; null before the first attempt. */
    public EngineState lastEngine;

    /** Number of engines at which the request failed. */
    public int failedEngines;

    /** First engine at which the request failed; null if none. */
    public EngineState firstFailedEngine;

    /** Whether the request was answered or its client is gone. */
    public boolean closed;

    /** Whether the client may have left; the request is not started while set. */
    public boolean clientAbsent;

    /** Engines that were probed for their load before the request starts. */
    public List<EngineState> probedEngines = List.of();

    /** Time of the latest probes for the request, in ticks. */
    public long probedAt;

    /** Attempts in flight, in the order of their start. */
    public final List<Attempt> attemptsInFlight = new ArrayList<>();

    /** Creates an open request that has no attempt yet. */
    public RequestState(
            IncomingRequest incoming,
            TrafficClassStats classStats,
            long arrivalOrder,
            long acceptedAt) {
        this.incoming = incoming;
        this.classStats = classStats;
        this.arrivalOrder = arrivalOrder;
        this.acceptedAt = acceptedAt;
        this.orderingKey = classStats.trafficClass.ordered() ? incoming.orderingKey() : -1;
    }

    /** Returns the configuration of the request's traffic class. */
    public TrafficClass trafficClass() {
        return classStats.trafficClass;
    }

    /** Sets the end of the latency objective, which is later for requests with more work. */
    public void setObjective() {
        TrafficClass trafficClass = trafficClass();
        objectiveAt =
                acceptedAt
                        + trafficClass.latencyObjective()
                        + (long)
                                (trafficClass.latencyObjectivePerWork()
                                        * expectedWork()
                                        / trafficClass.threads());
    }

    /** Sets the priority band from the priority weight and the expected work. */
    public void setPriorityBand() {
        priorityBand =
                DemandHistogram.priorityBand(
                        trafficClass().priorityWeight(), expectedWork(), overQuota);
    }

    /** Records that an attempt has ended and may have run. */
    public void recordPossibleExecution(Attempt attempt) {
        if (!mayHaveRun || attempt.sentAt < firstExecutionAt) {
            firstExecutionAt = attempt.sentAt;
            firstExecutionEngine = attempt.engine;
        }
        mayHaveRun = true;
    }

    /** Records that an attempt has ended, but may still run for {@code mayStillRunFor} ticks. */
    public void recordUnconfirmedEnd(long now, int attemptNumber, long mayStillRunFor) {
        if (mayStillRunFor > 0) {
            unconfirmedAttempt = attemptNumber;
            unconfirmedUntil = Math.max(unconfirmedUntil, now + mayStillRunFor);
        }
    }

    /** Records the proof that an attempt no longer runs. */
    public void confirmEnd(int attemptNumber) {
        if (unconfirmedAttempt == attemptNumber) {
            unconfirmedAttempt = -1;
            unconfirmedUntil = 0;
        }
    }

    /**
     * Returns the time at which the earliest attempt that may have run or is in flight was sent, in
     * ticks; {@code now} if there is none.
     */
    public long firstSentAt(long now) {
        long first = mayHaveRun ? firstExecutionAt : now;
        for (Attempt attempt : attemptsInFlight) {
            first = Math.min(first, attempt.sentAt);
        }
        return first;
    }

    /**
     * Returns the expected work in ticks on one thread: the estimate times the best latency ratio
     * of the traffic class, or the work of a typical request if there is no estimate.
     */
    public double expectedWork() {
        return incoming.estimatedWork() > 0
                ? incoming.estimatedWork() * classStats.bestLatencyRatio()
                : classStats.typicalWork();
    }

    /** Returns the time that the expected work takes on the threads of the request, in ticks. */
    public long expectedDuration() {
        return (long) expectedWork() / classStats.trafficClass.threads();
    }

    /** Returns the estimated memory, or the mean of the class if there is none; 0 without both. */
    public double expectedMemoryMb() {
        return incoming.estimatedMemoryMb() > 0
                ? incoming.estimatedMemoryMb()
                : classStats.meanMemoryMb.orElse(0);
    }

    /** Returns whether all probed engines have reported their load since the probes. */
    public boolean allProbesAnswered() {
        return probedEngines.stream().allMatch(engine -> engine.loadReportedAt >= probedAt);
    }

    /** Returns the attempt of this number; null if it is not in flight. */
    public Attempt attemptInFlight(int number) {
        for (Attempt attempt : attemptsInFlight) {
            if (attempt.number == number) {
                return attempt;
            }
        }
        return null;
    }
}
