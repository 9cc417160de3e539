package firstage.cli;

import firstage.config.PeerConfig;
import firstage.util.Ticks;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tomlj.TomlArray;
import org.tomlj.TomlTable;

/**
 * Reads a peers file: a manager's identity among its peers, and their addresses. The keys of the
 * file are mapped here and in {@link CellsSectionReader}.
 *
 * <p>A file that can't be used results in a {@link firstage.config.InvalidConfigException} that
 * names file, line, key, value and what is valid.
 */
final class PeersFileReader {
    private static final String FLEET = "fleet";
    private static final String NAME = "name";
    private static final String ZONE = "zone";
    private static final String WEIGHT = "weight";
    private static final String LISTEN = "listen";
    private static final String PROBE_INTERVAL = "probe";
    private static final String PEERS = "peer";
    private static final String PEER_ADDRESS = "address";

    private static final Set<String> KEYS =
            Set.of(
                    FLEET,
                    NAME,
                    ZONE,
                    WEIGHT,
                    LISTEN,
                    PROBE_INTERVAL,
                    PEERS,
                    CellsSectionReader.PLAN_NUMBER,
                    CellsSectionReader.SPREAD,
                    CellsSectionReader.CELLS,
                    CellsSectionReader.PREVIOUS_PLAN);
    private static final String KEYS_SHOWN =
            "fleet, name, zone, weight, listen, probe, peer, plan, spread, cell, before";
    private static final Set<String> PEER_KEYS = Set.of(NAME, PEER_ADDRESS);
    private static final String PEER_KEYS_SHOWN = "name, address";

    private static final Pattern DURATION = Pattern.compile("\\s*([0-9]+)\\s*(ms|s)\\s*");
    private static final String DEFAULT_PROBE_INTERVAL = "200 ms";
    private static final long MIN_PROBE_INTERVAL = Ticks.ofMillis(50);
    private static final long MAX_PROBE_INTERVAL = Ticks.ofSeconds(10);
    private static final double DEFAULT_WEIGHT = 1;
    private static final double MAX_WEIGHT = 100;
    private static final int MAX_PEERS = 2_000;
    private static final String NO_ZONE = "-";

    /**
     * Suffix of the file beside the peers file that the membership writes when it withdraws a
     * grant.
     */
    private static final String WITHDRAWAL_MARK_SUFFIX = ".withdrew";

    private final PeersToml toml;

    private PeersFileReader(PeersToml toml) {
        this.toml = toml;
    }

    /**
     * Reads a peers file.
     *
     * @param defaultName the manager's name in its configuration, used if the file gives none
     */
    static PeerConfig read(Path file, String defaultName) throws IOException {
        return new PeersFileReader(PeersToml.read(file)).config(defaultName);
    }

    private PeerConfig config(String defaultName) {
        toml.requireKnownKeys(KEYS, KEYS_SHOWN);
        long probeInterval = probeInterval();
        double weight = weight();
        InetSocketAddress listenAddress =
                toml.address(toml.position(LISTEN), LISTEN, toml.requireName(LISTEN));
        Optional<PeerConfig.CellPlacement> placement = cellPlacement(listenAddress);
        return new PeerConfig(
                toml.requireName(FLEET),
                toml.optionalName(NAME).orElse(defaultName),
                placement
                        .map(place -> place.plan().cells().get(place.cell()).zone())
                        .orElseGet(() -> toml.optionalName(ZONE).orElse(NO_ZONE)),
                weight,
                listenAddress,
                probeInterval,
                placement
                        .map(place -> place.addressesByCell().get(place.cell()))
                        .orElseGet(this::peerAddresses),
                toml.file().resolveSibling(toml.file().getFileName() + WITHDRAWAL_MARK_SUFFIX),
                placement.orElse(null));
    }

    private long probeInterval() {
        Object value = toml.value(PROBE_INTERVAL);
        String text = value == null ? DEFAULT_PROBE_INTERVAL : String.valueOf(value);
        Matcher duration = DURATION.matcher(text);
        long ticks = -1;
        if (duration.matches()) {
            long amount = Long.parseLong(duration.group(1));
            ticks =
                    duration.group(2).equals("s")
                            ? Ticks.ofSeconds(amount)
                            : Ticks.ofMillis(amount);
        }
        if (ticks < MIN_PROBE_INTERVAL || ticks > MAX_PROBE_INTERVAL) {
            throw toml.invalid(
                    PROBE_INTERVAL,
                    "'" + value + "' is no time from 50 ms to 10 s; \"200 ms\" would do");
        }
        return ticks;
    }

    private double weight() {
        Object value = toml.value(WEIGHT);
        if (value == null) {
            return DEFAULT_WEIGHT;
        }
        if (!(value instanceof Number number
                && number.doubleValue() > 0
                && number.doubleValue() <= MAX_WEIGHT)) {
            throw toml.invalid(
                    WEIGHT, value + " is not a number above 0 and up to 100; 1.0 would do");
        }
        return number.doubleValue();
    }

    private Optional<PeerConfig.CellPlacement> cellPlacement(InetSocketAddress listenAddress) {
        if (!toml.has(CellsSectionReader.CELLS)) {
            for (String key : CellsSectionReader.KEYS_WITH_CELLS_ONLY) {
                if (toml.has(key)) {
                    throw toml.invalid(
                            key,
                            "is of a fleet in cells; write [[cell]] with name, zone and hosts, or"
                                    + " remove this key");
                }
            }
            return Optional.empty();
        }
        PeerConfig.CellPlacement placement =
                new CellsSectionReader(toml).readPlacement(LISTEN, listenAddress);
        if (toml.has(PEERS)) {
            throw toml.invalid(
                    PEERS, "the hosts of the cells list the peers already; remove [[peer]]");
        }
        return Optional.of(placement);
    }

    private List<InetSocketAddress> peerAddresses() {
        if (!(toml.value(PEERS) instanceof TomlArray peers)
                || peers.isEmpty()
                || peers.size() > MAX_PEERS) {
            throw toml.invalid(
                    PEERS,
                    "there are none, or over "
                            + MAX_PEERS
                            + "; write [[peer]] with address = \"...\"");
        }
        Set<InetSocketAddress> addresses = new LinkedHashSet<>();
        for (int i = 0; i < peers.size(); i++) {
            TomlTable peer = toml.section(peers, i, PEERS);
            toml.requireKnownKeys(peer, PEERS, PEER_KEYS, PEER_KEYS_SHOWN);
            Object value = peer.get(List.of(PEER_ADDRESS));
            if (!addresses.add(
                    toml.address(peers.inputPositionOf(i), PEERS + "." + PEER_ADDRESS, value))) {
                throw toml.invalid(
                        peers.inputPositionOf(i),
                        "peer.address: "
                                + value
                                + " is listed twice; write one [[peer]] for each address");
            }
        }
        return new ArrayList<>(addresses);
    }
}
