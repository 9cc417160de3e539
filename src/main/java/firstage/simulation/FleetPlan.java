package firstage.simulation;

import firstage.cells.CellPlan;
import firstage.policy.api.TrafficClass.Effect;
import firstage.policy.api.TrafficClass.Scope;
import java.util.List;
import java.util.stream.IntStream;

/** What a fleet file sets. Times are ticks, memory MB, work the time of one thread on one core. */
public record FleetPlan(
        String name,
        long length,
        Managers managers,
        Engines engines,
        Network network,
        Clients clients,
        Rules rules,
        ScoreWeights scoreWeights,
        List<TrafficClassPlan> trafficClasses,
        List<TenantPlan> tenants,
        Traffic traffic,
        List<Disturbance> disturbances,
        List<String> zones,
        List<Fault> faults,
        List<Expectation> expectations) {

    /** Managers and engines are dealt round the zones. */
    public int zoneOf(int number) {
        return number % zones.size();
    }

    /**
     * What is broken between processes: {@code source} it strikes, for cuts, loss and delay on the
     * ways from {@code source} to {@code target}, both ways unless {@code oneWay}. {@code interval}
     * above 0: again each so long, the struck ones in turn.
     */
    public record Fault(
            int line,
            Kind kind,
            long at,
            long length,
            FaultTarget source,
            FaultTarget target,
            boolean oneWay,
            double size,
            long interval) {
        /** What a plan may call for. */
        public enum Kind {
            /** Managers are killed outright, and started again after the managers' restart time. */
            KILL,
            /** Managers are told to end (SIGTERM), and started again. */
            STOP,
            /** Managers are stopped and go on after {@code length}, without having noticed. */
            PAUSE,
            /** Managers are told to read their configuration anew (SIGHUP). */
            RELOAD,
            /** Engines die, their connections reset, and come back cold after {@code length}. */
            DIE,
            /** Engines say nothing, new connections never come up; they come back cold. */
            SILENCE,
            /** Engines take requests and end none. */
            HANG,
            /** Engines drain for {@code length}, die, and come back cold. */
            DRAIN,
            /** Nothing passes; what was written comes when the cut heals. */
            CUT,
            /**
             * Datagrams are lost with this chance; connections stand still for 200 ms with a tenth
             * of it.
             */
            LOSS,
            /** Everything comes {@code size} ms later, and up to as much again. */
            DELAY,
            /** Traffic times {@code size}. */
            TRAFFIC
        }

        /** Whether the fleet model has it, too. */
        public boolean simulated() {
            return kind == Kind.KILL
                    || kind == Kind.DIE
                    || kind == Kind.SILENCE
                    || kind == Kind.HANG
                    || kind == Kind.TRAFFIC;
        }
    }

    /** A figure and its bounds. */
    public record Expectation(int line, String figure, double min, double max) {}

    /**
     * {@code trafficSkew}: how far managers' parts of the traffic differ: 0 is not at all. {@code
     * fleetSize}: the managers of the whole fleet, as the settings tell it, of which this is a
     * part. {@code cellSize}: managers in a cell, 0 where all use all engines; {@code workSpread}:
     * cells that serve an engine.
     */
    public record Managers(
            int count,
            int fleetSize,
            int cellSize,
            int spread,
            double trafficSkew,
            Range discoveryDelay,
            boolean probes,
            boolean hedging,
            boolean cancel,
            int maxAttempts,
            Range restartTime) {}

    /**
     * Which cell serves what; null where all managers use all engines. Cells lie in zones by turns.
     */
    public CellPlan cells() {
        int cells = managers.cellSize == 0 ? 0 : managers.count / managers.cellSize;
        return cells == 0
                ? null
                : new CellPlan(
                        1,
                        managers.spread,
                        IntStream.range(0, cells)
                                .mapToObj(
                                        c ->
                                                new CellPlan.Cell(
                                                        "c" + c,
                                                        zones.get(zoneOf(c)),
                                                        managers.cellSize,
                                                        true))
                                .toList());
    }

    /** The cell of a manager: those of a zone fill its cells one after the other. */
    public int cellOf(int manager) {
        return manager / zones.size() / managers.cellSize * zones.size() + zoneOf(manager);
    }

    /**
     * One kind of engine. {@code threadsPerCoreKnee}: threads a core up to which all work; {@code
     * thrashing}: of the work that each further thread a core costs; {@code spillCost}: further
     * work of a request with no memory at all; {@code warmTableGain}: of the reading that warm
     * tables save; {@code initialCapacityShare}: of its capacity at a start.
     */
    public record Engines(
            int count,
            int cores,
            double memoryMb,
            Range speed,
            Range threadsPerCoreKnee,
            Range thrashing,
            double disks,
            Range spillCost,
            int sessions,
            int warmTableGroups,
            double warmTableGain,
            double initialCapacityShare,
            Range warmUpDuration,
            boolean grants,
            boolean priorities,
            long progressInterval,
            double failureRate) {}

    /** One way, and the spread of it. */
    public record Network(Range oneWayDelay) {}

    public record Clients(
            int retries,
            Range retryPause,
            double deadlineShareOfTry,
            double retryAfterHonouredShare) {}

    public record Rules(
            long drainGrace, double overloadMultiple, long overloadWindow, long keyQuietPeriod) {}

    /** Weights of the whole run, its worst 10 s, its worst-served group and tenant. */
    public record ScoreWeights(
            double wholeRun, double worstSpan, double worstTrafficClass, double worstTenant) {}

    /**
     * {@code estimateFactor}: estimates are drawn round this times the truth, {@code
     * estimateScatter} wide (of a logarithm).
     */
    public record TrafficClassPlan(
            String name,
            double share,
            double work,
            double workSpread,
            double ioShare,
            int threads,
            double memoryMb,
            long latencyObjective,
            double latencyObjectivePerWork,
            long timeout,
            double priorityWeight,
            double lateValueShare,
            Effect effect,
            Scope idempotencyScope,
            long idempotencyWindow,
            boolean ordered,
            boolean tableLoad,
            boolean blockedByTableLoads,
            double badPlanShare,
            double estimateFactor,
            double estimateScatter) {}

    public record TenantPlan(String name, double share) {}

    /** Batches a second over all; {@code shape} names the shape over the run. */
    public record Traffic(
            String shape,
            double rate,
            double swing,
            int keys,
            double keySkew,
            int tableGroups,
            double tableGroupSkew) {}

    /**
     * {@code affectedShare} of those it strikes, from {@code at} for {@code length}; {@code size}
     * as each kind says.
     */
    public record Disturbance(
            Kind kind,
            long at,
            long length,
            double affectedShare,
            double size,
            double extra,
            int trafficClass) {
        /** What a fleet file may call for. */
        public enum Kind {
            /** Engines die and come back cold. */
            CRASH,
            /** Engines say nothing, and come back cold. */
            SILENCE,
            /** Engines take requests and end none. */
            HANG,
            /** Engines drain, a request of them at a time, and are replaced by cold ones. */
            RELEASE,
            /** Managers are killed and come back with nothing. */
            RESTART,
            /** Traffic times {@code size}. */
            BURST,
            /** {@code extra} of one group's requests cost {@code size} times; estimates show it. */
            EXPENSIVE,
            /** The same, and estimates do not. */
            EXPENSIVE_UNSEEN,
            /** Everything takes {@code size} times as long. */
            SLOW,
            /** Reports come {@code size} later. */
            LATE_REPORTS,
            /** All engines are cold at that moment. */
            COLD
        }
    }
}
