package firstage.app;

import firstage.net.Assignment;
import firstage.net.members.PeerList;
import firstage.setup.MalformedLine;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** Reads a peers file; what can't be used is told with file, line and what would do. */
final class PeersFile {
    private static final Pattern TIME = Pattern.compile("\\s*([0-9]+)\\s*(ms|s)\\s*");
    private static final Set<String> KEYS = Set.of("fleet", "name", "zone", "weight", "listen", "probe", "peer");
    private static final Set<String> PEER_KEYS = Set.of("name", "address");
    private static final long LEAST_PERIOD = 500;
    private static final long MOST_PERIOD = 100_000;
    private static final int MOST_PEERS = 2_000;
    private final Path file;
    private final TomlParseResult toml;

    private PeersFile(Path file) throws IOException {
        this.file = file;
        try {
            toml = Toml.parse(Files.readString(file));
        } catch (NoSuchFileException fault) {
            throw new MalformedLine(file + " does not exist; deploy/peers.toml is an example");
        }
    }

    /** {@code name}: the manager's by its configuration, where the file gives none. */
    static PeerList read(Path path, String name) throws IOException {
        return new PeersFile(path).read(name);
    }

    private MalformedLine fault(TomlPosition at, String what) {
        return new MalformedLine(file + ":" + (at == null ? "" : at.line() + ":") + " " + what);
    }

    private MalformedLine fault(String key, String what) {
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
            return Assignment.address(String.valueOf(value));
        } catch (MalformedLine fault) {
            throw fault(at, key + ": '" + value + "' is no address; \"127.0.0.1:7946\" would do");
        }
    }

    private PeerList read(String name) {
        if (toml.hasErrors()) {
            throw fault(toml.errors().get(0).position(),
                    toml.errors().get(0).getMessage().lines().findFirst().orElse(""));
        }
        for (String key : toml.keySet()) {
            if (!KEYS.contains(key)) {
                throw fault(key, "is unknown; known are fleet, name, zone, weight, listen, probe, peer");
            }
        }
        Object probe = toml.get(List.of("probe"));
        Matcher time = TIME.matcher(probe == null ? "200 ms" : String.valueOf(probe));
        long period = !time.matches() ? -1 : Long.parseLong(time.group(1)) * (time.group(2).equals("s") ? 10_000 : 10);
        if (period < LEAST_PERIOD || period > MOST_PERIOD) {
            throw fault("probe", "'" + probe + "' is no time from 50 ms to 10 s; \"200 ms\" would do");
        }
        Object weight = toml.get(List.of("weight"));
        if (weight != null && !(weight instanceof Number n && n.doubleValue() > 0 && n.doubleValue() <= 100)) {
            throw fault("weight", weight + " is no number above 0, up to 100; 1.0 would do");
        }
        InetSocketAddress listen = address(toml.inputPositionOf(List.of("listen")), "listen", text("listen", null));
        return new PeerList(text("fleet", null), text("name", name), text("zone", "-"),
                weight == null ? 1 : ((Number) weight).doubleValue(), listen, period, peers(),
                file.resolveSibling(file.getFileName() + ".withdrew"));
    }

    private List<InetSocketAddress> peers() {
        Object all = toml.get(List.of("peer"));
        if (!(all instanceof TomlArray array) || array.isEmpty() || array.size() > MOST_PEERS) {
            throw fault("peer", "there are none, or over " + MOST_PEERS + "; write [[peer]] with address = \"...\"");
        }
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            if (!(array.get(i) instanceof TomlTable peer)) {
                throw fault(array.inputPositionOf(i), "is no section; write [[peer]]");
            }
            for (String key : peer.keySet()) {
                if (!PEER_KEYS.contains(key)) {
                    throw fault(peer.inputPositionOf(List.of(key)), "peer." + key
                            + " is unknown; known are name, address");
                }
            }
            TomlPosition at = array.inputPositionOf(i);
            InetSocketAddress address = address(at, "peer.address", peer.get(List.of("address")));
            if (addresses.contains(address)) {
                throw fault(at, "peer.address: " + peer.get(List.of("address")) + " stands twice; one peer an address");
            }
            addresses.add(address);
        }
        return addresses;
    }
}
