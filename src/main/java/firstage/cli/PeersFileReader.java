package firstage.cli;

import firstage.cells.CellPlan;
import firstage.config.MalformedLineException;
import firstage.config.ManagerConfig;
import firstage.config.PeerConfig;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** Reads a peers file; what can't be used is told with file, line and what would do. */
final class PeersFileReader {
    private static final Pattern TIME = Pattern.compile("\\s*([0-9]+)\\s*(ms|s)\\s*");
    private static final Set<String> KEYS =
            Set.of(
                    "fleet", "name", "zone", "weight", "listen", "probe", "peer", "plan", "spread",
                    "cell", "before");
    private static final Set<String> PEER_KEYS = Set.of("name", "address");
    private static final Set<String> CELL_KEYS = Set.of("name", "zone", "hosts", "serves");
    private static final Set<String> BEFORE_KEYS = Set.of("plan", "cells");
    private static final long LEAST_PERIOD = 500;
    private static final long MOST_PERIOD = 100_000;
    private static final int MOST_PEERS = 2_000;
    private static final int MOST_CELLS = 1_000;
    private static final int MOST_SLOTS = 250;
    private static final int MOST_SPREAD = 64;
    private static final int MOST_PLAN = 1_000_000_000;

    /** Four numbers, the last of them a range perhaps, and a port. */
    private static final Pattern HOSTS =
            Pattern.compile("([0-9.]+\\.)([0-9]{1,3})(?:-([0-9]{1,3}))?(:[0-9]{1,5})");

    private final Path file;
    private final TomlParseResult toml;

    private PeersFileReader(Path file) throws IOException {
        this.file = file;
        try {
            toml = Toml.parse(Files.readString(file));
        } catch (NoSuchFileException fault) {
            throw new MalformedLineException(
                    file + " does not exist; deploy/peers.toml is an example");
        }
    }

    /** {@code name}: the manager's by its configuration, where the file gives none. */
    static PeerConfig read(Path path, String name) throws IOException {
        return new PeersFileReader(path).read(name);
    }

    /**
     * Notes on the disk which plan this manager holds, before it tells anybody. The harm prevented:
     * one that is started anew with an older file would use engines that others have taken over by
     * its own word.
     */
    static void hold(PeerConfig list) throws IOException {
        if (list.cellPlacement() == null) {
            return;
        }
        Path held =
                list.withdrawalMark()
                        .resolveSibling(
                                list.withdrawalMark()
                                        .getFileName()
                                        .toString()
                                        .replace(".withdrew", ".plan"));
        int number = list.cellPlacement().plan().number();
        int before = 0;
        if (Files.exists(held)) {
            String text = Files.readString(held).trim();
            before = text.matches("[0-9]{1,9}") ? Integer.parseInt(text) : 0;
        }
        if (before > number) {
            throw new MalformedLineException(
                    held.resolveSibling(held.getFileName().toString().replace(".plan", ""))
                            + ": plan: "
                            + number
                            + " is older than "
                            + before
                            + ", which this manager held; give it the newer file");
        }
        if (before < number) {
            try (FileChannel file =
                    FileChannel.open(
                            held,
                            StandardOpenOption.CREATE,
                            StandardOpenOption.WRITE,
                            StandardOpenOption.TRUNCATE_EXISTING)) {
                file.write(ByteBuffer.wrap((number + "\n").getBytes(StandardCharsets.US_ASCII)));
                file.force(true);
            }
        }
    }

    private MalformedLineException fault(TomlPosition at, String what) {
        return new MalformedLineException(
                file + ":" + (at == null ? "" : at.line() + ":") + " " + what);
    }

    private MalformedLineException fault(String key, String what) {
        return fault(toml.inputPositionOf(List.of(key)), key + ": " + what);
    }

    private String text(String key, String absent) {
        Object value = toml.get(List.of(key));
        if (value == null && absent == null) {
            throw fault((TomlPosition) null, "has no " + key + "; write " + key + " = \"...\"");
        }
        if (value != null && !(value instanceof String text && text.matches("[!-~]{1,64}"))) {
            throw fault(key, "'" + value + "' is no name of 1 to 64 plain characters");
        }
        return value == null ? absent : (String) value;
    }

    private InetSocketAddress address(TomlPosition at, String key, Object value) {
        try {
            return ManagerConfig.parseAddress(String.valueOf(value));
        } catch (MalformedLineException fault) {
            throw fault(at, key + ": '" + value + "' is no address; \"127.0.0.1:7946\" would do");
        }
    }

    private PeerConfig read(String name) {
        if (toml.hasErrors()) {
            throw fault(
                    toml.errors().get(0).position(),
                    toml.errors().get(0).getMessage().lines().findFirst().orElse(""));
        }
        for (String key : toml.keySet()) {
            if (!KEYS.contains(key)) {
                throw fault(
                        key,
                        "is unknown; known are fleet, name, zone, weight, listen, probe, peer,"
                                + " plan, spread, cell, before");
            }
        }
        Object probe = toml.get(List.of("probe"));
        Matcher time = TIME.matcher(probe == null ? "200 ms" : String.valueOf(probe));
        long period =
                !time.matches()
                        ? -1
                        : Long.parseLong(time.group(1)) * (time.group(2).equals("s") ? 10_000 : 10);
        if (period < LEAST_PERIOD || period > MOST_PERIOD) {
            throw fault(
                    "probe", "'" + probe + "' is no time from 50 ms to 10 s; \"200 ms\" would do");
        }
        Object weight = toml.get(List.of("weight"));
        if (weight != null
                && !(weight instanceof Number n && n.doubleValue() > 0 && n.doubleValue() <= 100)) {
            throw fault("weight", weight + " is no number above 0, up to 100; 1.0 would do");
        }
        InetSocketAddress listen =
                address(toml.inputPositionOf(List.of("listen")), "listen", text("listen", null));
        PeerConfig.CellPlacement in = toml.get(List.of("cell")) == null ? null : inCells(listen);
        if (in == null) {
            for (String key : List.of("plan", "spread", "before")) {
                if (toml.get(List.of(key)) != null) {
                    throw fault(
                            key,
                            "is of a fleet in cells; write [[cell]] with name, zone and hosts, or"
                                    + " leave it out");
                }
            }
        } else if (toml.get(List.of("peer")) != null) {
            throw fault(
                    "peer", "the hosts of the cells name the peers already; leave [[peer]] out");
        }
        return new PeerConfig(
                text("fleet", null),
                text("name", name),
                in == null ? text("zone", "-") : in.plan().cells().get(in.cell()).zone(),
                weight == null ? 1 : ((Number) weight).doubleValue(),
                listen,
                period,
                in == null ? peers() : in.addressesByCell().get(in.cell()),
                file.resolveSibling(file.getFileName() + ".withdrew"),
                in);
    }

    private int whole(String key, Object value, TomlPosition at, int most) {
        if (!(value instanceof Long number) || number < 1 || number > most) {
            throw fault(at, key + ": " + value + " is no whole number from 1 to " + most);
        }
        return (int) (long) number;
    }

    private PeerConfig.CellPlacement inCells(InetSocketAddress listen) {
        if (!(toml.get(List.of("cell")) instanceof TomlArray array) || array.size() > MOST_CELLS) {
            throw fault(
                    "cell",
                    "is no list of sections, or one of over " + MOST_CELLS + "; write [[cell]]");
        }
        int number =
                whole(
                        "plan",
                        toml.get(List.of("plan")),
                        toml.inputPositionOf(List.of("plan")),
                        MOST_PLAN);
        Object told = toml.get(List.of("spread"));
        int spread =
                told == null
                        ? 1
                        : whole(
                                "spread",
                                told,
                                toml.inputPositionOf(List.of("spread")),
                                MOST_SPREAD);
        List<CellPlan.Cell> cells = new ArrayList<>();
        List<List<InetSocketAddress>> addresses = new ArrayList<>();
        Set<InetSocketAddress> all = new HashSet<>();
        for (int i = 0; i < array.size(); i++) {
            TomlPosition at = array.inputPositionOf(i);
            if (!(array.get(i) instanceof TomlTable cell)) {
                throw fault(at, "is no section; write [[cell]]");
            }
            known(cell, "cell", CELL_KEYS);
            String of = word(cell, at, "cell", "name");
            if (cells.stream().anyMatch(c -> c.name().equals(of))) {
                throw fault(at, "cell.name: '" + of + "' stands twice; one section a cell");
            }
            Object serves = cell.get(List.of("serves"));
            if (serves != null && !(serves instanceof Boolean)) {
                throw fault(at, "cell.serves: " + serves + " is neither true nor false");
            }
            List<InetSocketAddress> hosts = hosts(cell, at);
            for (InetSocketAddress host : hosts) {
                if (!all.add(host)) {
                    throw fault(
                            at,
                            "cell.hosts: "
                                    + host.getAddress().getHostAddress()
                                    + ":"
                                    + host.getPort()
                                    + " stands twice; one place an address");
                }
            }
            addresses.add(hosts);
            cells.add(
                    new CellPlan.Cell(
                            of,
                            word(cell, at, "cell", "zone"),
                            hosts.size(),
                            serves != Boolean.FALSE));
        }
        CellPlan plan = new CellPlan(number, spread, List.copyOf(cells));
        wideEnough(plan, "spread");
        for (int c = 0; c < addresses.size(); c++) {
            int slot = addresses.get(c).indexOf(listen);
            if (slot >= 0) {
                return new PeerConfig.CellPlacement(plan, before(plan), c, slot, addresses);
            }
        }
        throw fault("listen", "stands in no cell's hosts; add it to its cell");
    }

    /** Fewer cells than the spread would leave a part of each engine to nobody. */
    private void wideEnough(CellPlan plan, String key) {
        for (CellPlan.Cell c : plan.cells()) {
            long serve =
                    plan.cells().stream()
                            .filter(o -> o.serves() && o.zone().equals(c.zone()))
                            .count();
            if (serve < plan.spread()) {
                throw fault(
                        key,
                        "zone "
                                + c.zone()
                                + " has "
                                + serve
                                + " cells that serve; a spread of up to "
                                + Math.max(1, serve)
                                + " would do");
            }
        }
    }

    private CellPlan before(CellPlan plan) {
        Object value = toml.get(List.of("before"));
        if (value == null) {
            return null;
        }
        if (!(value instanceof TomlTable table)) {
            throw fault("before", "is no section; write [before] with plan and cells");
        }
        TomlPosition at = toml.inputPositionOf(List.of("before"));
        known(table, "before", BEFORE_KEYS);
        int number = whole("before.plan", table.get(List.of("plan")), at, MOST_PLAN);
        if (number >= plan.number()) {
            throw fault(at, "before.plan: " + number + " is not before plan " + plan.number());
        }
        List<String> served = new ArrayList<>();
        if (table.get(List.of("cells")) instanceof TomlArray names) {
            names.toList().forEach(n -> served.add(String.valueOf(n)));
        }
        for (String of : served) {
            if (plan.indexOf(of) < 0) {
                throw fault(
                        at,
                        "before.cells: '"
                                + of
                                + "' is no cell of this plan; keep it, with serves = false");
            }
        }
        if (served.isEmpty()) {
            throw fault(
                    at, "before.cells: names none; write the cells that served by plan " + number);
        }
        CellPlan before =
                new CellPlan(
                        number,
                        plan.spread(),
                        plan.cells().stream()
                                .map(
                                        c ->
                                                new CellPlan.Cell(
                                                        c.name(),
                                                        c.zone(),
                                                        c.slots(),
                                                        served.contains(c.name())))
                                .toList());
        return before;
    }

    private void known(TomlTable table, String path, Set<String> keys) {
        for (String key : table.keySet()) {
            if (!keys.contains(key)) {
                throw fault(
                        table.inputPositionOf(List.of(key)),
                        path
                                + "."
                                + key
                                + " is unknown; known are "
                                + String.join(", ", new TreeSet<>(keys)));
            }
        }
    }

    private String word(TomlTable table, TomlPosition at, String path, String key) {
        Object value = table.get(List.of(key));
        if (!(value instanceof String text && text.matches("[!-~]{1,64}"))) {
            throw fault(
                    at,
                    path + "." + key + ": '" + value + "' is no name of 1 to 64 plain characters");
        }
        return text;
    }

    private List<InetSocketAddress> hosts(TomlTable cell, TomlPosition at) {
        if (!(cell.get(List.of("hosts")) instanceof TomlArray array) || array.isEmpty()) {
            throw fault(at, "cell.hosts: there are none; write hosts = [\"10.0.0.1-40:7946\"]");
        }
        List<InetSocketAddress> hosts = new ArrayList<>();
        for (Object each : array.toList()) {
            Matcher m = HOSTS.matcher(String.valueOf(each));
            int first = m.matches() ? Integer.parseInt(m.group(2)) : 1;
            int last = m.matches() && m.group(3) != null ? Integer.parseInt(m.group(3)) : first;
            if (!m.matches() || last < first || last > 255) {
                throw fault(
                        at,
                        "cell.hosts: '"
                                + each
                                + "' is no address; \"10.0.0.1:7946\" or \"10.0.0.1-40:7946\""
                                + " would do");
            }
            for (int n = first; n <= last; n++) {
                hosts.add(address(at, "cell.hosts", m.group(1) + n + m.group(4)));
            }
        }
        if (hosts.size() > MOST_SLOTS) {
            throw fault(
                    at,
                    "cell.hosts: "
                            + hosts.size()
                            + " managers are too many for a cell; 30 to 60 would do");
        }
        return hosts;
    }

    private List<InetSocketAddress> peers() {
        Object all = toml.get(List.of("peer"));
        if (!(all instanceof TomlArray array) || array.isEmpty() || array.size() > MOST_PEERS) {
            throw fault(
                    "peer",
                    "there are none, or over "
                            + MOST_PEERS
                            + "; write [[peer]] with address = \"...\"");
        }
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            if (!(array.get(i) instanceof TomlTable peer)) {
                throw fault(array.inputPositionOf(i), "is no section; write [[peer]]");
            }
            for (String key : peer.keySet()) {
                if (!PEER_KEYS.contains(key)) {
                    throw fault(
                            peer.inputPositionOf(List.of(key)),
                            "peer." + key + " is unknown; known are name, address");
                }
            }
            TomlPosition at = array.inputPositionOf(i);
            InetSocketAddress address = address(at, "peer.address", peer.get(List.of("address")));
            if (addresses.contains(address)) {
                throw fault(
                        at,
                        "peer.address: "
                                + peer.get(List.of("address"))
                                + " stands twice; one peer an address");
            }
            addresses.add(address);
        }
        return addresses;
    }
}
