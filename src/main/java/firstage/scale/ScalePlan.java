package firstage.scale;

import firstage.cells.CellPlan;
import firstage.simulation.InvalidPlanException;
import firstage.simulation.TomlSection;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/**
 * The plan of a scale run, read from TOML in the same way as fleet and fault-test plans. All times
 * are ticks.
 *
 * @param settlingTime time from the start of the managers to the first measurement
 * @param length time from the end of the loads to the end of the run, in which the events happen
 * @param hollowManagers number of hollow managers
 * @param realManagers number of real managers
 * @param cellSize managers in a cell; 0 for a fleet without cells
 * @param spread number of cells that share an engine
 * @param engines number of engines
 * @param managersPerProcess maximum number of managers in a hollow process
 * @param probePeriod probe period of the membership protocol
 */
public record ScalePlan(
        String name,
        long settlingTime,
        long length,
        List<String> zones,
        int hollowManagers,
        int realManagers,
        int cellSize,
        int spread,
        int engines,
        int managersPerProcess,
        long probePeriod,
        List<Load> loads,
        List<Event> events) {
    /**
     * A load on the first real manager from clients that keep their connections open.
     *
     * @param rate statements a second over all connections
     * @param length ticks for which the load is measured
     * @param counted whether the load is used to fit the slopes; false for a load that only warms
     *     up the program
     */
    public record Load(int connections, double rate, long length, boolean counted) {}

    /**
     * An event of the run.
     *
     * @param at time from the end of the loads, in ticks
     * @param line line of the event in the plan, for error messages
     */
    public record Event(Kind kind, long at, int line) {}

    /** Kinds of events. Only hollow managers are killed or restarted. Plans use lower case. */
    public enum Kind {
        /** Kills one manager. */
        KILL,
        /** Lets one manager leave and start again. */
        RESTART,
        /** Publishes a change of one engine in the endpoint list. */
        LIST,
        /** Kills all managers of the last zone. */
        ZONE,
        /** Kills about seven in ten managers and starts them again. */
        MASS
    }

    private static final int MAX_HOLLOW_MANAGERS = 4_000;
    private static final int MAX_REAL_MANAGERS = 40;
    private static final int MAX_ENGINES = 10_000;
    private static final int MAX_MANAGERS_PER_PROCESS = 400;
    private static final int MAX_CELL_SIZE = 200;

    /** Longest length of a plan or a load, in ticks: 10 minutes. */
    private static final long MAX_LENGTH = 6_000_000;

    /** Shortest length of a load, in ticks: 2 s. */
    private static final long MIN_LOAD_LENGTH = 20_000;

    private static final int MAX_CONNECTIONS = 10_000;
    private static final double MAX_RATE = 10_000;

    /**
     * Reads a plan from its TOML text.
     *
     * @throws InvalidPlanException if the plan is not valid; the message names the line, the fault
     *     and a valid value
     */
    public static ScalePlan read(String text) {
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            throw new InvalidPlanException(
                    toml.errors().get(0).position().line(),
                    toml.errors().get(0).getMessage().lines().findFirst().orElse(""));
        }
        TomlSection root = new TomlSection(toml, "", 1);
        List<String> zones =
                Arrays.stream(root.text("zones", "a").split(",")).map(String::trim).toList();
        TomlSection managers = root.table("managers");
        TomlSection engines = root.table("engines");
        List<Event> events = new ArrayList<>();
        List<String> kinds =
                Arrays.stream(Kind.values()).map(k -> k.name().toLowerCase(Locale.ROOT)).toList();
        for (TomlSection section : root.tables("event")) {
            events.add(
                    new Event(
                            Kind.valueOf(
                                    section.oneOf("kind", null, kinds).toUpperCase(Locale.ROOT)),
                            section.duration("at", null),
                            section.line()));
            section.rejectUnknownKeys();
        }
        List<Load> loads = new ArrayList<>();
        for (TomlSection s : root.tables("load")) {
            loads.add(readLoad(s));
        }
        ScalePlan plan =
                new ScalePlan(
                        root.text("name", "scale"),
                        root.duration("settle", "12 s"),
                        root.duration("length", null),
                        zones,
                        managers.integer("hollow", 1, MAX_HOLLOW_MANAGERS, null),
                        managers.integer("real", 0, MAX_REAL_MANAGERS, 0),
                        managers.integer("cell", 0, MAX_CELL_SIZE, 0),
                        managers.integer("spread", 1, 64, 1),
                        engines.integer("count", 1, MAX_ENGINES, null),
                        managers.integer("in_a_process", 1, MAX_MANAGERS_PER_PROCESS, 200),
                        root.duration("probe", "200 ms"),
                        loads,
                        events);
        root.rejectUnknownKeys();
        managers.rejectUnknownKeys();
        engines.rejectUnknownKeys();
        plan.check(managers, root);
        return plan;
    }

    private static Load readLoad(TomlSection section) {
        Load load =
                new Load(
                        section.integer("connections", 1, MAX_CONNECTIONS, null),
                        section.number("rate", 0.1, MAX_RATE, null),
                        section.duration("length", "10 s"),
                        section.flag("counted", true));
        if (load.connections > load.rate * LoadClients.MAX_IDLE_S) {
            throw section.invalid(
                    "rate",
                    String.format(
                            Locale.ROOT,
                            "%d connections at %.1f statements a second are idle for"
                                    + " more than %.0f s between calls, and clients close"
                                    + " such connections; use a rate of at least %.1f",
                            load.connections,
                            load.rate,
                            LoadClients.MAX_IDLE_S,
                            load.connections / LoadClients.MAX_IDLE_S));
        }
        if (load.length < MIN_LOAD_LENGTH || load.length > MAX_LENGTH) {
            throw section.invalid(
                    "length",
                    "out of range; use "
                            + MIN_LOAD_LENGTH / 10_000
                            + " s to "
                            + MAX_LENGTH / 600_000
                            + " min");
        }
        section.rejectUnknownKeys();
        return load;
    }

    private void check(TomlSection managers, TomlSection root) {
        if (!loads.isEmpty() && realManagers == 0) {
            throw managers.invalid("real", "a load needs a real manager; use at least 1");
        }
        if (cellSize > 0 && managers() % cellSize != 0) {
            throw managers.invalid(
                    "hollow",
                    managers()
                            + " managers do not fill whole cells of "
                            + cellSize
                            + "; use "
                            + (managers() / cellSize + 1) * cellSize
                            + " managers in all");
        }
        long minCellsPerZone =
                IntStream.range(0, zones.size()).map(zone -> cellCount(zone)).min().orElse(0);
        if (cellSize > 0 && spread > minCellsPerZone) {
            throw managers.invalid(
                    "spread",
                    "a zone has only "
                            + minCellsPerZone
                            + " cells; use a spread of "
                            + Math.max(1, minCellsPerZone)
                            + " or less");
        }
        if (length > MAX_LENGTH || settlingTime > MAX_LENGTH) {
            throw root.invalid(
                    "length",
                    "length or settle is over "
                            + MAX_LENGTH / 600_000
                            + " min, the limit for each; shorten it");
        }
        for (Event event : events) {
            if (event.at >= length) {
                throw new InvalidPlanException(
                        event.line,
                        "event.at: not before the end of the run; use less than "
                                + length / 10_000
                                + " s");
            }
        }
    }

    /** Returns the number of managers, hollow and real. */
    public int managers() {
        return hollowManagers + realManagers;
    }

    /** Returns the number of cells; 1 for a fleet without cells. */
    public int cellCount() {
        return cellSize == 0 ? 1 : managers() / cellSize;
    }

    private int cellCount(int zone) {
        return cellCount() / zones.size() + (zone < cellCount() % zones.size() ? 1 : 0);
    }

    /** Returns the number of managers in one membership: a cell, or the fleet without cells. */
    public int membershipSize() {
        return cellSize == 0 ? managers() : cellSize;
    }

    /** Returns the index of the manager's cell; 0 for a fleet without cells. */
    public int cellOf(int manager) {
        return manager / membershipSize();
    }

    /** Returns the manager's index in its cell, or in a fleet without cells. */
    public int slotOf(int manager) {
        return manager % membershipSize();
    }

    /**
     * Returns whether the manager is a real one. The real managers fill slot 0 of each cell in
     * turn, then slot 1, and so on.
     */
    public boolean isReal(int manager) {
        return slotOf(manager) * cellCount() + cellOf(manager) < realManagers;
    }

    public String zoneOf(int manager) {
        return cellSize == 0
                ? zones.get(manager % zones.size())
                : zones.get(cellOf(manager) % zones.size());
    }

    /** Returns the plan of the cells, or null for a fleet without cells. */
    public CellPlan cellPlan() {
        return cellSize == 0
                ? null
                : new CellPlan(
                        1,
                        spread,
                        IntStream.range(0, cellCount())
                                .mapToObj(
                                        c ->
                                                new CellPlan.Cell(
                                                        "c" + c,
                                                        zones.get(c % zones.size()),
                                                        cellSize,
                                                        true))
                                .toList());
    }

    /** Returns the share of each engine that belongs to one manager. */
    public double managerShare() {
        return cellSize == 0 ? 1.0 / managers() : 1.0 / (spread * cellSize);
    }
}
