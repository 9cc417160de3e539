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
 * A run of many managers: TOML, read as fleet and fault-test plans are; what can't be used is told
 * with its line and what would do. {@code cell} 0 is a fleet that is one; {@code period} and times
 * in ticks.
 */
public record ScalePlan(
        String name,
        long settle,
        long length,
        List<String> zones,
        int hollow,
        int real,
        int cell,
        int spread,
        int engines,
        int inAProcess,
        long period,
        List<Load> loads,
        List<Event> events) {
    /**
     * Clients of the first real manager for so long: connections that stay open, statements a
     * second over all. {@code counted}: goes into the slopes; a first one that only warms the
     * program does not.
     */
    public record Load(int connections, double rate, long length, boolean counted) {}

    /** What happens, and how long after all have settled. */
    public record Event(Kind kind, long at, int line) {}

    /**
     * Of hollow managers: one killed; one leaves and comes back; a zone's, seven in ten killed; a
     * word of the list.
     */
    public enum Kind {
        KILL,
        RESTART,
        LIST,
        ZONE,
        MASS
    }

    private static final int MOST_MANAGERS = 4_000;
    private static final int MOST_REAL = 40;
    private static final int MOST_ENGINES = 10_000;
    private static final int MOST_A_PROCESS = 400;
    private static final int MOST_CELL = 200;
    private static final long MOST_LENGTH = 6_000_000;
    private static final long LEAST_LOAD = 20_000;
    private static final int MOST_CONNECTIONS = 10_000;
    private static final double MOST_RATE = 10_000;

    /** The plan that this text sets; {@link InvalidPlanException} names line and cure. */
    public static ScalePlan read(String text) {
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            throw new InvalidPlanException(
                    toml.errors().get(0).position().line(),
                    toml.errors().get(0).getMessage().lines().findFirst().orElse(""));
        }
        TomlSection top = new TomlSection(toml, "", 1);
        List<String> zones =
                Arrays.stream(top.text("zones", "a").split(",")).map(String::trim).toList();
        TomlSection managers = top.table("managers");
        TomlSection engines = top.table("engines");
        List<Event> events = new ArrayList<>();
        List<String> kinds =
                Arrays.stream(Kind.values()).map(k -> k.name().toLowerCase(Locale.ROOT)).toList();
        for (TomlSection s : top.tables("event")) {
            events.add(
                    new Event(
                            Kind.valueOf(s.oneOf("kind", null, kinds).toUpperCase(Locale.ROOT)),
                            s.duration("at", null),
                            s.line()));
            s.rejectUnknownKeys();
        }
        List<Load> loads = new ArrayList<>();
        for (TomlSection s : top.tables("load")) {
            loads.add(load(s));
        }
        ScalePlan plan =
                new ScalePlan(
                        top.text("name", "scale"),
                        top.duration("settle", "12 s"),
                        top.duration("length", null),
                        zones,
                        managers.integer("hollow", 1, MOST_MANAGERS, null),
                        managers.integer("real", 0, MOST_REAL, 0),
                        managers.integer("cell", 0, MOST_CELL, 0),
                        managers.integer("spread", 1, 64, 1),
                        engines.integer("count", 1, MOST_ENGINES, null),
                        managers.integer("in_a_process", 1, MOST_A_PROCESS, 200),
                        top.duration("probe", "200 ms"),
                        loads,
                        events);
        top.rejectUnknownKeys();
        managers.rejectUnknownKeys();
        engines.rejectUnknownKeys();
        plan.check(managers, top);
        return plan;
    }

    private static Load load(TomlSection s) {
        Load load =
                new Load(
                        s.integer("connections", 1, MOST_CONNECTIONS, null),
                        s.number("rate", 0.1, MOST_RATE, null),
                        s.duration("length", "10 s"),
                        s.flag("counted", true));
        if (load.connections > load.rate * LoadClients.MOST_REST_S) {
            throw s.invalid(
                    "rate",
                    String.format(
                            Locale.ROOT,
                            "%d connections at %.1f statements a second rest over"
                                    + " %.0f s, and clients close such; %.1f would do",
                            load.connections,
                            load.rate,
                            LoadClients.MOST_REST_S,
                            load.connections / LoadClients.MOST_REST_S));
        }
        if (load.length < LEAST_LOAD || load.length > MOST_LENGTH) {
            throw s.invalid(
                    "length",
                    "impossible; "
                            + LEAST_LOAD / 10_000
                            + " s to "
                            + MOST_LENGTH / 600_000
                            + " min would do");
        }
        s.rejectUnknownKeys();
        return load;
    }

    private void check(TomlSection managers, TomlSection top) {
        if (!loads.isEmpty() && real == 0) {
            throw managers.invalid("real", "a load wants a real manager; 1 would do");
        }
        if (cell > 0 && managers() % cell != 0) {
            throw managers.invalid(
                    "hollow",
                    managers()
                            + " managers are no whole number of cells of "
                            + cell
                            + "; "
                            + (managers() / cell + 1) * cell
                            + " would do");
        }
        long fewest = IntStream.range(0, zones.size()).map(z -> cells(z)).min().orElse(0);
        if (cell > 0 && spread > fewest) {
            throw managers.invalid(
                    "spread",
                    "a zone has " + fewest + " cells; up to " + Math.max(1, fewest) + " would do");
        }
        if (length > MOST_LENGTH || settle > MOST_LENGTH) {
            throw top.invalid("length", "over " + MOST_LENGTH / 600_000 + " min; a run is bounded");
        }
        for (Event e : events) {
            if (e.at >= length) {
                throw new InvalidPlanException(
                        e.line,
                        "event.at: after the end; under " + length / 10_000 + " s would do");
            }
        }
    }

    /** All managers, the real ones among them. */
    public int managers() {
        return hollow + real;
    }

    /** How many cells there are; one where the fleet is one. */
    public int cells() {
        return cell == 0 ? 1 : managers() / cell;
    }

    private int cells(int zone) {
        return cells() / zones.size() + (zone < cells() % zones.size() ? 1 : 0);
    }

    /** Managers that know each other in full. */
    public int together() {
        return cell == 0 ? managers() : cell;
    }

    public int cellOf(int manager) {
        return manager / together();
    }

    public int slotOf(int manager) {
        return manager % together();
    }

    /** The real managers stand at the first places of the first cells, by turns. */
    public boolean isReal(int manager) {
        return slotOf(manager) * cells() + cellOf(manager) < real;
    }

    public String zoneOf(int manager) {
        return cell == 0
                ? zones.get(manager % zones.size())
                : zones.get(cellOf(manager) % zones.size());
    }

    /** Null where the fleet is one. */
    public CellPlan cellPlan() {
        return cell == 0
                ? null
                : new CellPlan(
                        1,
                        spread,
                        IntStream.range(0, cells())
                                .mapToObj(
                                        c ->
                                                new CellPlan.Cell(
                                                        "c" + c,
                                                        zones.get(c % zones.size()),
                                                        cell,
                                                        true))
                                .toList());
    }

    /** The part of a slice that is a manager's own. */
    public double part() {
        return cell == 0 ? 1.0 / managers() : 1.0 / (spread * cell);
    }
}
