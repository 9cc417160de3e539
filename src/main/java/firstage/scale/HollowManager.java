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
 * A hollow manager: the membership and the modules built on it, as {@code serve --peers} runs them,
 * without clients and engines. It has its own address, exchanges real datagrams with its peers and
 * watches the coordinator's endpoint list. All methods run on the one thread of its process. Times
 * are ticks unless their name says ms.
 */
final class HollowManager implements MembershipActions, CellActions {
    private static final int MAX_DATAGRAM_BYTES = 1_200;

    /** Shortest latency objective of the simulated traffic classes: 1 s. */
    private static final long LATENCY_OBJECTIVE = 10_000;

    /** Time that engines take to warm up: 13 s. */
    private static final long WARM_UP = 130_000;

    /** Number of priority bands over which the simulated demand is spread. */
    private static final int PRIORITY_BANDS = 4;

    /** Simulated work that arrives and starts in each tick, in ticks on one thread. */
    private static final double WORK_PER_TICK = 460;

    /** Time between two evaluations by the fleet coordinator: 100 ms. */
    private static final int EVALUATION_INTERVAL = 1_000;

    /** Size of an engine's record in an event of the endpoint list, in bytes. */
    private static final int RECORD_BYTES = 27;

    /** Offset of the zone in a record, in bytes. */
    private static final int ZONE_OFFSET = 11;

    /** Offset of the start time in a record, in bytes; the value is a Unix time in ms. */
    private static final int STARTED_AT_OFFSET = 19;

    /** Receives the events of a hollow manager while it runs. */
    interface Observer {
        /** Called when the manager has a new view. */
        void onViewChanged(HollowManager manager, MembershipView view);

        /**
         * Called when the manager receives a change of the endpoint list.
         *
         * @param sentAt Unix time in ms at which the coordinator sent the change
         */
        void onEndpointListChanged(HollowManager manager, long sentAt);

        /** Called when a cell becomes silent or sends rows again. */
        void onCellEvent(HollowManager manager, String event, String cell);
    }

    /** An engine of the endpoint list. */
    private record ListedEngine(long id, String zone) {}

    final int number;
    private final ScalePlan plan;
    private final ScaleAddresses addresses;
    private final Selector selector;
    private final Clock clock;
    private final Observer observer;
    private final Map<InetSocketAddress, Integer> slotsByAddress = new HashMap<>();
    private final Map<Integer, InetSocketAddress> addressesBySlot = new HashMap<>();
    private final DemandHistogram demand = new DemandHistogram();
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(16 * 1024);
    private DatagramChannel datagramChannel;
    private SocketChannel coordinatorChannel;
    private FrameDecoder frameDecoder;
    private MembershipProtocol membership;
    private QuotaLeases leases;
    private CellDirectory cellDirectory;
    private EngineSubset<ListedEngine> engineSubset;
    private FleetCoordinator fleetCoordinator;
    private Set<Long> usableEngines = new HashSet<>();

    /** Whether an earlier incarnation may have withdrawn grants. */
    private boolean mayHaveWithdrawnBefore;

    private int incarnation;
    private int lastSenderSlot;
    private long nextEvaluation;
    private boolean reconnectDue;
    private long incarnationStartMs;

    /** Time in ticks at which {@link #tick} is to be called next. */
    long nextTick;

    /** Bytes sent, by the ordinal of the message kind; the last entry is for the cell directory. */
    final long[] bytesOut = new long[MembershipMessage.Kind.values().length + 1];

    long datagramsOut;
    long bytesIn;
    long listBytesIn;

    /** Clock of the process, in ticks. */
    interface Clock {
        long now();
    }

    HollowManager(
            int number,
            ScalePlan plan,
            ScaleAddresses addresses,
            Selector selector,
            Clock clock,
            Observer observer) {
        this.number = number;
        this.plan = plan;
        this.addresses = addresses;
        this.selector = selector;
        this.clock = clock;
        this.observer = observer;
        int firstManager = plan.cellOf(number) * plan.membershipSize();
        for (int slot = 0; slot < plan.membershipSize(); slot++) {
            slotsByAddress.put(addresses.datagramAddress(plan, firstManager + slot), slot);
            addressesBySlot.put(slot, addresses.datagramAddress(plan, firstManager + slot));
        }
    }

    String name() {
        return "m" + number;
    }

    boolean up() {
        return datagramChannel != null;
    }

    /** Returns the number of managers in the view. */
    int viewSize() {
        return membership == null ? 0 : membership.view().memberNames().size();
    }

    /** Returns the names of the managers in the view. */
    List<String> viewMembers() {
        return membership == null ? List.of() : membership.view().memberNames();
    }

    /** Returns the share of the manager's own slice that is in force. */
    double sliceInForce() {
        return up() ? leases.share(clock.now()) / plan.managerShare() : 0;
    }

    /** Returns the number of active cells; 0 in a fleet without cells. */
    int cellsHeard() {
        return cellDirectory == null
                ? 0
                : (int)
                        cellDirectory.cellStatuses(clock.now()).stream()
                                .filter(cell -> cell.state() == CellDirectory.CellState.ACTIVE)
                                .count();
    }

    int enginesHeld() {
        return usableEngines.size();
    }

    /** Starts a new incarnation. */
    void start() throws IOException {
        int startedIncarnation = ++incarnation;
        CellPlan cellPlan = plan.cellPlan();
        int cell = plan.cellOf(number);
        RandomGeneratorFactory<RandomGenerator> randomFactory =
                RandomGeneratorFactory.of("L64X128MixRandom");
        long seed = number * 1_000_003L + startedIncarnation;
        leases =
                new QuotaLeases(
                        plan.membershipSize(),
                        plan.managerShare(),
                        plan.probePeriod(),
                        mayHaveWithdrawnBefore,
                        () -> {
                            mayHaveWithdrawnBefore = true;
                            leases.onWithdrawalMarkStored();
                        },
                        QuotaLeases.InjectedDefect.NONE);
        long startedAtMs = System.currentTimeMillis();
        incarnationStartMs = startedAtMs;
        int zone = plan.zones().indexOf(plan.zoneOf(number));
        fleetCoordinator =
                new FleetCoordinator(
                        name(),
                        zone,
                        plan.zones().size(),
                        LATENCY_OBJECTIVE,
                        WARM_UP,
                        plan.probePeriod(),
                        new ZoneActions() {
                            @Override
                            public void setAvoided(
                                    long engine, boolean avoided, boolean backoffOver) {
                                // A hollow manager calls no engines.
                            }

                            @Override
                            public void logZoneState(int changedZone, String state) {
                                // The states of zones are not measured.
                            }
                        },
                        (now, band, part) -> {},
                        FleetCoordinator.InjectedDefects.NONE);
        membership =
                new MembershipProtocol(
                        plan.name(),
                        new Member(
                                name(), plan.zoneOf(number), startedAtMs, MemberState.ALIVE, "", 1),
                        plan.membershipSize(),
                        plan.probePeriod(),
                        MAX_DATAGRAM_BYTES,
                        randomFactory.create(seed),
                        leases,
                        this,
                        MembershipProtocol.InjectedDefect.NONE);
        cellDirectory =
                cellPlan == null
                        ? null
                        : new CellDirectory(
                                cellPlan,
                                null,
                                cell,
                                plan.slotOf(number),
                                name(),
                                plan.name(),
                                startedAtMs,
                                randomFactory.create(~seed),
                                this,
                                CellDirectory.InjectedDefect.NONE);
        engineSubset =
                cellDirectory == null
                        ? null
                        : new EngineSubset<>(
                                cellDirectory, ListedEngine::id, ListedEngine::zone, e -> false);
        datagramChannel = DatagramChannel.open();
        datagramChannel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        datagramChannel.bind(addresses.datagramAddress(plan, number));
        datagramChannel.configureBlocking(false);
        datagramChannel.register(selector, SelectionKey.OP_READ, this);
        connectToCoordinator();
        loadConfiguredEngines();
        nextTick = clock.now();
        nextEvaluation = nextTick;
    }

    /** Sets the usable engines to those of the plan, as a configuration file would name them. */
    private void loadConfiguredEngines() {
        usableEngines = new HashSet<>();
        for (int i = 0; i < plan.engines(); i++) {
            addUsable(List.of(new ListedEngine(i + 1L, plan.zones().get(i % plan.zones().size()))));
        }
    }

    /** Adds those of the engines that this manager's cell may use. */
    private void addUsable(List<ListedEngine> entries) {
        (engineSubset == null ? entries : engineSubset.filter(false, entries))
                .forEach(engine -> usableEngines.add(engine.id));
    }

    private void connectToCoordinator() throws IOException {
        frameDecoder = new FrameDecoder();
        coordinatorChannel = SocketChannel.open();
        coordinatorChannel.configureBlocking(false);
        coordinatorChannel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        coordinatorChannel.connect(addresses.coordinator());
        coordinatorChannel.register(selector, SelectionKey.OP_CONNECT, this);
    }

    /** Stops as a killed process does: closes the sockets and informs no peer. */
    void kill() throws IOException {
        incarnation++;
        if (datagramChannel != null) {
            datagramChannel.close();
            coordinatorChannel.close();
        }
        datagramChannel = null;
    }

    /** Leaves the membership and stops. */
    void leave() throws IOException {
        membership.leave(clock.now());
        kill();
    }

    /** Runs the work that is due. */
    void tick(long now) throws IOException {
        membership.tick(now);
        if (cellDirectory != null) {
            cellDirectory.tick(now);
        }
        if (now >= nextEvaluation) {
            nextEvaluation = now + EVALUATION_INTERVAL;
            for (int band = 0; band < PRIORITY_BANDS; band++) {
                demand.arrivedWork(
                        DemandHistogram.BANDS / 2 + 2 * band,
                        WORK_PER_TICK * EVALUATION_INTERVAL / PRIORITY_BANDS);
            }
            demand.startedWork(WORK_PER_TICK * EVALUATION_INTERVAL);
            fleetCoordinator.evaluate(now, demand);
            if (reconnectDue) {
                reconnectDue = false;
                connectToCoordinator();
            }
        }
    }

    /** Handles a socket of this manager that is ready. */
    void onReady(SelectionKey key) throws IOException {
        if (key.channel() == datagramChannel) {
            receive();
        } else if (key.channel() == coordinatorChannel && key.isConnectable()) {
            try {
                coordinatorChannel.finishConnect();
                coordinatorChannel.write(ByteBuffer.allocate(Long.BYTES).putLong(0, 1));
                key.interestOps(SelectionKey.OP_READ);
            } catch (IOException connectFailed) {
                onCoordinatorLost();
            }
        } else if (key.channel() == coordinatorChannel) {
            try {
                buffer.clear();
                int bytesRead = coordinatorChannel.read(buffer);
                if (bytesRead < 0) {
                    onCoordinatorLost();
                    return;
                }
                listBytesIn += bytesRead;
                frameDecoder.decode(buffer.flip()).stream()
                        .filter(frame -> frame.type() != 0)
                        .forEach(frame -> onEndpointChange(frame.payload()));
            } catch (IOException connectionLost) {
                onCoordinatorLost();
            }
        }
    }

    private void onCoordinatorLost() throws IOException {
        coordinatorChannel.close();
        reconnectDue = true;
    }

    private void onEndpointChange(ByteBuffer payload) {
        for (int record = 0; record + RECORD_BYTES <= payload.remaining(); record += RECORD_BYTES) {
            addUsable(
                    List.of(
                            new ListedEngine(
                                    payload.getInt(record) & 0xFFFFFFFFL,
                                    plan.zones().get(payload.get(record + ZONE_OFFSET)))));
            // Changes from before the start of this incarnation arrive when it connects; their age
            // is not the delay of a change.
            if (payload.getLong(record + STARTED_AT_OFFSET) >= incarnationStartMs) {
                observer.onEndpointListChanged(this, payload.getLong(record + STARTED_AT_OFFSET));
            }
        }
    }

    private void receive() throws IOException {
        for (int i = 0; i < 64 && datagramChannel != null; i++) {
            buffer.clear();
            InetSocketAddress sender = (InetSocketAddress) datagramChannel.receive(buffer);
            if (sender == null) {
                return;
            }
            byte[] bytes = new byte[buffer.flip().remaining()];
            buffer.get(bytes);
            bytesIn += bytes.length;
            Integer slot = slotsByAddress.get(sender);
            if (slot != null) {
                lastSenderSlot = slot;
                membership.onDatagram(clock.now(), slot, bytes);
            } else if (cellDirectory != null) {
                cellDirectory.onDatagram(clock.now(), bytes);
            }
        }
    }

    private void sendDatagram(InetSocketAddress to, int kind, byte[] datagram) {
        bytesOut[kind] += datagram.length;
        datagramsOut++;
        try {
            datagramChannel.send(ByteBuffer.wrap(datagram), to);
        } catch (IOException sendFailed) {
            // As in service, a datagram that cannot be sent is lost.
        }
    }

    @Override
    public void send(int slot, MembershipMessage.Kind kind, byte[] datagram) {
        if (slot != plan.slotOf(number)) {
            sendDatagram(addressesBySlot.get(slot), kind.ordinal(), datagram);
        }
    }

    @Override
    public void send(int cell, int slot, byte[] datagram) {
        sendDatagram(
                addresses.datagramAddress(plan, cell * plan.membershipSize() + slot),
                bytesOut.length - 1,
                datagram);
    }

    @Override
    public void viewChanged(long now, MembershipView view) {
        fleetCoordinator.onViewChanged(view.memberNames());
        if (cellDirectory != null) {
            cellDirectory.onViewChanged(view.memberNames());
        }
        observer.onViewChanged(this, view);
    }

    @Override
    public void logMemberEvent(long now, String event, String member, String reason) {
        // The observer receives views, not events of members.
    }

    @Override
    public void logCellEvent(long now, String event, String cell, String reason) {
        if (event.equals("silent") || event.equals("heard again")) {
            observer.onCellEvent(this, event, cell);
        }
    }

    @Override
    public byte[] outgoingDigest(long now) {
        byte[] fleetDigest = fleetCoordinator.encodeDigest(now);
        return cellDirectory == null ? fleetDigest : cellDirectory.encodeDigest(fleetDigest);
    }

    @Override
    public void digestReceived(long now, String sender, byte[] digest) {
        fleetCoordinator.onDigest(
                now,
                sender,
                cellDirectory == null
                        ? digest
                        : cellDirectory.onDigest(now, lastSenderSlot, digest));
    }

    @Override
    public void onEnginesReleased(long now) {
        engineSubset.takeReleased().forEach(engine -> usableEngines.add(engine.id));
    }

    @Override
    public int sheddingThreshold() {
        return fleetCoordinator.sheddingThreshold();
    }
}
