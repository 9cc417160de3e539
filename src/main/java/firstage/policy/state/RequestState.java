package firstage.policy.state;

import firstage.policy.api.DemandHistogram;
import firstage.policy.api.IncomingRequest;
import firstage.policy.api.TrafficClass;
import java.util.ArrayList;
import java.util.List;

/** A request that is open, or closed with an attempt in flight. */
public final class RequestState {
    public final IncomingRequest incoming;
    public final TrafficClassStats classStats;

    /** Place in the order of arrival at this manager. */
    public final long arrivalOrder;

    /** In ticks. */
    public final long acceptedAt;

    /** Its ordering key where its traffic class is ordered, else -1. */
    public final int orderingKey;

    /** When it is to be answered by its latency objective, in ticks. */
    public long objectiveAt;

    public int attemptsStarted;

    /** Whether it came beyond its tenant's quota. */
    public boolean overQuota;

    /** See {@link DemandHistogram#priorityBand}. */
    public int priorityBand;

    /** Whether one of the attempts that have ended may have run. */
    public boolean mayHaveRun;

    /** When the first such attempt was sent, in ticks, and to which engine. */
    public long firstExecutionAt;

    public EngineState firstExecutionEngine;

    /** Where the latest attempt went; null before the first. */
    public EngineState lastEngine;

    /** At how many engines it failed. */
    public int failedEngines;

    /** The first of them; null for none. */
    public EngineState firstFailedEngine;

    /** Answered, or its client is gone. */
    public boolean closed;

    /** Its client may have left: it is not to be started. */
    public boolean clientAbsent;

    /** The engines probed for their load before it starts, and when, in ticks. */
    public List<EngineState> probedEngines = List.of();

    public long probedAt;

    /** In the order of their start. */
    public final List<Attempt> attemptsInFlight = new ArrayList<>();

    /** An open request that nothing was started for. */
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

    /** What the deployment states of its traffic class. */
    public TrafficClass trafficClass() {
        return classStats.trafficClass;
    }

    /** Sets when it is to be answered: the class' latency objective, longer for more work. */
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

    /** Sets its band, by priority weight for expected work. */
    public void setPriorityBand() {
        priorityBand =
                DemandHistogram.priorityBand(
                        trafficClass().priorityWeight(), expectedWork(), overQuota);
    }

    /** An attempt that has ended may have run. */
    public void recordPossibleExecution(Attempt attempt) {
        if (!mayHaveRun || attempt.sentAt < firstExecutionAt) {
            firstExecutionAt = attempt.sentAt;
            firstExecutionEngine = attempt.engine;
        }
        mayHaveRun = true;
    }

    /**
     * When the earliest attempt was sent that may have run or is in flight, in ticks; {@code now}
     * where there is none.
     */
    public long firstSentAt(long now) {
        long first = mayHaveRun ? firstExecutionAt : now;
        for (Attempt attempt : attemptsInFlight) {
            first = Math.min(first, attempt.sentAt);
        }
        return first;
    }

    /** The estimate, times the best ratio of its class; else the work of a typical request. */
    public double expectedWork() {
        return incoming.estimatedWork() > 0
                ? incoming.estimatedWork() * classStats.bestRatio()
                : classStats.typicalWork();
    }

    /** How many ticks the expected work takes on its threads. */
    public long expectedDuration() {
        return (long) expectedWork() / classStats.trafficClass.threads();
    }

    /** The estimate of its memory, else the mean of its class; 0 without both. */
    public double expectedMemoryMb() {
        return incoming.estimatedMemoryMb() > 0
                ? incoming.estimatedMemoryMb()
                : classStats.memoryMb.orElse(0);
    }

    /** Whether all engines probed for it have reported their load since. */
    public boolean allProbesAnswered() {
        return probedEngines.stream().allMatch(engine -> engine.loadReportedAt >= probedAt);
    }

    /** The attempt of this number; null where it is not in flight. */
    public Attempt attemptInFlight(int number) {
        for (Attempt attempt : attemptsInFlight) {
            if (attempt.number == number) {
                return attempt;
            }
        }
        return null;
    }
}
