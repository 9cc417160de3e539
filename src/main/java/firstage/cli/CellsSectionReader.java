package firstage.cli;

import firstage.cells.CellPlan;
import firstage.config.PeerConfig;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads the part of a peers file that divides a fleet into cells: the plan's number, the spread,
 * each [[cell]], and [before], the plan that this one replaces.
 */
final class CellsSectionReader {
    static final String PLAN_NUMBER = "plan";
    static final String SPREAD = "spread";
    static final String CELLS = "cell";
    static final String PREVIOUS_PLAN = "before";

    /** Keys that have no meaning in a fleet without cells. */
    static final List<String> KEYS_WITH_CELLS_ONLY = List.of(PLAN_NUMBER, SPREAD, PREVIOUS_PLAN);

    private static final String CELL_NAME = "name";
    private static final String CELL_ZONE = "zone";
    private static final String CELL_HOSTS = "hosts";
    private static final String CELL_SERVES = "serves";
    private static final Set<String> CELL_KEYS =
            Set.of(CELL_NAME, CELL_ZONE, CELL_HOSTS, CELL_SERVES);
    private static final String PREVIOUS_CELLS = "cells";
    private static final Set<String> PREVIOUS_PLAN_KEYS = Set.of(PLAN_NUMBER, PREVIOUS_CELLS);

    private static final int MAX_CELLS = 1_000;
    private static final int MAX_SLOTS = 250;
    private static final int MAX_SPREAD = 64;
    private static final int MAX_PLAN_NUMBER = 1_000_000_000;
    private static final int MAX_HOST_NUMBER = 255;

    /** IPv4 address, whose last number may be a range, and a port. */
    private static final Pattern HOSTS =
            Pattern.compile("([0-9.]+\\.)([0-9]{1,3})(?:-([0-9]{1,3}))?(:[0-9]{1,5})");

    private final PeersToml toml;
    private final List<CellPlan.Cell> cells = new ArrayList<>();
    private final List<List<InetSocketAddress>> addressesByCell = new ArrayList<>();
    private final Set<InetSocketAddress> addresses = new HashSet<>();

    CellsSectionReader(PeersToml toml) {
        this.toml = toml;
    }

    /**
     * Returns the plan, and the place in it of the manager with this address.
     *
     * @param listenKey the key under which the file gives this address
     */
    PeerConfig.CellPlacement readPlacement(String listenKey, InetSocketAddress listenAddress) {
        if (!(toml.value(CELLS) instanceof TomlArray sections) || sections.size() > MAX_CELLS) {
            throw toml.invalid(
                    CELLS,
                    "is not a list of sections, or has more than "
                            + MAX_CELLS
                            + "; write [[cell]]");
        }
        int number =
                toml.wholeNumber(
                        toml.position(PLAN_NUMBER),
                        PLAN_NUMBER,
                        toml.value(PLAN_NUMBER),
                        MAX_PLAN_NUMBER);
        int spread =
                toml.has(SPREAD)
                        ? toml.wholeNumber(
                                toml.position(SPREAD), SPREAD, toml.value(SPREAD), MAX_SPREAD)
                        : 1;
        for (int i = 0; i < sections.size(); i++) {
            readCell(toml.section(sections, i, CELLS), sections.inputPositionOf(i));
        }
        CellPlan plan = new CellPlan(number, spread, List.copyOf(cells));
        requireServingCells(plan);
        for (int cell = 0; cell < addressesByCell.size(); cell++) {
            int slot = addressesByCell.get(cell).indexOf(listenAddress);
            if (slot >= 0) {
                return new PeerConfig.CellPlacement(
                        plan, previousPlan(plan), cell, slot, addressesByCell);
            }
        }
        throw toml.invalid(listenKey, "stands in no cell's hosts; add it to its cell");
    }

    private void readCell(TomlTable section, TomlPosition position) {
        requireKnownKeys(section, CELLS, CELL_KEYS);
        String name = toml.requireName(section, position, CELLS, CELL_NAME);
        if (cells.stream().anyMatch(cell -> cell.name().equals(name))) {
            throw toml.invalid(
                    position,
                    "cell.name: '" + name + "' is listed twice; write one section for each cell");
        }
        Object serves = section.get(List.of(CELL_SERVES));
        if (serves != null && !(serves instanceof Boolean)) {
            throw toml.invalid(position, "cell.serves: " + serves + " is neither true nor false");
        }
        List<InetSocketAddress> hosts = hosts(section, position);
        for (InetSocketAddress host : hosts) {
            if (!addresses.add(host)) {
                throw toml.invalid(
                        position,
                        "cell.hosts: "
                                + host.getAddress().getHostAddress()
                                + ":"
                                + host.getPort()
                                + " is listed twice; list each address once");
            }
        }
        addressesByCell.add(hosts);
        cells.add(
                new CellPlan.Cell(
                        name,
                        toml.requireName(section, position, CELLS, CELL_ZONE),
                        hosts.size(),
                        serves != Boolean.FALSE));
    }

    private List<InetSocketAddress> hosts(TomlTable section, TomlPosition position) {
        if (!(section.get(List.of(CELL_HOSTS)) instanceof TomlArray ranges) || ranges.isEmpty()) {
            throw toml.invalid(
                    position,
                    "cell.hosts: is absent or empty; write hosts = [\"10.0.0.1-40:7946\"]");
        }
        List<InetSocketAddress> hosts = new ArrayList<>();
        for (Object range : ranges.toList()) {
            addHosts(hosts, range, position);
        }
        if (hosts.size() > MAX_SLOTS) {
            throw toml.invalid(
                    position,
                    "cell.hosts: "
                            + hosts.size()
                            + " managers are too many for a cell; use 30 to 60");
        }
        return hosts;
    }

    /** Adds the addresses of a range such as 10.0.0.1-40:7946. */
    private void addHosts(List<InetSocketAddress> hosts, Object range, TomlPosition position) {
        Matcher parts = HOSTS.matcher(String.valueOf(range));
        boolean valid = parts.matches();
        int first = valid ? Integer.parseInt(parts.group(2)) : 1;
        int last = valid && parts.group(3) != null ? Integer.parseInt(parts.group(3)) : first;
        if (!valid || last < first || last > MAX_HOST_NUMBER) {
            throw toml.invalid(
                    position,
                    "cell.hosts: '"
                            + range
                            + "' is no address; \"10.0.0.1:7946\" or \"10.0.0.1-40:7946\""
                            + " would do");
        }
        for (int number = first; number <= last; number++) {
            hosts.add(
                    toml.address(position, "cell.hosts", parts.group(1) + number + parts.group(4)));
        }
    }

    /**
     * Checks that each zone has at least as many serving cells as the spread: with fewer, a part of
     * each engine would be used by no cell.
     */
    private void requireServingCells(CellPlan plan) {
        for (CellPlan.Cell cell : plan.cells()) {
            long serving =
                    plan.cells().stream()
                            .filter(other -> other.serves() && other.zone().equals(cell.zone()))
                            .count();
            if (serving < plan.spread()) {
                throw toml.invalid(
                        SPREAD,
                        "zone "
                                + cell.zone()
                                + " has "
                                + serving
                                + " cells that serve; a spread of up to "
                                + Math.max(1, serving)
                                + " would do");
            }
        }
    }

    /** Returns the plan that this one replaces, or null if the file names none. */
    private CellPlan previousPlan(CellPlan plan) {
        if (!toml.has(PREVIOUS_PLAN)) {
            return null;
        }
        if (!(toml.value(PREVIOUS_PLAN) instanceof TomlTable section)) {
            throw toml.invalid(
                    PREVIOUS_PLAN, "is not a section; write [before] with plan and cells");
        }
        TomlPosition position = toml.position(PREVIOUS_PLAN);
        requireKnownKeys(section, PREVIOUS_PLAN, PREVIOUS_PLAN_KEYS);
        int number =
                toml.wholeNumber(
                        position,
                        PREVIOUS_PLAN + "." + PLAN_NUMBER,
                        section.get(List.of(PLAN_NUMBER)),
                        MAX_PLAN_NUMBER);
        if (number >= plan.number()) {
            throw toml.invalid(
                    position, "before.plan: " + number + " is not before plan " + plan.number());
        }
        List<String> servingCells = previouslyServing(section, plan, position);
        if (servingCells.isEmpty()) {
            throw toml.invalid(
                    position,
                    "before.cells: lists no cells; list those that served by plan " + number);
        }
        return new CellPlan(
                number,
                plan.spread(),
                plan.cells().stream()
                        .map(
                                cell ->
                                        new CellPlan.Cell(
                                                cell.name(),
                                                cell.zone(),
                                                cell.slots(),
                                                servingCells.contains(cell.name())))
                        .toList());
    }

    private List<String> previouslyServing(
            TomlTable section, CellPlan plan, TomlPosition position) {
        List<String> servingCells = new ArrayList<>();
        if (section.get(List.of(PREVIOUS_CELLS)) instanceof TomlArray names) {
            names.toList().forEach(name -> servingCells.add(String.valueOf(name)));
        }
        for (String name : servingCells) {
            if (plan.indexOf(name) < 0) {
                throw toml.invalid(
                        position,
                        "before.cells: '"
                                + name
                                + "' is no cell of this plan; keep it, with serves = false");
            }
        }
        return servingCells;
    }

    private void requireKnownKeys(TomlTable section, String path, Set<String> known) {
        toml.requireKnownKeys(section, path, known, String.join(", ", new TreeSet<>(known)));
    }
}
