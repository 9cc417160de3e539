package firstage.simulation;

import firstage.cells.CellPlan;
import firstage.policy.api.TrafficClass.Effect;
import firstage.policy.api.TrafficClass.Scope;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The contents of a fleet file. Times are in ticks, memory in MB, work in ticks of one thread on
 * one core at speed 1.
 */
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

    /** Returns the zone of a manager or engine; both are assigned to the zones in turn. */
    public int zoneOf(int number) {
        return number % zones.size();
    }

    /**
     * A fault of managers, engines or the links between them, from {@code at} for {@code length}.
     *
     * @param line the line of the plan
     * @param source the affected managers or engines, null for {@link Kind#TRAFFIC}; for cuts, loss
     *     and delay, one end of the affected links
     * @param target for cuts, loss and delay, the other end of the links, else null
     * @param oneWay whether only the direction from {@code source} to {@code target} is affected
     * @param size the strength, as the kind defines it
     * @param interval if above 0, faults of managers hit one of the affected managers after another
     *     at this interval until the end of the plan, and faults of links start again this long
     *     after they end; other kinds of faults, and simulations, ignore the interval
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
        /** The kind of a fault. */
        public enum Kind {
            /** Managers are killed (SIGKILL), and started again after their restart time. */
            KILL,
            /** Managers are shut down (SIGTERM), and started again. */
            STOP,
            /** Managers are suspended, and resume after {@code length} unaware of the pause. */
            PAUSE,
            /** Managers reload their configuration (SIGHUP). */
            RELOAD,
            /**
             * Engines die, which resets their connections, and restart cold after {@code length}.
             */
            DIE,
            /** Engines send nothing and accept no connections; they are cold afterwards. */
            SILENCE,
            /** Engines accept requests and complete none. */
            HANG,
            /** Engines drain for {@code length}, die and restart cold. */
            DRAIN,
            /**
             * The endpoint list names engines again while their processes live: with a later start,
             * another id, or after {@code length} as gone or draining.
             */
            RELIST,
            /**
             * The machines of engines are cut off and run on, other processes have their addresses,
             * and the endpoint list may say so.
             */
            REPLACE,
            /** Links deliver nothing; data that was written arrives when the cut ends. */
            CUT,
            /**
             * Datagrams are lost with probability {@code size}; connections stall for 200 ms with a
             * tenth of that probability.
             */
            LOSS,
            /** Data arrives {@code size} ms later, plus a random time of up to as much. */
            DELAY,
            /** Traffic is multiplied by {@code size}. */
            TRAFFIC
        }

        /** Returns whether the simulation supports this kind of fault. */
        public boolean isSimulatable() {
            return kind == Kind.KILL
                    || kind == Kind.DIE
                    || kind == Kind.SILENCE
                    || kind == Kind.HANG
                    || kind == Kind.TRAFFIC;
        }
    }

    /** Bounds for a figure of the result. */
    public record Expectation(int line, String figure, double min, double max) {}

    /**
     * The managers.
     *
     * @param count the number of managers that the plan runs
     * @param fleetSize the number of managers of the whole fleet according to the settings, at
     *     least {@code count}
     * @param cellSize managers in a cell; 0 where all managers use all engines
     * @param spread the number of cells that serve an engine
     * @param trafficSkew how far the managers' shares of the traffic differ; 0: not at all
     * @param discoveryDelay time after which a change of the endpoint list reaches a manager
     * @param cancel whether managers may cancel attempts
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
     * Returns the cells, which are assigned to the zones in turn; null where all managers use all
     * engines.
     */
    public CellPlan cellPlan() {
        int cells = managers.cellSize == 0 ? 0 : managers.count / managers.cellSize;
        return cells == 0
                ? null
                : new CellPlan(
                        1,
                        managers.spread,
                        IntStream.range(0, cells)
                                .mapToObj(
                                        cell ->
                                                new CellPlan.Cell(
                                                        "c" + cell,
                                                        zones.get(zoneOf(cell)),
                                                        managers.cellSize,
                                                        true))
                                .toList());
    }

    /**
     * Returns the cell of a manager. The managers of a zone fill the zone's cells one after
     * another.
     */
    public int cellOf(int manager) {
        return manager / zones.size() / managers.cellSize * zones.size() + zoneOf(manager);
    }

    /**
     * The engines, all of one kind.
     *
     * @param threadsPerCoreKnee threads per core beyond which throughput falls
     * @param thrashing the cost of further threads: throughput is divided by 1 + thrashing *
     *     (threads / threads at the knee - 1)
     * @param disks I/O capacity per core, in ticks of I/O work per tick
     * @param spillCost additional work of a request that gets no memory, as a multiple of its work
     * @param sessions attempts that an engine accepts at a time
     * @param warmTableGroups table groups that stay warm, the most recently used ones
     * @param warmTableGain share of the I/O that warm tables save
     * @param initialCapacityShare share of its capacity that an engine has when it starts
     * @param progressInterval time between progress reports; 0 for none
     * @param failureRate share of attempts that fail at their end
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

    /** The network between managers and engines. */
    public record Network(Range oneWayDelay) {}

    /**
     * The clients.
     *
     * @param retryPause time between two tries of a request
     * @param tryTimeoutShare timeout of a try, as a share of the request's whole time
     * @param retryAfterHonouredShare share of retries that wait as long as the manager asked for
     */
    public record Clients(
            int retries,
            Range retryPause,
            double tryTimeoutShare,
            double retryAfterHonouredShare) {}

    /**
     * The limits of the rules on drains, cold engines and ordering keys.
     *
     * @param drainGrace time for which an engine may get statements after its drain was announced
     * @param overloadMultiple multiple of its present capacity at which a cold engine is
     *     overloaded; 0 for never
     * @param overloadWindow time over which the work sent to a cold engine is summed up
     * @param keyQuietPeriod pause of a key after an attempt that may still run
     */
    public record Rules(
            long drainGrace, double overloadMultiple, long overloadWindow, long keyQuietPeriod) {}

    /**
     * Weights in the score: of the whole run, of its worst 10 s, and of the traffic class and the
     * tenant that are served worst.
     */
    public record ScoreWeights(
            double wholeRun, double worstInterval, double worstTrafficClass, double worstTenant) {}

    /**
     * A traffic class.
     *
     * @param share its share of all requests
     * @param work the mean work of a request
     * @param workSpread standard deviation of the logarithm of the work
     * @param ioShare share of the work that is I/O
     * @param memoryMb the median memory need of a request
     * @param latencyObjectivePerWork addition to the latency objective, as a multiple of the work
     *     per thread
     * @param lateValueShare share of the priority weight that a late answer earns
     * @param blockedByTableLoads whether requests wait while their table group is loaded
     * @param badPlanShare share of requests that run with a bad execution plan, at a multiple of
     *     their work
     * @param estimateFactor the median of the ratio of estimated to true work
     * @param estimateScatter standard deviation of the logarithm of the ratio of estimated to true
     *     work or memory
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

    /**
     * The traffic to all managers of the plan.
     *
     * @param shape the name of the {@link TrafficShape}
     * @param rate mean requests per second
     * @param swing how strongly the shape varies the rate
     * @param keySkew exponent of the Zipf distribution of ordering keys
     * @param tableGroupSkew exponent of the Zipf distribution of table groups
     */
    public record Traffic(
            String shape,
            double rate,
            double swing,
            int keys,
            double keySkew,
            int tableGroups,
            double tableGroupSkew) {}

    /**
     * A disturbance of a simulated run, from {@code at} for {@code length}.
     *
     * @param affectedShare share of the engines or managers that are affected
     * @param size the strength, as the kind defines it
     * @param extra the share of requests that cost more; for {@link Kind#RELEASE}, the share of all
     *     engines that are replaced at a time
     * @param trafficClass the index of the traffic class whose requests cost more
     */
    public record Disturbance(
            Kind kind,
            long at,
            long length,
            double affectedShare,
            double size,
            double extra,
            int trafficClass) {
        /** The kind of a disturbance. */
        public enum Kind {
            /** Engines die and restart cold. */
            CRASH,
            /** Engines stop responding and are cold afterwards. */
            SILENCE,
            /** Engines accept requests and complete none. */
            HANG,
            /** Engines drain and are replaced by cold ones, some at a time. */
            RELEASE,
            /** Managers are killed and restart without their state. */
            RESTART,
            /** Traffic is multiplied by {@code size}. */
            BURST,
            /**
             * The share {@code extra} of one traffic class's requests costs {@code size} times as
             * much, and estimates show it.
             */
            EXPENSIVE,
            /** Like {@link #EXPENSIVE}, but estimates do not show it. */
            EXPENSIVE_UNSEEN,
            /** All engines take {@code size} times as long. */
            SLOW,
            /** Load reports arrive {@code size} seconds later. */
            LATE_REPORTS,
            /** Engines become cold at once, and continue to run. */
            COLD
        }
    }
}
