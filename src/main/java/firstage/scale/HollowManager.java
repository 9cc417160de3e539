package firstage.scale;

import firstage.cells.CellActions;
import firstage.cells.CellDirectory;
import firstage.cells.CellPlan;
import firstage.cells.EngineSubset;
import firstage.failover.FleetCoordinator;
import firstage.failover.ZoneActions;
import firstage.membership.Member;
import firstage.membership.MemberState;
import firstage.membership.MembershipActions;
import firstage.membership.MembershipMessage;
import firstage.membership.MembershipProtocol;
import firstage.membership.MembershipView;
import firstage.membership.QuotaLeases;
import firstage.policy.api.DemandHistogram;
import firstage.server.discovery.FrameDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * One hollow manager: the modules of the membership and of what stands on it as {@code serve
 * --peers} carries them, its own address, real datagrams and a real watch of the list; no clients
 * and no engines. On its process's one thread.
 */
final class HollowManager implements MembershipActions, CellActions {
    private static final int MOST = 1_200;
    private static final long GOAL = 10_000;
    private static final long WARM = 130_000;
    private static final int BANDS = 4;
    private static final double WORK = 460;
    private static final int LOOK = 1_000;
    private static final int RECORD = 27;
    private static final int ZONE_AT = 11;
    private static final int STARTED_AT = 19;

    /** What it tells of itself while it runs. */
    interface Witness {
        /** Its view is another. */
        void viewed(HollowManager who, MembershipView view);

        /** An event of the list came; {@code toldAt}: Unix ms at which it was told. */
        void listed(HollowManager who, long toldAt);

        /** A cell is silent, or heard again. */
        void noted(HollowManager who, String what, String cell);
    }

    /** An engine as a record of the list has it. */
    private record Listed(long id, String zone) {}

    final int number;
    private final ScalePlan plan;
    private final ScaleAddresses at;
    private final Selector selector;
    private final Clock clock;
    private final Witness witness;
    private final Map<InetSocketAddress, Integer> seats = new HashMap<>();
    private final Map<Integer, InetSocketAddress> addresses = new HashMap<>();
    private final DemandHistogram demand = new DemandHistogram();
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(16 * 1024);
    private DatagramChannel mail;
    private SocketChannel watch;
    private FrameDecoder frames;
    private MembershipProtocol members;
    private QuotaLeases leases;
    private CellDirectory cells;
    private EngineSubset<Listed> sieve;
    private FleetCoordinator together;
    private Set<Long> engines = new HashSet<>();
    private boolean lentBefore;
    private int life;
    private int reading;
    private long lookAt;
    private boolean retries;
    private long startedMs;
    long tickAt;
    final long[] bytesOut = new long[MembershipMessage.Kind.values().length + 1];
    long datagramsOut;
    long bytesIn;
    long listBytes;

    /** Ticks of one clock for the process. */
    interface Clock {
        long now();
    }

    HollowManager(
            int number,
            ScalePlan plan,
            ScaleAddresses at,
            Selector selector,
            Clock clock,
            Witness witness) {
        this.number = number;
        this.plan = plan;
        this.at = at;
        this.selector = selector;
        this.clock = clock;
        this.witness = witness;
        int first = plan.cellOf(number) * plan.together();
        for (int seat = 0; seat < plan.together(); seat++) {
            seats.put(at.mail(plan, first + seat), seat);
            addresses.put(seat, at.mail(plan, first + seat));
        }
    }

    String name() {
        return "m" + number;
    }

    boolean up() {
        return mail != null;
    }

    int views() {
        return members == null ? 0 : members.view().memberNames().size();
    }

    List<String> view() {
        return members == null ? List.of() : members.view().memberNames();
    }

    /** Of its own slice the part in force. */
    double inForce() {
        return up() ? leases.share(clock.now()) / plan.part() : 0;
    }

    int cellsHeard() {
        return cells == null
                ? 0
                : (int)
                        cells.cells(clock.now()).stream()
                                .filter(k -> k.state() == CellDirectory.CellState.ACTIVE)
                                .count();
    }

    int enginesHeld() {
        return engines.size();
    }

    void start() throws IOException {
        int mine = ++life;
        CellPlan cellPlan = plan.cellPlan();
        int cell = plan.cellOf(number);
        RandomGeneratorFactory<RandomGenerator> chances =
                RandomGeneratorFactory.of("L64X128MixRandom");
        long seed = number * 1_000_003L + mine;
        leases =
                new QuotaLeases(
                        plan.together(),
                        plan.part(),
                        plan.period(),
                        lentBefore,
                        () -> {
                            lentBefore = true;
                            leases.onWithdrawalMarkStored();
                        },
                        QuotaLeases.InjectedDefect.NONE);
        long started = System.currentTimeMillis();
        startedMs = started;
        int zone = plan.zones().indexOf(plan.zoneOf(number));
        together =
                new FleetCoordinator(
                        name(),
                        zone,
                        plan.zones().size(),
                        GOAL,
                        WARM,
                        plan.period(),
                        new ZoneActions() {
                            @Override
                            public void setAvoided(long engine, boolean away, boolean restIsOver) {
                                // No engines stand behind it.
                            }

                            @Override
                            public void logZoneState(int turned, String state) {
                                // The same.
                            }
                        },
                        (now, band, part) -> {},
                        FleetCoordinator.InjectedDefects.NONE);
        members =
                new MembershipProtocol(
                        plan.name(),
                        new Member(name(), plan.zoneOf(number), started, MemberState.ALIVE, "", 1),
                        plan.together(),
                        plan.period(),
                        MOST,
                        chances.create(seed),
                        leases,
                        this,
                        MembershipProtocol.InjectedDefect.NONE);
        cells =
                cellPlan == null
                        ? null
                        : new CellDirectory(
                                cellPlan,
                                null,
                                cell,
                                plan.slotOf(number),
                                name(),
                                plan.name(),
                                started,
                                chances.create(~seed),
                                this,
                                CellDirectory.InjectedDefect.NONE);
        sieve =
                cells == null
                        ? null
                        : new EngineSubset<>(cells, Listed::id, Listed::zone, e -> false);
        mail = DatagramChannel.open();
        mail.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        mail.bind(at.mail(plan, number));
        mail.configureBlocking(false);
        mail.register(selector, SelectionKey.OP_READ, this);
        follow();
        learn();
        tickAt = clock.now();
        lookAt = tickAt;
    }

    /** The engines that its configuration names; ids and zones as the run gives them. */
    private void learn() {
        engines = new HashSet<>();
        for (int e = 0; e < plan.engines(); e++) {
            took(List.of(new Listed(e + 1L, plan.zones().get(e % plan.zones().size()))));
        }
    }

    private void took(List<Listed> entries) {
        (sieve == null ? entries : sieve.filter(false, entries)).forEach(e -> engines.add(e.id));
    }

    private void follow() throws IOException {
        frames = new FrameDecoder();
        watch = SocketChannel.open();
        watch.configureBlocking(false);
        watch.setOption(StandardSocketOptions.TCP_NODELAY, true);
        watch.connect(at.coordinator());
        watch.register(selector, SelectionKey.OP_CONNECT, this);
    }

    /** As a process that is killed: its sockets are closed, nobody is told. */
    void kill() throws IOException {
        life++;
        if (mail != null) {
            mail.close();
            watch.close();
        }
        mail = null;
    }

    void leave() throws IOException {
        members.leave(clock.now());
        kill();
    }

    void tick(long now) throws IOException {
        members.tick(now);
        if (cells != null) {
            cells.tick(now);
        }
        if (now >= lookAt) {
            lookAt = now + LOOK;
            for (int b = 0; b < BANDS; b++) {
                demand.arrivedWork(DemandHistogram.BANDS / 2 + 2 * b, WORK * LOOK / BANDS);
            }
            demand.startedWork(WORK * LOOK);
            together.evaluate(now, demand);
            if (retries) {
                retries = false;
                follow();
            }
        }
    }

    /** One of its sockets is ready. */
    void ready(SelectionKey key) throws IOException {
        if (key.channel() == mail) {
            receive();
        } else if (key.channel() == watch && key.isConnectable()) {
            try {
                watch.finishConnect();
                watch.write(ByteBuffer.allocate(Long.BYTES).putLong(0, 1));
                key.interestOps(SelectionKey.OP_READ);
            } catch (IOException away) {
                lost();
            }
        } else if (key.channel() == watch) {
            try {
                buffer.clear();
                int n = watch.read(buffer);
                if (n < 0) {
                    lost();
                    return;
                }
                listBytes += n;
                frames.decode(buffer.flip()).stream()
                        .filter(f -> f.type() != 0)
                        .forEach(f -> listed(f.payload()));
            } catch (IOException gone) {
                lost();
            }
        }
    }

    private void lost() throws IOException {
        watch.close();
        retries = true;
    }

    private void listed(ByteBuffer payload) {
        for (int record = 0; record + RECORD <= payload.remaining(); record += RECORD) {
            took(
                    List.of(
                            new Listed(
                                    payload.getInt(record) & 0xFFFFFFFFL,
                                    plan.zones().get(payload.get(record + ZONE_AT)))));
            // What was told before this life began comes with its start, and says nothing of how
            // soon news comes.
            if (payload.getLong(record + STARTED_AT) >= startedMs) {
                witness.listed(this, payload.getLong(record + STARTED_AT));
            }
        }
    }

    private void receive() throws IOException {
        for (int i = 0; i < 64 && mail != null; i++) {
            buffer.clear();
            InetSocketAddress from = (InetSocketAddress) mail.receive(buffer);
            if (from == null) {
                return;
            }
            byte[] bytes = new byte[buffer.flip().remaining()];
            buffer.get(bytes);
            bytesIn += bytes.length;
            Integer seat = seats.get(from);
            if (seat != null) {
                reading = seat;
                members.onDatagram(clock.now(), seat, bytes);
            } else if (cells != null) {
                cells.onDatagram(clock.now(), bytes);
            }
        }
    }

    private void post(InetSocketAddress to, int kind, byte[] datagram) {
        bytesOut[kind] += datagram.length;
        datagramsOut++;
        try {
            mail.send(ByteBuffer.wrap(datagram), to);
        } catch (IOException nobody) {
            // As in service: what can't be sent is lost.
        }
    }

    @Override
    public void send(int seed, MembershipMessage.Kind kind, byte[] datagram) {
        if (seed != plan.slotOf(number)) {
            post(addresses.get(seed), kind.ordinal(), datagram);
        }
    }

    @Override
    public void send(int cell, int slot, byte[] datagram) {
        post(at.mail(plan, cell * plan.together() + slot), bytesOut.length - 1, datagram);
    }

    @Override
    public void viewChanged(long now, MembershipView view) {
        together.onViewChanged(view.memberNames());
        if (cells != null) {
            cells.onViewChanged(view.memberNames());
        }
        witness.viewed(this, view);
    }

    @Override
    public void logMemberEvent(long now, String what, String who, String why) {
        // Its views say what is asked of it.
    }

    @Override
    public void logCellEvent(long now, String what, String who, String why) {
        if (what.equals("silent") || what.equals("heard again")) {
            witness.noted(this, what, who);
        }
    }

    @Override
    public byte[] outgoingDigest(long now) {
        byte[] rest = together.encodeDigest(now);
        return cells == null ? rest : cells.encodeDigest(rest);
    }

    @Override
    public void digestReceived(long now, String from, byte[] digest) {
        together.onDigest(now, from, cells == null ? digest : cells.onDigest(now, reading, digest));
    }

    @Override
    public void enginesReleased(long now) {
        sieve.takeReleased().forEach(e -> engines.add(e.id));
    }

    @Override
    public int sheddingThreshold() {
        return together.sheddingThreshold();
    }
}
