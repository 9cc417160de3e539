package firstage.server.membership;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import firstage.cells.CellDirectory;
import firstage.cells.EngineSubset;
import firstage.config.ManagerConfig;
import firstage.config.PeerConfig;
import firstage.failover.FleetCoordinator;
import firstage.failover.ZoneFailover;
import firstage.membership.Member;
import firstage.membership.MemberState;
import firstage.membership.MembershipMessage;
import firstage.membership.MembershipProtocol;
import firstage.membership.MembershipView;
import firstage.membership.QuotaLeases;
import firstage.overload.LoadSheddingLevel;
import firstage.overload.ProbeCoordinator;
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

/** The membership's datagrams, clock and log, all on the one I/O thread. */
public final class MembershipTransport
        implements MembershipProtocol.Carrier, CellDirectory.Effects {
    /** What a view is asked for by, from this machine only. */
    public static final String ASKED = "firstage view 1";

    /** What an order begins with; what is wanted and the zone's name follow. */
    public static final String ORDERED = "firstage zone 1";

    /** The answer to an order that can't be used. */
    public static final String NO_ORDER = "firstage zone 1 unknown";

    private static final Logger LOG = Logger.getLogger(MembershipTransport.class.getName());
    private static final int TICK_MS = 20;
    private static final int MOST = 1_200;

    /** Tenths of a millisecond: three ticks; less is a busy machine, not a stop. */
    private static final long STILL = 600;

    /** What lay there during a stop is read within this after it. */
    private static final long READS = 1_000;

    private static final int MOST_A_LOOK = 64;

    /** Cells that an answer names in each of its lists. */
    private static final int MOST_NAMED = 8;

    private final PeerConfig list;
    private final TickClock clock;
    private final Counters counters;
    private final XnioIoThread io;
    private final MembershipProtocol members;
    private final QuotaLeases leases;
    private final FleetCoordinator together;
    private final List<String> areas;

    /** Null where the fleet is one; so is the sieve. */
    private final CellDirectory cells;

    private final EngineSubset<DiscoveredEndpoint> sieve;
    private final Consumer<List<DiscoveredEndpoint>> free;
    private final Map<InetSocketAddress, Integer> seeds = new HashMap<>();

    /** Where managers of other cells are. */
    private final Set<InetSocketAddress> others = new HashSet<>();

    private final ByteBuffer shared = ByteBuffer.allocateDirect(MOST + 1);
    private final SocketAddressBuffer from = new SocketAddressBuffer();
    private MulticastMessageChannel channel;
    private boolean closed;

    /** The place whose datagram is being read. */
    private int reading;

    private long tickedAt;
    private long wokeAt = Long.MIN_VALUE / 4;
    private long stoppedFor;

    /**
     * {@code started}: Unix ms, the number of this life; {@code keepAway}, {@code cut}: what the
     * managers together decide for this one; {@code free}: is told of engines that it may use from
     * now on.
     */
    public MembershipTransport(
            PeerConfig list,
            ManagerConfig assignment,
            long started,
            XnioIoThread io,
            TickClock clock,
            Counters counters,
            ProbeCoordinator.Effects keepAway,
            LoadSheddingLevel.Effects cut,
            Consumer<List<DiscoveredEndpoint>> free) {
        this.list = list;
        Deployment deployment = assignment.deployment();
        areas = List.of(assignment.settings().getString("areas", "").split(","));
        together =
                new FleetCoordinator(
                        list.name(),
                        deployment.zone(),
                        areas.size(),
                        deployment.shortestLatencyObjective(),
                        deployment.rules().warmUpDuration(),
                        list.probeInterval(),
                        new ZoneFailover.Effects() {
                            @Override
                            public void keepAway(long engine, boolean away, boolean restIsOver) {
                                keepAway.othersTry(engine, away, restIsOver);
                            }

                            @Override
                            public void turned(int zone, String state) {
                                LOG.info(
                                        () ->
                                                "zone {\"zone\":"
                                                        + zone
                                                        + ",\"is\":\""
                                                        + state
                                                        + "\"}");
                            }
                        },
                        cut,
                        FleetCoordinator.Faults.NONE);
        int all = deployment.managers();
        long seed = deployment.seed();
        this.io = io;
        this.clock = clock;
        this.counters = counters;
        this.free = free;
        list.peerAddresses().forEach(a -> seeds.put(a, seeds.size()));
        PeerConfig.CellPlacement in = list.cellPlacement();
        RandomGeneratorFactory<RandomGenerator> chances =
                RandomGeneratorFactory.of("L64X128MixRandom");
        cells =
                in == null
                        ? null
                        : new CellDirectory(
                                in.plan(),
                                in.previousPlan(),
                                in.cell(),
                                in.slot(),
                                list.name(),
                                list.fleet(),
                                started,
                                chances.create(~seed),
                                this,
                                CellDirectory.Fault.NONE);
        sieve =
                in == null
                        ? null
                        : new EngineSubset<>(
                                cells,
                                DiscoveredEndpoint::id,
                                e -> area(e.zone()),
                                e -> e.lifecycle() == EndpointUpdate.Lifecycle.GONE);
        if (in != null) {
            in.addressesByCell().forEach(others::addAll);
            others.removeAll(list.peerAddresses());
        }
        String version = MembershipTransport.class.getPackage().getImplementationVersion();
        leases =
                new QuotaLeases(
                        in == null ? all : list.peerAddresses().size(),
                        in == null ? 1.0 / all : in.plan().part(in.cell()),
                        list.probeInterval(),
                        Files.exists(list.withdrawalMark()),
                        this::keep,
                        QuotaLeases.Fault.NONE);
        members =
                new MembershipProtocol(
                        list.fleet(),
                        new Member(
                                list.name(),
                                list.zone(),
                                started,
                                MemberState.HERE,
                                version == null ? "" : version,
                                list.weight()),
                        seeds.size(),
                        list.probeInterval(),
                        MOST,
                        chances.create(seed),
                        leases,
                        this,
                        MembershipProtocol.Fault.NONE);
    }

    private String area(int zone) {
        return zone >= 0 && zone < areas.size() ? areas.get(zone) : "";
    }

    /** Of an event of the list what this manager may use; all of it where the fleet is one. */
    public List<DiscoveredEndpoint> served(
            EndpointUpdate.Kind kind, List<DiscoveredEndpoint> entries) {
        return sieve == null ? entries : sieve.pass(kind != EndpointUpdate.Kind.DELTA, entries);
    }

    /**
     * Of what an engine bears while it is cold, this manager's part; 0, by the settings, where the
     * fleet is one.
     */
    public double coldPart(DiscoveredEndpoint e) {
        return cells == null ? 0 : cells.coldPart(e.id(), area(e.zone()));
    }

    /** Listens. */
    public void listen(XnioWorker worker) throws IOException {
        channel = worker.createUdpServer(list.listenAddress(), null, OptionMap.EMPTY);
    }

    /** Begins; on the I/O thread. */
    public void start() {
        channel.getReadSetter().set(c -> readable());
        channel.resumeReads();
        tick();
    }

    /** The part of each engine that this manager may use now. */
    public double share() {
        return leases.share(clock.now());
    }

    /**
     * How long this process was stopped just now: since its last tick, or until the one that came
     * late.
     */
    public long stoodStill() {
        long now = clock.now();
        long since = tickedAt == 0 ? 0 : now - tickedAt;
        return Math.max(since > STILL ? since : 0, now - wokeAt < READS ? stoppedFor : 0);
    }

    private void tick() {
        if (!closed) {
            long now = clock.now();
            if (tickedAt > 0 && now - tickedAt > STILL) {
                wokeAt = now;
                stoppedFor = now - tickedAt;
            }
            tickedAt = now;
            members.tick(clock.now());
            if (cells != null) {
                cells.tick(clock.now());
            }
            io.executeAfter(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * A life that withdraws its word says so to the next one first; a disk may block, so not on
     * this thread.
     */
    private void keep() {
        Thread writer =
                new Thread(
                        () -> {
                            try (FileChannel file =
                                    FileChannel.open(
                                            list.withdrawalMark(),
                                            StandardOpenOption.CREATE,
                                            StandardOpenOption.WRITE)) {
                                file.write(
                                        ByteBuffer.wrap(
                                                "withdrew\n".getBytes(StandardCharsets.US_ASCII)));
                                file.force(true);
                                io.execute(leases::kept);
                            } catch (IOException fault) {
                                // Then it withdraws nothing: the others' room stays unused, and no
                                // rule is at stake.
                                LOG.warning(
                                        "no mark can be kept at "
                                                + list.withdrawalMark()
                                                + ": "
                                                + fault.getMessage());
                            }
                        },
                        "mark of peers");
        writer.setDaemon(true);
        writer.start();
    }

    private void readable() {
        try {
            for (int i = 0; i < MOST_A_LOOK; i++) {
                shared.clear();
                int n = channel.receiveFrom(from, shared);
                if (n <= 0) {
                    return;
                }
                shared.flip();
                byte[] bytes = new byte[shared.remaining()];
                shared.get(bytes);
                InetSocketAddress source = from.getSourceAddress(InetSocketAddress.class);
                Integer seed = seeds.get(source);
                if (seed != null) {
                    reading = seed;
                    members.received(clock.now(), seed, bytes);
                } else if (others.contains(source)) {
                    cells.received(clock.now(), bytes);
                } else if (source.getAddress().isLoopbackAddress()
                        && Arrays.equals(bytes, ASKED.getBytes(StandardCharsets.US_ASCII))) {
                    channel.sendTo(
                            source, ByteBuffer.wrap(told().getBytes(StandardCharsets.UTF_8)));
                } else if (source.getAddress().isLoopbackAddress()
                        && new String(bytes, StandardCharsets.UTF_8).startsWith(ORDERED + " ")) {
                    String answer = ordered(bytes) ? told() : NO_ORDER;
                    channel.sendTo(
                            source, ByteBuffer.wrap(answer.getBytes(StandardCharsets.UTF_8)));
                } else {
                    counters.count("datagrams from nobody");
                }
            }
        } catch (IOException fault) {
            counters.count("datagrams not read");
        }
    }

    /**
     * An operator's order, {@code firstage zone 1 leave north}; false where it is none that can be
     * used.
     */
    private boolean ordered(byte[] bytes) {
        String[] words = new String(bytes, StandardCharsets.UTF_8).split(" ", 5);
        int zone = words.length < 5 ? -1 : areas.indexOf(words[4]);
        if (zone < 0) {
            return false;
        }
        for (ZoneFailover.Order order : ZoneFailover.Order.values()) {
            if (order.name().toLowerCase(Locale.ROOT).equals(words[3])) {
                LOG.info(() -> "zone {\"zone\":" + zone + ",\"ordered\":\"" + words[3] + "\"}");
                together.order(clock.now(), zone, order);
                return true;
            }
        }
        return false;
    }

    /** What it knows, as JSON. */
    private String told() throws IOException {
        long now = clock.now();
        StringWriter text = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
            out.writeStartObject();
            out.writeStringField("fleet", list.fleet());
            out.writeStringField("name", list.name());
            out.writeNumberField("view", members.view().number());
            out.writeBooleanField("agreed", members.agreed());
            out.writeNumberField("sure", members.sure(now));
            out.writeNumberField("share", leases.share(now));
            out.writeNumberField("trials withheld", together.withheld());
            out.writeNumberField("cut", together.cut());
            out.writeStringField(
                    "zones left",
                    together.zonesOut().stream().map(areas::get).collect(Collectors.joining(" ")));
            out.writeStringField(
                    "zones ordered",
                    together.ordered().entrySet().stream()
                            .map(
                                    e ->
                                            areas.get(e.getKey())
                                                    + " "
                                                    + e.getValue().name().toLowerCase(Locale.ROOT))
                            .collect(Collectors.joining(" ")));
            if (cells != null) {
                tellCells(out, now);
            }
            out.writeArrayFieldStart("members");
            for (Member e : members.entries()) {
                out.writeStartObject();
                out.writeStringField("name", e.name());
                out.writeStringField("zone", e.zone());
                out.writeStringField("standing", e.standing().name().toLowerCase(Locale.ROOT));
                out.writeNumberField("since", e.incarnation());
                out.writeStringField("version", e.version());
                out.writeNumberField("weight", e.weight());
                out.writeStringField(
                        "link",
                        e.name().equals(list.name()) ? "self" : members.link(now, e.name()));
                out.writeBooleanField("in view", members.view().names().contains(e.name()));
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeObjectFieldStart("refused");
            for (Map.Entry<String, Long> r : members.refused().entrySet()) {
                out.writeNumberField(r.getKey(), r.getValue());
            }
            out.writeEndObject();
            out.writeEndObject();
        }
        return text.toString();
    }

    /**
     * The cells in two numbers and, where not all is well, by name: one answer must fit into a
     * datagram.
     */
    private void tellCells(JsonGenerator out, long now) throws IOException {
        PeerConfig.CellPlacement in = list.cellPlacement();
        List<CellDirectory.Known> known = cells.known(now);
        out.writeStringField("cell", in.plan().cells().get(in.cell()).name());
        out.writeNumberField("plan", in.plan().number());
        out.writeNumberField("cells", known.size());
        out.writeNumberField(
                "cells heard",
                known.stream().filter(k -> k.standing() == CellDirectory.Standing.HEARD).count());
        out.writeNumberField(
                "managers here", known.stream().mapToInt(CellDirectory.Known::here).sum());
        out.writeStringField(
                "cells silent",
                some(
                        known.stream()
                                .filter(k -> k.standing() == CellDirectory.Standing.SILENT)
                                .map(CellDirectory.Known::name)
                                .toList()));
        out.writeStringField(
                "cells short",
                some(
                        known.stream()
                                .filter(
                                        k ->
                                                k.here() < k.slots()
                                                        && k.standing()
                                                                == CellDirectory.Standing.HEARD)
                                .map(k -> k.name() + ":" + k.here() + "/" + k.slots())
                                .toList()));
        out.writeStringField(
                "cells shedding",
                some(
                        known.stream()
                                .filter(k -> k.cut() > 0)
                                .map(k -> k.name() + ":" + k.cut())
                                .toList()));
        out.writeStringField("plan not held by", some(cells.behind()));
        out.writeNumberField("engines waited for", sieve.awaited());
    }

    private static String some(List<String> names) {
        return String.join(" ", names.subList(0, Math.min(MOST_NAMED, names.size())))
                + (names.size() > MOST_NAMED
                        ? " and " + (names.size() - MOST_NAMED) + " more"
                        : "");
    }

    /** It ends by intent; the others are told. */
    public void leave() {
        members.leave(clock.now());
    }

    public void close() {
        closed = true;
        members.refused().forEach((why, n) -> counters.add("datagrams refused: " + why, n));
        if (cells != null) {
            cells.refused().forEach((why, n) -> counters.add("rows refused: " + why, n));
        }
        IoUtils.safeClose(channel);
    }

    @Override
    public void send(int seed, MembershipMessage.Kind kind, byte[] datagram) {
        if (list.cellPlacement() == null || seed != list.cellPlacement().slot()) {
            send(list.peerAddresses().get(seed), datagram);
        }
    }

    @Override
    public void send(int cell, int slot, byte[] datagram) {
        send(list.cellPlacement().addressesByCell().get(cell).get(slot), datagram);
    }

    private void send(InetSocketAddress to, byte[] datagram) {
        try {
            counters.count("datagrams out");
            counters.add("datagrams' bytes out", datagram.length);
            if (!channel.sendTo(to, ByteBuffer.wrap(datagram))) {
                counters.count("datagrams not sent");
            }
        } catch (IOException nobody) {
            counters.count("datagrams not sent");
        }
    }

    @Override
    public void freed(long now) {
        List<DiscoveredEndpoint> may = sieve.freed();
        if (!may.isEmpty()) {
            LOG.info(() -> "cell {\"engines taken over\":" + may.size() + "}");
            free.accept(may);
        }
    }

    @Override
    public int cut() {
        return together.cut();
    }

    @Override
    public void changed(long now, MembershipView view) {
        together.viewed(view.names());
        if (cells != null) {
            cells.viewed(view.names());
        }
        LOG.info(
                () ->
                        "view {\"number\":"
                                + view.number()
                                + ",\"members\":\""
                                + String.join(" ", view.names())
                                + "\",\"share\":"
                                + String.format(Locale.ROOT, "%.4f", leases.share(now))
                                + "}");
    }

    @Override
    public void note(long now, String what, String who, String why) {
        LOG.info(
                () ->
                        "member {\"is\":\""
                                + what
                                + "\",\"name\":\""
                                + who
                                + "\",\"why\":\""
                                + why
                                + "\"}");
    }

    @Override
    public void noteOfCell(long now, String what, String cell, String why) {
        LOG.info(
                () ->
                        "cell {\"is\":\""
                                + what
                                + "\",\"name\":\""
                                + cell
                                + "\",\"why\":\""
                                + why
                                + "\"}");
    }

    @Override
    public byte[] digest(long now) {
        byte[] rest = together.digest(now);
        return cells == null ? rest : cells.digest(rest);
    }

    @Override
    public void digested(long now, String name, byte[] digest) {
        together.digested(now, name, cells == null ? digest : cells.digested(now, reading, digest));
    }

    /** What this manager works out with the others; on the I/O thread. */
    public FleetCoordinator together() {
        return together;
    }
}
