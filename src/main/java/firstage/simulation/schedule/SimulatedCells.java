package firstage.simulation.schedule;

import firstage.cells.CellActions;
import firstage.cells.CellDirectory;
import firstage.cells.CellPlan;
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
import firstage.simulation.EventQueue;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.IntStream;

/**
 * A fleet of managers in virtual time, with or without cells, and without clients and engines. Each
 * manager runs the production code of membership, quota leases, load shedding, engine probes, zone
 * failover and cells. Datagrams between managers are delayed, lost and blocked. All measured
 * figures are simulated. Times are ticks.
 */
public final class SimulatedCells {
    /** Time between two membership probes of a manager. */
    public static final long PROBE_PERIOD = 2_000;

    private static final long START = 1_000_000;
    private static final long EVALUATION_INTERVAL = 1_000;
    private static final int MAX_DATAGRAM_BYTES = 1_200;
    private static final long LATENCY_OBJECTIVE = 10_000;
    private static final long WARM_UP = 130_000;

    /**
     * Number of priority bands with demand. Together with {@link #WORK_PER_TICK} it gives the
     * demand of a manager that serves 462 requests per second, so that its digests are as long as
     * in production.
     */
    private static final int PRIORITY_BANDS = 4;

    private static final double WORK_PER_TICK = 460;
    private static final RandomGeneratorFactory<RandomGenerator> RANDOM_FACTORY =
            RandomGeneratorFactory.of("L64X128MixRandom");

    /**
     * Size and settings of a simulated fleet.
     *
     * @param managers number of managers
     * @param cellSize managers per cell; 0 for a fleet without cells
     * @param zones number of zones, to which the cells are assigned in turn
     * @param spread number of cells that serve each engine
     * @param withFleetControl whether membership messages carry the digests of load shedding,
     *     engine probes and zones
     * @param tickInterval ticks between two periodic runs of a manager's protocols
     * @param defect defect of the cell directories
     */
    public record FleetShape(
            int managers,
            int cellSize,
            int zones,
            int spread,
            boolean withFleetControl,
            long tickInterval,
            CellDirectory.InjectedDefect defect) {
        /** Returns the number of cells; 1 for a fleet without cells. */
        public int cellCount() {
            return cellSize == 0 ? 1 : managers / cellSize;
        }
    }

    /** Kinds of messages that a manager sends; figures carry these names in lower case. */
    public enum MessageKind {
        PING,
        ACK,
        PING_REQUEST,
        INDIRECT_ACK,
        SYNC,
        SYNC_REPLY,
        ROWS
    }

    /** A host that runs the processes of one manager, one after another. */
    public final class ManagerHost implements MembershipActions, CellActions {
        private final int number;
        private final int cell;
        private final int slot;
        private MembershipProtocol membership;
        private QuotaLeases leases;
        private CellDirectory cellDirectory;
        private FleetCoordinator coordinator;
        private final DemandHistogram demand = new DemandHistogram();
        private CellPlan currentPlan;
        private boolean up;
        private boolean mayHaveWithdrawnBefore;
        private int incarnation;
        private int lastSenderSlot;
        private final long[] bytesSent = new long[MessageKind.values().length];
        private final long[] datagramsSent = new long[MessageKind.values().length];

        private ManagerHost(int number) {
            this.number = number;
            cell = shape.cellSize == 0 ? 0 : number / shape.cellSize;
            slot = shape.cellSize == 0 ? number : number % shape.cellSize;
            currentPlan = plan;
        }

        public int cell() {
            return cell;
        }

        public boolean up() {
            return up;
        }

        public MembershipProtocol membership() {
            return membership;
        }

        /** Returns the cell directory; null in a fleet without cells. */
        public CellDirectory cellDirectory() {
            return cellDirectory;
        }

        public double share() {
            return leases.share(events.now());
        }

        public long bytesSent() {
            long sum = 0;
            for (long count : bytesSent) {
                sum += count;
            }
            return sum;
        }

        /**
         * Starts the manager. If {@code nextPlan} has a higher number than the current plan, the
         * manager treats the current one as the previous plan.
         */
        public void start(CellPlan nextPlan) {
            up = true;
            int startedIncarnation = ++incarnation;
            int peers = shape.cellSize == 0 ? hosts.size() : shape.cellSize;
            leases =
                    new QuotaLeases(
                            peers,
                            shape.cellSize == 0 ? 1.0 / peers : nextPlan.sharePerManager(cell),
                            PROBE_PERIOD,
                            mayHaveWithdrawnBefore,
                            () -> {
                                mayHaveWithdrawnBefore = true;
                                events.schedule(
                                        50,
                                        () -> {
                                            if (incarnation == startedIncarnation) {
                                                leases.onWithdrawalMarkStored();
                                            }
                                        });
                            },
                            QuotaLeases.InjectedDefect.NONE);
            membership =
                    new MembershipProtocol(
                            "field",
                            new Member(
                                    managerName(number),
                                    zone(cell),
                                    events.now() + 1,
                                    MemberState.ALIVE,
                                    "1",
                                    1),
                            peers,
                            PROBE_PERIOD,
                            MAX_DATAGRAM_BYTES,
                            RANDOM_FACTORY.create(random.nextLong()),
                            leases,
                            this,
                            MembershipProtocol.InjectedDefect.NONE);
            CellPlan previousPlan = nextPlan.number() > currentPlan.number() ? currentPlan : null;
            cellDirectory =
                    shape.cellSize == 0
                            ? null
                            : new CellDirectory(
                                    nextPlan,
                                    previousPlan,
                                    cell,
                                    slot,
                                    managerName(number),
                                    "field",
                                    events.now() / 10,
                                    RANDOM_FACTORY.create(random.nextLong()),
                                    this,
                                    shape.defect);
            currentPlan = nextPlan;
            coordinator =
                    shape.withFleetControl
                            ? new FleetCoordinator(
                                    managerName(number),
                                    cell % shape.zones,
                                    shape.zones,
                                    LATENCY_OBJECTIVE,
                                    WARM_UP,
                                    PROBE_PERIOD,
                                    new ZoneActions() {
                                        @Override
                                        public void setAvoided(
                                                long engine, boolean avoided, boolean backoffOver) {
                                            // The simulation has no engines.
                                        }

                                        @Override
                                        public void logZoneState(int zone, String state) {
                                            // Zone states are not evaluated.
                                        }
                                    },
                                    (now, band, part) -> {},
                                    FleetCoordinator.InjectedDefects.NONE)
                            : null;
            tick(startedIncarnation);
            evaluate(startedIncarnation);
        }

        public void start() {
            start(currentPlan);
        }

        public void kill() {
            up = false;
            incarnation++;
        }

        /** Leaves the fleet in an orderly shutdown. */
        public void leave() {
            membership.leave(events.now());
            kill();
        }

        private void tick(int startedIncarnation) {
            if (incarnation == startedIncarnation) {
                membership.tick(events.now());
                if (cellDirectory != null) {
                    cellDirectory.tick(events.now());
                }
                events.schedule(
                        shape.tickInterval + random.nextInt(20), () -> tick(startedIncarnation));
            }
        }

        private void evaluate(int startedIncarnation) {
            if (incarnation == startedIncarnation && coordinator != null) {
                for (int band = 0; band < PRIORITY_BANDS; band++) {
                    demand.arrivedWork(
                            DemandHistogram.BANDS / 2 + 2 * band,
                            WORK_PER_TICK * EVALUATION_INTERVAL / PRIORITY_BANDS);
                }
                demand.startedWork(WORK_PER_TICK * EVALUATION_INTERVAL);
                coordinator.evaluate(events.now(), demand);
                events.schedule(EVALUATION_INTERVAL, () -> evaluate(startedIncarnation));
            }
        }

        private void countSent(MessageKind kind, byte[] datagram) {
            bytesSent[kind.ordinal()] += datagram.length;
            datagramsSent[kind.ordinal()]++;
        }

        @Override
        public void send(int targetSlot, MembershipMessage.Kind kind, byte[] datagram) {
            countSent(MessageKind.valueOf(kind.name()), datagram);
            int target = shape.cellSize == 0 ? targetSlot : cell * shape.cellSize + targetSlot;
            int senderSlot = slot;
            deliver(
                    target,
                    () -> {
                        ManagerHost targetHost = hosts.get(target);
                        targetHost.lastSenderSlot = senderSlot;
                        targetHost.membership.onDatagram(events.now(), senderSlot, datagram);
                    });
        }

        @Override
        public void send(int toCell, int toSlot, byte[] datagram) {
            countSent(MessageKind.ROWS, datagram);
            int target = toCell * shape.cellSize + toSlot;
            if (target < hosts.size()) {
                deliver(
                        target,
                        () -> hosts.get(target).cellDirectory.onDatagram(events.now(), datagram));
            }
        }

        private void deliver(int target, Runnable arrival) {
            ManagerHost targetHost = hosts.get(target);
            if (target != number
                    && !(partitioned && partitionSide.test(number) != partitionSide.test(target))
                    && random.nextDouble() >= lossProbability) {
                events.schedule(
                        2 + random.nextInt(18),
                        () -> {
                            if (targetHost.up) {
                                arrival.run();
                            }
                        });
            }
        }

        @Override
        public void viewChanged(long now, MembershipView view) {
            if (cellDirectory != null) {
                cellDirectory.onViewChanged(view.memberNames());
            }
            if (coordinator != null) {
                coordinator.onViewChanged(view.memberNames());
            }
        }

        @Override
        public void logMemberEvent(long now, String event, String member, String reason) {
            // Not logged: callers query the state of the membership.
        }

        @Override
        public void logCellEvent(long now, String event, String cell, String reason) {
            // Not logged: callers query the state of the cell directory.
        }

        @Override
        public byte[] outgoingDigest(long now) {
            byte[] coordinatorDigest =
                    coordinator == null ? new byte[0] : coordinator.encodeDigest(now);
            return cellDirectory == null
                    ? coordinatorDigest
                    : cellDirectory.encodeDigest(coordinatorDigest);
        }

        @Override
        public void digestReceived(long now, String member, byte[] digest) {
            byte[] coordinatorDigest =
                    cellDirectory == null
                            ? digest
                            : cellDirectory.onDigest(now, lastSenderSlot, digest);
            if (coordinator != null) {
                coordinator.onDigest(now, member, coordinatorDigest);
            }
        }

        @Override
        public void onEnginesReleased(long now) {
            // Not recorded: callers query the cell directory.
        }

        @Override
        public int sheddingThreshold() {
            return coordinator == null ? 0 : coordinator.sheddingThreshold();
        }
    }

    private final EventQueue events = new EventQueue(START);
    private final RandomGenerator random;
    private final FleetShape shape;
    private final CellPlan plan;
    private final List<ManagerHost> hosts = new ArrayList<>();
    private double lossProbability;
    private boolean partitioned;
    private IntPredicate partitionSide = host -> false;

    public SimulatedCells(FleetShape shape, long seed) {
        this.shape = shape;
        random = RANDOM_FACTORY.create(seed);
        plan =
                shape.cellSize == 0
                        ? new CellPlan(1, 1, List.of())
                        : plan(1, shape.spread, shape.cellCount(), shape.zones, shape.cellSize);
        for (int host = 0; host < shape.managers; host++) {
            hosts.add(new ManagerHost(host));
        }
    }

    /**
     * Returns a plan of {@code cells} cells with {@code slots} slots each, assigned to {@code
     * zones} zones in turn.
     */
    public static CellPlan plan(int number, int spread, int cells, int zones, int slots) {
        return new CellPlan(
                number,
                spread,
                IntStream.range(0, cells)
                        .mapToObj(
                                cell ->
                                        new CellPlan.Cell(
                                                "c" + cell, "z" + cell % zones, slots, true))
                        .toList());
    }

    private String zone(int cell) {
        return "z" + cell % shape.zones;
    }

    public static String managerName(int number) {
        return "m" + number;
    }

    public List<ManagerHost> hosts() {
        return hosts;
    }

    public EventQueue events() {
        return events;
    }

    public RandomGenerator random() {
        return random;
    }

    public void setLossProbability(double probability) {
        lossProbability = probability;
    }

    /**
     * Sets or heals a partition: while {@code partition} is true, no datagram passes between the
     * hosts that match {@code inPartition} and the other hosts.
     */
    public void setPartition(IntPredicate inPartition, boolean partition) {
        partitionSide = inPartition;
        partitioned = partition;
    }

    public void advance(long length) {
        events.runUntil(events.now() + length);
    }

    /**
     * Starts all managers at random times within {@code duration} ticks, and does not wait for them
     * to agree on a view.
     */
    public void start(long duration) {
        for (ManagerHost host : hosts) {
            events.schedule(random.nextLong(duration), host::start);
        }
        advance(duration);
    }

    /**
     * Returns the number of cells whose running managers all hold the same view, with exactly these
     * managers in it.
     */
    public int countAgreedCells() {
        int size = shape.cellSize == 0 ? hosts.size() : shape.cellSize;
        int agreed = 0;
        for (int cell = 0; cell < shape.cellCount(); cell++) {
            agreed += isAgreed(hosts.subList(cell * size, (cell + 1) * size)) ? 1 : 0;
        }
        return agreed;
    }

    private static boolean isAgreed(List<ManagerHost> cell) {
        int up = 0;
        MembershipView firstView = null;
        for (ManagerHost host : cell) {
            if (host.up) {
                up++;
                MembershipView view = host.membership.view();
                firstView = firstView == null ? view : firstView;
                if (view.hash() != firstView.hash()) {
                    return false;
                }
            }
        }
        Set<String> names = firstView == null ? Set.of() : new HashSet<>(firstView.memberNames());
        return names.size() == up
                && cell.stream()
                        .allMatch(host -> host.up == names.contains(managerName(host.number)));
    }

    /**
     * Runs until all cells agree on their views.
     *
     * @return the ticks that this took, in steps of 0.1 s; -1 if it took more than {@code limit}
     */
    public long timeUntilAgreed(long limit) {
        for (long elapsed = 0; elapsed <= limit; elapsed += 1_000) {
            if (countAgreedCells() == shape.cellCount()) {
                return elapsed;
            }
            advance(1_000);
        }
        return -1;
    }

    /**
     * Runs until the views of all running managers in the cell of {@code killed} no longer contain
     * it.
     *
     * @return for each of these managers, the ticks that this took, in steps of 10 ms; -1 if it
     *     took more than {@code limit}
     */
    public List<Long> timesUntilRemoved(int killed, long limit) {
        List<ManagerHost> peers =
                hosts.stream()
                        .filter(host -> host.up && host.cell == hosts.get(killed).cell)
                        .toList();
        long[] times = new long[peers.size()];
        Arrays.fill(times, -1);
        int remaining = peers.size();
        for (long elapsed = 0; elapsed <= limit && remaining > 0; elapsed += 100) {
            for (int i = 0; i < times.length; i++) {
                if (times[i] < 0
                        && !peers.get(i)
                                .membership
                                .view()
                                .memberNames()
                                .contains(managerName(killed))) {
                    times[i] = elapsed;
                    remaining--;
                }
            }
            advance(100);
        }
        return Arrays.stream(times).boxed().toList();
    }

    /**
     * Returns the fraction of the running managers' slices that is in force: 1 if each of them uses
     * its whole slice.
     */
    public double quotaFractionInForce() {
        double sum = 0;
        int up = 0;
        for (ManagerHost host : hosts) {
            if (host.up) {
                up++;
                sum +=
                        host.share()
                                / (shape.cellSize == 0
                                        ? 1.0 / hosts.size()
                                        : plan.sharePerManager(host.cell));
            }
        }
        return up == 0 ? 0 : sum / up;
    }

    /** Returns the bytes sent so far by all managers, by kind of message. */
    public Map<MessageKind, Long> bytesByKind() {
        Map<MessageKind, Long> bytesSent = new EnumMap<>(MessageKind.class);
        for (MessageKind kind : MessageKind.values()) {
            bytesSent.put(
                    kind, hosts.stream().mapToLong(host -> host.bytesSent[kind.ordinal()]).sum());
        }
        return bytesSent;
    }

    /** Returns the number of datagrams sent so far by all managers. */
    public long sentDatagramCount() {
        return hosts.stream().mapToLong(host -> Arrays.stream(host.datagramsSent).sum()).sum();
    }
}
