package firstage.simulation;

import firstage.cells.CellPlan;
import firstage.policy.api.TrafficClass.Effect;
import firstage.policy.api.TrafficClass.Scope;
import java.util.List;
import java.util.stream.IntStream;

/**
 * What a fleet file sets. Times are tenths of a millisecond, memory MB, work the time of one thread
 * on one core.
 */
public record FleetPlan(
        String name,
        long length,
        Managers managers,
        Engines engines,
        Net net,
        Clients clients,
        Rules rules,
        Goal goal,
        List<Group> groups,
        List<Customer> customers,
        Traffic traffic,
        List<Trouble> troubles,
        List<String> zones,
        List<Fault> faults,
        List<Expect> expects) {

    /** Managers and engines are dealt round the zones. */
    public int zoneOf(int number) {
        return number % zones.size();
    }

    /**
     * What is broken between processes: {@code who} it strikes, for cuts, loss and delay on the
     * ways from {@code who} to {@code to}, both ways unless {@code oneWay}. {@code every} above 0:
     * again each so long, the struck ones in turn.
     */
    public record Fault(
            int line,
            Kind kind,
            long at,
            long length,
            FaultTarget who,
            FaultTarget to,
            boolean oneWay,
            double size,
            long every) {
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
            /** Engines take batches and end none. */
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
        public boolean modelled() {
            return kind == Kind.KILL
                    || kind == Kind.DIE
                    || kind == Kind.SILENCE
                    || kind == Kind.HANG
                    || kind == Kind.TRAFFIC;
        }
    }

    /** A figure and its bounds. */
    public record Expect(int line, String figure, double least, double most) {}

    /**
     * {@code unequal}: how far managers' parts of the traffic differ: 0 is not at all. {@code of}:
     * the managers of the whole fleet, as the settings tell it, of which this is a part. {@code
     * cell}: managers in a cell, 0 where all use all engines; {@code spread}: cells that serve an
     * engine.
     */
    public record Managers(
            int count,
            int of,
            int cell,
            int spread,
            double unequal,
            Range listDelay,
            boolean probes,
            boolean secondCopies,
            boolean callOff,
            int dispatches,
            Range restart) {}

    /**
     * Which cell serves what; null where all managers use all engines. Cells lie in zones by turns.
     */
    public CellPlan cells() {
        int cells = managers.cell == 0 ? 0 : managers.count / managers.cell;
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
                                                        managers.cell,
                                                        true))
                                .toList());
    }

    /** The cell of a manager: those of a zone fill its cells one after the other. */
    public int cellOf(int manager) {
        return manager / zones.size() / managers.cell * zones.size() + zoneOf(manager);
    }

    /**
     * One kind of engine. {@code knee}: threads a core up to which all work; {@code thrash}: of the
     * work that each further thread a core costs; {@code spill}: further work of a batch with no
     * memory at all; {@code warmGain}: of the reading that warm tables save; {@code coldFrom}: of
     * its capacity at a start.
     */
    public record Engines(
            int count,
            int cores,
            double memoryMb,
            Range speed,
            Range knee,
            Range thrash,
            double disks,
            Range spill,
            int sessions,
            int warmGroups,
            double warmGain,
            double coldFrom,
            Range warmAfter,
            boolean grants,
            boolean priorities,
            long notePace,
            double errs) {}

    /** One way, and the spread of it. */
    public record Net(Range way) {}

    public record Clients(int retries, Range pause, double tryShare, double honour) {}

    public record Rules(long drainGrace, double tipMultiple, long fall, long keyRest) {}

    /** Weights of the whole run, its worst 10 s, its worst-served group and customer. */
    public record Goal(double whole, double worstSpan, double worstGroup, double worstCustomer) {}

    /**
     * {@code low}: estimates are drawn round this times the truth, {@code scatter} wide (of a
     * logarithm).
     */
    public record Group(
            String name,
            double share,
            double work,
            double spread,
            double io,
            int threads,
            double memoryMb,
            long goal,
            double stretch,
            long limit,
            double utility,
            double lateValue,
            Effect effect,
            Scope scope,
            long window,
            boolean ordered,
            boolean load,
            boolean yields,
            double badPlans,
            double low,
            double scatter) {}

    public record Customer(String name, double share) {}

    /** Batches a second over all; {@code kind} names the shape over the run. */
    public record Traffic(
            String kind,
            double rate,
            double swing,
            int keys,
            double keyHeat,
            int tables,
            double tableHeat) {}

    /**
     * {@code part} of those it strikes, from {@code at} for {@code length}; {@code size} as each
     * kind says.
     */
    public record Trouble(
            Kind kind, long at, long length, double part, double size, double extra, int group) {
        /** What a fleet file may call for. */
        public enum Kind {
            /** Engines die and come back cold. */
            CRASH,
            /** Engines say nothing, and come back cold. */
            SILENCE,
            /** Engines take batches and end none. */
            HANG,
            /** Engines drain, a batch of them at a time, and are replaced by cold ones. */
            RELEASE,
            /** Managers are killed and come back with nothing. */
            RESTART,
            /** Traffic times {@code size}. */
            BURST,
            /** {@code extra} of one group's batches cost {@code size} times; estimates show it. */
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
