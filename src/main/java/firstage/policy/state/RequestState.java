package firstage.policy.state;

import firstage.policy.api.DemandHistogram;
import firstage.policy.api.IncomingRequest;
import firstage.policy.api.TrafficClass;
import java.util.ArrayList;
import java.util.List;

/** A batch that is open, or closed with a dispatch still out. */
public final class RequestState {
    public final IncomingRequest incoming;
    public final TrafficClassStats classStats;

    /** Place in the order of arrival at this manager. */
    public final long arrivalOrder;

    public final long acceptedAt;

    /** Its key where its group keeps order, else -1. */
    public final int orderingKey;

    public long objectiveAt;
    public int attemptsStarted;
    public boolean overQuota;

    /** Of its worth (door.Demand). */
    public int priorityBand;

    /**
     * Of the dispatches that are over, one may have run; the first such was sent then, to that
     * engine.
     */
    public boolean mayHaveRun;

    public long firstExecutionAt;
    public EngineState firstExecutionEngine;
    public EngineState lastEngine;

    /** Engines that it erred at, and the first of them. */
    public int failedEngines;

    public EngineState firstFailedEngine;
    public boolean closed;

    /** Its client may have left: it is not to be sent. */
    public boolean clientAway;

    /** The engines asked for their load before it goes, and when. */
    public List<EngineState> probedEngines = List.of();

    public long probedAt;
    public final List<Attempt> attemptsInFlight = new ArrayList<>();

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
                DemandHistogram.band(trafficClass().priorityWeight(), expectedWork(), overQuota);
    }

    /** A dispatch that is over may have run. */
    public void recordPossibleExecution(Attempt attempt) {
        if (!mayHaveRun || attempt.sentAt < firstExecutionAt) {
            firstExecutionAt = attempt.sentAt;
            firstExecutionEngine = attempt.engine;
        }
        mayHaveRun = true;
    }

    /**
     * When the earliest dispatch was sent that may have run or is still out; {@code now} without
     * any.
     */
    public long firstSentAt(long now) {
        long first = mayHaveRun ? firstExecutionAt : now;
        for (Attempt attempt : attemptsInFlight) {
            first = Math.min(first, attempt.sentAt);
        }
        return first;
    }

    /** The told estimate, as the group runs at its best, else the work of a usual batch. */
    public double expectedWork() {
        return incoming.estimatedWork() > 0
                ? incoming.estimatedWork() * classStats.bestRatio()
                : classStats.typicalWork();
    }

    /** How long that takes on its threads. */
    public long expectedDuration() {
        return (long) expectedWork() / classStats.trafficClass.threads();
    }

    /** The told estimate of its memory, else the group's mean; 0 without both. */
    public double expectedMemoryMb() {
        return incoming.estimatedMemoryMb() > 0
                ? incoming.estimatedMemoryMb()
                : classStats.memoryMb.or(0);
    }

    /** Whether all engines it looked at have told of their load since. */
    public boolean allProbesAnswered() {
        return probedEngines.stream().allMatch(engine -> engine.loadReportedAt >= probedAt);
    }

    public Attempt attemptInFlight(int number) {
        for (Attempt attempt : attemptsInFlight) {
            if (attempt.number == number) {
                return attempt;
            }
        }
        return null;
    }
}
