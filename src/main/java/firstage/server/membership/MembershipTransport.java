package firstage.server.membership;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import firstage.cells.CellActions;
import firstage.cells.CellDirectory;
import firstage.cells.EngineSubset;
import firstage.config.ManagerConfig;
import firstage.config.PeerConfig;
import firstage.config.SettingsKeys;
import firstage.failover.FleetCoordinator;
import firstage.failover.ZoneActions;
import firstage.failover.ZoneFailover;
import firstage.membership.Member;
import firstage.membership.MemberState;
import firstage.membership.MembershipActions;
import firstage.membership.MembershipMessage;
import firstage.membership.MembershipProtocol;
import firstage.membership.MembershipView;
import firstage.membership.QuotaLeases;
import firstage.overload.ProbeActions;
import firstage.overload.SheddingActions;
import firstage.policy.api.Deployment;
import firstage.policy.api.EndpointUpdate;
import firstage.server.Counters;
import firstage.server.ServerEvents.DiscoveredEndpoint;
import firstage.server.TickClock;
import java.io.IOException;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Logger;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Collectors;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;

/**
 * Runs membership, cells and fleet coordination on the one I/O thread: exchanges their datagrams
 * over UDP, calls their periodic ticks and writes their log lines. Answers status requests and zone
 * orders that come from this machine. Makes no decisions of its own.
 */
public final class MembershipTransport implements MembershipActions, CellActions {
    /** Text of a request for this manager's status; answered only if it comes from this machine. */
    public static final String STATUS_REQUEST = "firstage view 1";

    /** Prefix of a zone order; the order and the name of the zone follow. */
    public static final String ZONE_ORDER_PREFIX = "firstage zone 1";

    /** Answer to a zone order that is malformed or names an unknown order or zone. */
    public static final String ZONE_ORDER_REJECTED = "firstage zone 1 unknown";

    private static final Logger LOG = Logger.getLogger(MembershipTransport.class.getName());
    private static final int TICK_INTERVAL_MS = 20;

    /** Delay before the withdrawal mark is stored again after a disk error. */
    private static final int MARK_RETRY_MS = 1_000;

    private static final int MAX_DATAGRAM_BYTES = 1_200;

    private static final int MAX_DATAGRAMS_PER_READ = 64;

    /** Maximum number of cells in each list of a status. */
    private static final int MAX_CELLS_NAMED = 8;

    private final PeerConfig config;
    private final TickClock clock;
    private final Counters counters;
    private final XnioIoThread io;
    private final MembershipProtocol protocol;
    private final QuotaLeases leases;
    private final FleetCoordinator fleetCoordinator;
    private final List<String> zoneNames;

    /** The cells of the fleet; null, like {@link #engineSubset}, if the fleet has no cells. */
    private final CellDirectory cells;

    private final EngineSubset<DiscoveredEndpoint> engineSubset;
    private final Consumer<List<DiscoveredEndpoint>> onEnginesReleased;
    private final Map<InetSocketAddress, Integer> addressIndex = new HashMap<>();

    /** Addresses of managers of other cells. */
    private final Set<InetSocketAddress> otherCellAddresses = new HashSet<>();

    private final ByteBuffer receiveBuffer = ByteBuffer.allocateDirect(MAX_DATAGRAM_BYTES + 1);
    private final SocketAddressBuffer senderAddress = new SocketAddressBuffer();
    private MulticastMessageChannel channel;
    private boolean closed;

    /** Index of the address whose datagram is being handled. */
    private int currentSender;

    /**
     * Creates the transport and the parts that it serves; opens no socket.
     *
     * @param startedAtUnixMs start of this manager, used as its incarnation
     * @param probeActions receives the probing decisions of the fleet coordinator
     * @param sheddingActions receives the load-shedding threshold of the fleet coordinator
     * @param onEnginesReleased receives engines that this manager may use from now on
     */
    public MembershipTransport(
            PeerConfig config,
            ManagerConfig managerConfig,
            long startedAtUnixMs,
            XnioIoThread io,
            TickClock clock,
            Counters counters,
            ProbeActions probeActions,
            SheddingActions sheddingActions,
            Consumer<List<DiscoveredEndpoint>> onEnginesReleased) {
        this.config = config;
        Deployment deployment = managerConfig.deployment();
        zoneNames =
                List.of(managerConfig.settings().getString(SettingsKeys.ZONE_NAMES, "").split(","));
        fleetCoordinator =
                new FleetCoordinator(
                        config.name(),
                        deployment.zone(),
                        zoneNames.size(),
                        deployment.shortestLatencyObjective(),
                        deployment.rules().warmUpDuration(),
                        config.probeInterval(),
                        new ZoneActions() {
                            @Override
                            public void setAvoided(
                                    long engine, boolean avoided, boolean backoffOver) {
                                probeActions.setProbedByOthers(engine, avoided, backoffOver);
                            }

                            @Override
                            public void logZoneState(int zone, String state) {
                                LOG.info(
                                        () ->
                                                "zone {\"zone\":"
                                                        + zone
                                                        + ",\"is\":\""
                                                        + state
                                                        + "\"}");
                            }
                        },
                        sheddingActions,
                        FleetCoordinator.InjectedDefects.NONE);
        int managers = deployment.managers();
        long seed = deployment.seed();
        this.io = io;
        this.clock = clock;
        this.counters = counters;
        this.onEnginesReleased = onEnginesReleased;
        config.peerAddresses().forEach(a -> addressIndex.put(a, addressIndex.size()));
        PeerConfig.CellPlacement cellConfig = config.cellPlacement();
        RandomGeneratorFactory<RandomGenerator> randomFactory =
                RandomGeneratorFactory.of("L64X128MixRandom");
        cells =
                cellConfig == null
                        ? null
                        : new CellDirectory(
                                cellConfig.plan(),
                                cellConfig.previousPlan(),
                                cellConfig.cell(),
                                cellConfig.slot(),
                                config.name(),
                                config.fleet(),
                                startedAtUnixMs,
                                randomFactory.create(~seed),
                                this,
                                CellDirectory.InjectedDefect.NONE);
        engineSubset =
                cellConfig == null
                        ? null
                        : new EngineSubset<>(
                                cells,
                                DiscoveredEndpoint::id,
                                endpoint -> zoneName(endpoint.zone()),
                                endpoint -> endpoint.lifecycle() == EndpointUpdate.Lifecycle.GONE);
        if (cellConfig != null) {
            cellConfig.addressesByCell().forEach(otherCellAddresses::addAll);
            otherCellAddresses.removeAll(config.peerAddresses());
        }
        String version = MembershipTransport.class.getPackage().getImplementationVersion();
        leases =
                new QuotaLeases(
                        cellConfig == null ? managers : config.peerAddresses().size(),
                        cellConfig == null
                                ? 1.0 / managers
                                : cellConfig.plan().sharePerManager(cellConfig.cell()),
                        config.probeInterval(),
                        Files.exists(config.withdrawalMark()),
                        this::storeWithdrawalMark,
                        QuotaLeases.InjectedDefect.NONE);
        protocol =
                new MembershipProtocol(
                        config.fleet(),
                        new Member(
                                config.name(),
                                config.zone(),
                                startedAtUnixMs,
                                MemberState.ALIVE,
                                version == null ? "" : version,
                                config.weight()),
                        addressIndex.size(),
                        config.probeInterval(),
                        MAX_DATAGRAM_BYTES,
                        randomFactory.create(seed),
                        leases,
                        this,
                        MembershipProtocol.InjectedDefect.NONE);
    }

    private String zoneName(int zone) {
        return zone >= 0 && zone < zoneNames.size() ? zoneNames.get(zone) : "";
    }

    /**
     * Returns those endpoints of a watch event that this manager may use; all of them if the fleet
     * has no cells.
     */
    public List<DiscoveredEndpoint> usableEndpoints(
            EndpointUpdate.Kind kind, List<DiscoveredEndpoint> entries) {
        return engineSubset == null
                ? entries
                : engineSubset.filter(kind != EndpointUpdate.Kind.DELTA, entries);
    }

    /**
     * Returns this manager's share of an engine's warm-up budget; 0 if the fleet has no cells, so
     * that the share from the settings applies.
     */
    public double warmUpShare(DiscoveredEndpoint endpoint) {
        return cells == null ? 0 : cells.warmUpShare(endpoint.id(), zoneName(endpoint.zone()));
    }

    /** Binds the socket; datagrams are read only after {@link #start}. */
    public void listen(XnioWorker worker) throws IOException {
        channel = worker.createUdpServer(config.listenAddress(), null, OptionMap.EMPTY);
    }

    /** Starts reading datagrams and the periodic ticks; to be called on the I/O thread. */
    public void start() {
        channel.getReadSetter().set(c -> onReadable());
        channel.resumeReads();
        tick();
    }

    /** Returns the fraction, from 0 to 1, of each engine that this manager may use now. */
    public double share() {
        return leases.share(clock.now());
    }

    private void tick() {
        if (!closed) {
            protocol.tick(clock.now());
            if (cells != null) {
                cells.tick(clock.now());
            }
            io.executeAfter(this::tick, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Stores the withdrawal mark on a separate thread, since disk writes may block. */
    private void storeWithdrawalMark() {
        Thread writer =
                new Thread(
                        () -> {
                            try (FileChannel file =
                                    FileChannel.open(
                                            config.withdrawalMark(),
                                            StandardOpenOption.CREATE,
                                            StandardOpenOption.WRITE)) {
                                file.write(
                                        ByteBuffer.wrap(
                                                "withdrew\n".getBytes(StandardCharsets.US_ASCII)));
                                file.force(true);
                                io.execute(leases::onWithdrawalMarkStored);
                            } catch (IOException exception) {
                                // This manager withdraws no grants until the mark is stored. The
                                // capacity of dead members stays unused for longer, but no
                                // invariant is violated.
                                LOG.warning(
                                        "no mark can be kept at "
                                                + config.withdrawalMark()
                                                + ": "
                                                + exception.getMessage());
                                io.executeAfter(
                                        this::storeWithdrawalMarkAgain,
                                        MARK_RETRY_MS,
                                        TimeUnit.MILLISECONDS);
                            }
                        },
                        "mark of peers");
        writer.setDaemon(true);
        writer.start();
    }

    private void storeWithdrawalMarkAgain() {
        if (!closed) {
            storeWithdrawalMark();
        }
    }

    private void onReadable() {
        try {
            for (int i = 0; i < MAX_DATAGRAMS_PER_READ; i++) {
                receiveBuffer.clear();
                int length = channel.receiveFrom(senderAddress, receiveBuffer);
                if (length <= 0) {
                    return;
                }
                receiveBuffer.flip();
                byte[] bytes = new byte[receiveBuffer.remaining()];
                receiveBuffer.get(bytes);
                InetSocketAddress sender = senderAddress.getSourceAddress(InetSocketAddress.class);
                Integer address = addressIndex.get(sender);
                if (address != null) {
                    currentSender = address;
                    protocol.onDatagram(clock.now(), address, bytes);
                } else if (otherCellAddresses.contains(sender)) {
                    cells.onDatagram(clock.now(), bytes);
                } else if (sender.getAddress().isLoopbackAddress()
                        && Arrays.equals(
                                bytes, STATUS_REQUEST.getBytes(StandardCharsets.US_ASCII))) {
                    channel.sendTo(
                            sender, ByteBuffer.wrap(statusJson().getBytes(StandardCharsets.UTF_8)));
                } else if (sender.getAddress().isLoopbackAddress()
                        && new String(bytes, StandardCharsets.UTF_8)
                                .startsWith(ZONE_ORDER_PREFIX + " ")) {
                    String answer = applyZoneOrder(bytes) ? statusJson() : ZONE_ORDER_REJECTED;
                    channel.sendTo(
                            sender, ByteBuffer.wrap(answer.getBytes(StandardCharsets.UTF_8)));
                } else {
                    counters.count("datagrams from nobody");
                }
            }
        } catch (IOException exception) {
            counters.count("datagrams not read");
        }
    }

    /**
     * Applies an operator's order such as {@code firstage zone 1 leave north}; returns whether the
     * order and the zone are known.
     */
    private boolean applyZoneOrder(byte[] bytes) {
        String[] words = new String(bytes, StandardCharsets.UTF_8).split(" ", 5);
        int zone = words.length < 5 ? -1 : zoneNames.indexOf(words[4]);
        if (zone < 0) {
            return false;
        }
        for (ZoneFailover.Order order : ZoneFailover.Order.values()) {
            if (order.name().toLowerCase(Locale.ROOT).equals(words[3])) {
                LOG.info(() -> "zone {\"zone\":" + zone + ",\"ordered\":\"" + words[3] + "\"}");
                fleetCoordinator.setZoneOrder(clock.now(), zone, order);
                return true;
            }
        }
        return false;
    }

    /** Returns this manager's status as JSON. */
    private String statusJson() throws IOException {
        long now = clock.now();
        StringWriter text = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
            out.writeStartObject();
            out.writeStringField("fleet", config.fleet());
            out.writeStringField("name", config.name());
            out.writeNumberField("view", protocol.view().number());
            out.writeBooleanField("agreed", protocol.viewAgreed());
            out.writeNumberField("sure", protocol.recentlyAliveFraction(now));
            out.writeNumberField("share", leases.share(now));
            out.writeNumberField("trials withheld", fleetCoordinator.withheldProbes());
            out.writeNumberField("cut", fleetCoordinator.sheddingThreshold());
            out.writeStringField(
                    "zones left",
                    fleetCoordinator.evacuatedZones().stream()
                            .map(zoneNames::get)
                            .collect(Collectors.joining(" ")));
            out.writeStringField(
                    "zones ordered",
                    fleetCoordinator.zoneOrders().entrySet().stream()
                            .map(
                                    zoneOrder ->
                                            zoneNames.get(zoneOrder.getKey())
                                                    + " "
                                                    + zoneOrder
                                                            .getValue()
                                                            .name()
                                                            .toLowerCase(Locale.ROOT))
                            .collect(Collectors.joining(" ")));
            if (cells != null) {
                writeCells(out, now);
            }
            out.writeArrayFieldStart("members");
            for (Member member : protocol.members()) {
                out.writeStartObject();
                out.writeStringField("name", member.name());
                out.writeStringField("zone", member.zone());
                out.writeStringField("standing", statusNameOf(member.state()));
                out.writeNumberField("since", member.incarnation());
                out.writeStringField("version", member.version());
                out.writeNumberField("weight", member.weight());
                out.writeStringField(
                        "link",
                        member.name().equals(config.name())
                                ? "self"
                                : protocol.linkState(now, member.name()));
                out.writeBooleanField(
                        "in view", protocol.view().memberNames().contains(member.name()));
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeObjectFieldStart("refused");
            for (Map.Entry<String, Long> rejected : protocol.rejectedMessages().entrySet()) {
                out.writeNumberField(rejected.getKey(), rejected.getValue());
            }
            out.writeEndObject();
            out.writeEndObject();
        }
        return text.toString();
    }

    /**
     * Writes the totals of the cells and names only the cells with a problem, since a status must
     * fit into one datagram.
     */
    private void writeCells(JsonGenerator out, long now) throws IOException {
        PeerConfig.CellPlacement placement = config.cellPlacement();
        List<CellDirectory.CellStatus> known = cells.cellStatuses(now);
        out.writeStringField("cell", placement.plan().cells().get(placement.cell()).name());
        out.writeNumberField("plan", placement.plan().number());
        out.writeNumberField("cells", known.size());
        out.writeNumberField(
                "cells heard",
                known.stream()
                        .filter(cell -> cell.state() == CellDirectory.CellState.ACTIVE)
                        .count());
        out.writeNumberField(
                "managers here",
                known.stream().mapToInt(CellDirectory.CellStatus::aliveManagers).sum());
        out.writeStringField(
                "cells silent",
                abbreviate(
                        known.stream()
                                .filter(cell -> cell.state() == CellDirectory.CellState.SILENT)
                                .map(CellDirectory.CellStatus::name)
                                .toList()));
        out.writeStringField(
                "cells short",
                abbreviate(
                        known.stream()
                                .filter(
                                        cell ->
                                                cell.aliveManagers() < cell.slots()
                                                        && cell.state()
                                                                == CellDirectory.CellState.ACTIVE)
                                .map(
                                        cell ->
                                                cell.name()
                                                        + ":"
                                                        + cell.aliveManagers()
                                                        + "/"
                                                        + cell.slots())
                                .toList()));
        out.writeStringField(
                "cells shedding",
                abbreviate(
                        known.stream()
                                .filter(cell -> cell.sheddingThreshold() > 0)
                                .map(cell -> cell.name() + ":" + cell.sheddingThreshold())
                                .toList()));
        out.writeStringField("plan not held by", abbreviate(cells.cellsBehindPlan()));
        out.writeNumberField("engines waited for", engineSubset.awaitedCount());
    }

    private static String abbreviate(List<String> names) {
        return String.join(" ", names.subList(0, Math.min(MAX_CELLS_NAMED, names.size())))
                + (names.size() > MAX_CELLS_NAMED
                        ? " and " + (names.size() - MAX_CELLS_NAMED) + " more"
                        : "");
    }

    /** Announces to peers that this manager shuts down. */
    public void leave() {
        protocol.leave(clock.now());
    }

    /** Closes the socket and adds the rejected messages to the counters. */
    public void close() {
        closed = true;
        protocol.rejectedMessages()
                .forEach((reason, count) -> counters.add("datagrams refused: " + reason, count));
        if (cells != null) {
            cells.rejectedMessages()
                    .forEach((reason, count) -> counters.add("rows refused: " + reason, count));
        }
        IoUtils.safeClose(channel);
    }

    @Override
    public void send(int address, MembershipMessage.Kind kind, byte[] datagram) {
        if (config.cellPlacement() == null || address != config.cellPlacement().slot()) {
            send(config.peerAddresses().get(address), datagram);
        }
    }

    @Override
    public void send(int cell, int slot, byte[] datagram) {
        send(config.cellPlacement().addressesByCell().get(cell).get(slot), datagram);
    }

    private void send(InetSocketAddress to, byte[] datagram) {
        try {
            counters.count("datagrams out");
            counters.add("datagrams' bytes out", datagram.length);
            if (!channel.sendTo(to, ByteBuffer.wrap(datagram))) {
                counters.count("datagrams not sent");
            }
        } catch (IOException notSent) {
            counters.count("datagrams not sent");
        }
    }

    @Override
    public void onEnginesReleased(long now) {
        List<DiscoveredEndpoint> released = engineSubset.takeReleased();
        if (!released.isEmpty()) {
            LOG.info(() -> "cell {\"engines taken over\":" + released.size() + "}");
            onEnginesReleased.accept(released);
        }
    }

    @Override
    public int sheddingThreshold() {
        return fleetCoordinator.sheddingThreshold();
    }

    @Override
    public void viewChanged(long now, MembershipView view) {
        fleetCoordinator.onViewChanged(view.memberNames());
        if (cells != null) {
            cells.onViewChanged(view.memberNames());
        }
        LOG.info(
                () ->
                        "view {\"number\":"
                                + view.number()
                                + ",\"members\":\""
                                + String.join(" ", view.memberNames())
                                + "\",\"share\":"
                                + String.format(Locale.ROOT, "%.4f", leases.share(now))
                                + "}");
    }

    @Override
    public void logMemberEvent(long now, String event, String member, String reason) {
        LOG.info(
                () ->
                        "member {\"is\":\""
                                + event
                                + "\",\"name\":\""
                                + member
                                + "\",\"why\":\""
                                + reason
                                + "\"}");
    }

    @Override
    public void logCellEvent(long now, String event, String cell, String reason) {
        LOG.info(
                () ->
                        "cell {\"is\":\""
                                + event
                                + "\",\"name\":\""
                                + cell
                                + "\",\"why\":\""
                                + reason
                                + "\"}");
    }

    @Override
    public byte[] outgoingDigest(long now) {
        byte[] fleetDigest = fleetCoordinator.encodeDigest(now);
        return cells == null ? fleetDigest : cells.encodeDigest(fleetDigest);
    }

    @Override
    public void digestReceived(long now, String from, byte[] digest) {
        fleetCoordinator.onDigest(
                now, from, cells == null ? digest : cells.onDigest(now, currentSender, digest));
    }

    /** Returns the fleet coordinator, which must be used on the I/O thread only. */
    public FleetCoordinator fleetCoordinator() {
        return fleetCoordinator;
    }

    /**
     * Returns the value of a member's state in the status answer, as older versions of {@code
     * peers} read it.
     */
    private static String statusNameOf(MemberState state) {
        return switch (state) {
            case ALIVE -> "here";
            case SUSPECT -> "doubted";
            case DEAD -> "gone";
            case LEFT -> "left";
        };
    }
}
