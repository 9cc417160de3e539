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
 * A fleet's control in virtual time, without clients and engines: the membership, leases, level,
 * trials, zones and cells of each manager as they are, their datagrams delayed, lost and cut. Every
 * figure of it is simulated. It plays a fleet in cells, and the same fleet as one. Times are tenths
 * of a millisecond.
 */
public final class SimulatedCells {
    /** Between two probes of one manager. */
    public static final long PERIOD = 2_000;

    private static final long START = 1_000_000;
    private static final long LOOK = 1_000;
    private static final int MOST = 1_200;
    private static final long GOAL = 10_000;
    private static final long WARM = 130_000;

    /**
     * Rates of a manager that serves 462 batches a second in four bands of worth: rows as long as
     * in service.
     */
    private static final int BANDS = 4;

    private static final double WORK = 460;
    private static final RandomGeneratorFactory<RandomGenerator> CHANCES =
            RandomGeneratorFactory.of("L64X128MixRandom");

    /**
     * {@code cell}: managers in one, 0 for a fleet that is one; {@code zones}: cells lie in them by
     * turns; {@code rooms}: whether the level's and the trials' words ride along; {@code tick}:
     * between two looks.
     */
    public record Shape(
            int managers,
            int cell,
            int zones,
            int spread,
            boolean rooms,
            long tick,
            CellDirectory.InjectedDefect fault) {
        /** How many cells there are. */
        public int cells() {
            return cell == 0 ? 1 : managers / cell;
        }
    }

    /** What one manager sent, by kind of message. */
    public enum Kind {
        PING,
        ACK,
        PING_REQUEST,
        INDIRECT_ACK,
        SYNC,
        SYNC_REPLY,
        ROWS
    }

    /** One place at which a manager runs, one life after another. */
    public final class Place implements MembershipActions, CellActions {
        private final int number;
        private final int cell;
        private final int slot;
        private MembershipProtocol members;
        private QuotaLeases leases;
        private CellDirectory cells;
        private FleetCoordinator together;
        private final DemandHistogram demand = new DemandHistogram();
        private CellPlan holds;
        private boolean up;
        private boolean lentBefore;
        private int life;
        private int from;
        private final long[] bytes = new long[Kind.values().length];
        private final long[] datagrams = new long[Kind.values().length];

        private Place(int number) {
            this.number = number;
            cell = shape.cell == 0 ? 0 : number / shape.cell;
            slot = shape.cell == 0 ? number : number % shape.cell;
            holds = plan;
        }

        public int cell() {
            return cell;
        }

        public boolean up() {
            return up;
        }

        public MembershipProtocol members() {
            return members;
        }

        /** Null in a fleet that is one. */
        public CellDirectory cells() {
            return cells;
        }

        public double share() {
            return leases.share(calendar.now());
        }

        public long bytes() {
            long sum = 0;
            for (long b : bytes) {
                sum += b;
            }
            return sum;
        }

        /** Starts it; with another plan, the one that it held is the one before. */
        public void start(CellPlan next) {
            up = true;
            int mine = ++life;
            int peers = shape.cell == 0 ? places.size() : shape.cell;
            leases =
                    new QuotaLeases(
                            peers,
                            shape.cell == 0 ? 1.0 / peers : next.share(cell),
                            PERIOD,
                            lentBefore,
                            () -> {
                                lentBefore = true;
                                calendar.in(
                                        50,
                                        () -> {
                                            if (life == mine) {
                                                leases.onWithdrawalMarkStored();
                                            }
                                        });
                            },
                            QuotaLeases.InjectedDefect.NONE);
            members =
                    new MembershipProtocol(
                            "field",
                            new Member(
                                    name(number),
                                    zone(cell),
                                    calendar.now() + 1,
                                    MemberState.ALIVE,
                                    "1",
                                    1),
                            peers,
                            PERIOD,
                            MOST,
                            CHANCES.create(chance.nextLong()),
                            leases,
                            this,
                            MembershipProtocol.InjectedDefect.NONE);
            CellPlan was = next.number() > holds.number() ? holds : null;
            cells =
                    shape.cell == 0
                            ? null
                            : new CellDirectory(
                                    next,
                                    was,
                                    cell,
                                    slot,
                                    name(number),
                                    "field",
                                    calendar.now() / 10,
                                    CHANCES.create(chance.nextLong()),
                                    this,
                                    shape.fault);
            holds = next;
            together =
                    shape.rooms
                            ? new FleetCoordinator(
                                    name(number),
                                    cell % shape.zones,
                                    shape.zones,
                                    GOAL,
                                    WARM,
                                    PERIOD,
                                    new ZoneActions() {
                                        @Override
                                        public void setAvoided(
                                                long engine, boolean away, boolean restIsOver) {
                                            // No engines stand behind it.
                                        }

                                        @Override
                                        public void logZoneState(int zone, String state) {
                                            // The same.
                                        }
                                    },
                                    (now, band, part) -> {},
                                    FleetCoordinator.InjectedDefects.NONE)
                            : null;
            tick(mine);
            look(mine);
        }

        public void start() {
            start(holds);
        }

        public void kill() {
            up = false;
            life++;
        }

        /** It ends by intent. */
        public void leave() {
            members.leave(calendar.now());
            kill();
        }

        private void tick(int mine) {
            if (life == mine) {
                members.tick(calendar.now());
                if (cells != null) {
                    cells.tick(calendar.now());
                }
                calendar.in(shape.tick + chance.nextInt(20), () -> tick(mine));
            }
        }

        private void look(int mine) {
            if (life == mine && together != null) {
                for (int b = 0; b < BANDS; b++) {
                    demand.arrivedWork(DemandHistogram.BANDS / 2 + 2 * b, WORK * LOOK / BANDS);
                }
                demand.startedWork(WORK * LOOK);
                together.evaluate(calendar.now(), demand);
                calendar.in(LOOK, () -> look(mine));
            }
        }

        private void counted(Kind kind, byte[] datagram) {
            bytes[kind.ordinal()] += datagram.length;
            datagrams[kind.ordinal()]++;
        }

        @Override
        public void send(int seed, MembershipMessage.Kind kind, byte[] datagram) {
            counted(Kind.valueOf(kind.name()), datagram);
            int to = shape.cell == 0 ? seed : cell * shape.cell + seed;
            int seat = slot;
            pass(
                    to,
                    () -> {
                        Place there = places.get(to);
                        there.from = seat;
                        there.members.onDatagram(calendar.now(), seat, datagram);
                    });
        }

        @Override
        public void send(int toCell, int toSlot, byte[] datagram) {
            counted(Kind.ROWS, datagram);
            int to = toCell * shape.cell + toSlot;
            if (to < places.size()) {
                pass(to, () -> places.get(to).cells.onDatagram(calendar.now(), datagram));
            }
        }

        private void pass(int to, Runnable arrives) {
            Place there = places.get(to);
            if (to != number
                    && !(apart && side.test(number) != side.test(to))
                    && chance.nextDouble() >= loss) {
                calendar.in(
                        2 + chance.nextInt(18),
                        () -> {
                            if (there.up) {
                                arrives.run();
                            }
                        });
            }
        }

        @Override
        public void viewChanged(long now, MembershipView view) {
            if (cells != null) {
                cells.onViewChanged(view.memberNames());
            }
            if (together != null) {
                together.onViewChanged(view.memberNames());
            }
        }

        @Override
        public void logMemberEvent(long now, String what, String who, String why) {
            // Told to nobody: what is wanted of it is asked for.
        }

        @Override
        public void logCellEvent(long now, String what, String cell, String why) {
            // The same.
        }

        @Override
        public byte[] outgoingDigest(long now) {
            byte[] rest = together == null ? new byte[0] : together.encodeDigest(now);
            return cells == null ? rest : cells.encodeDigest(rest);
        }

        @Override
        public void digestReceived(long now, String who, byte[] digest) {
            byte[] rest = cells == null ? digest : cells.onDigest(now, from, digest);
            if (together != null) {
                together.onDigest(now, who, rest);
            }
        }

        @Override
        public void enginesReleased(long now) {
            // Asked for by those who look.
        }

        @Override
        public int sheddingThreshold() {
            return together == null ? 0 : together.sheddingThreshold();
        }
    }

    private final EventQueue calendar = new EventQueue(START);
    private final RandomGenerator chance;
    private final Shape shape;
    private final CellPlan plan;
    private final List<Place> places = new ArrayList<>();
    private double loss;
    private boolean apart;
    private IntPredicate side = p -> false;

    public SimulatedCells(Shape shape, long seed) {
        this.shape = shape;
        chance = CHANCES.create(seed);
        plan =
                shape.cell == 0
                        ? new CellPlan(1, 1, List.of())
                        : plan(1, shape.spread, shape.cells(), shape.zones, shape.cell);
        for (int p = 0; p < shape.managers; p++) {
            places.add(new Place(p));
        }
    }

    /** So many cells of so many slots, by turns in the zones. */
    public static CellPlan plan(int number, int spread, int cells, int zones, int slots) {
        return new CellPlan(
                number,
                spread,
                IntStream.range(0, cells)
                        .mapToObj(c -> new CellPlan.Cell("c" + c, "z" + c % zones, slots, true))
                        .toList());
    }

    private String zone(int cell) {
        return "z" + cell % shape.zones;
    }

    public static String name(int place) {
        return "m" + place;
    }

    public List<Place> places() {
        return places;
    }

    public EventQueue calendar() {
        return calendar;
    }

    public RandomGenerator chance() {
        return chance;
    }

    public void loses(double share) {
        loss = share;
    }

    /** Nothing passes between those on this side and the others, or all does again. */
    public void cut(IntPredicate one, boolean is) {
        side = one;
        apart = is;
    }

    public void pass(long time) {
        calendar.play(calendar.now() + time);
    }

    /** All are started within this; none is waited for. */
    public void start(long within) {
        for (Place p : places) {
            calendar.in(chance.nextLong(within), p::start);
        }
        pass(within);
    }

    /** How many cells hold one view of just those that are up. */
    public int agreed() {
        int size = shape.cell == 0 ? places.size() : shape.cell;
        int agreed = 0;
        for (int c = 0; c < shape.cells(); c++) {
            agreed += agreed(places.subList(c * size, (c + 1) * size)) ? 1 : 0;
        }
        return agreed;
    }

    private static boolean agreed(List<Place> cell) {
        int up = 0;
        MembershipView one = null;
        for (Place p : cell) {
            if (p.up) {
                up++;
                MembershipView v = p.members.view();
                one = one == null ? v : one;
                if (v.hash() != one.hash()) {
                    return false;
                }
            }
        }
        Set<String> names = one == null ? Set.of() : new HashSet<>(one.memberNames());
        return names.size() == up
                && cell.stream().allMatch(p -> p.up == names.contains(name(p.number)));
    }

    /** Tenths of a millisecond until all cells agree, in steps of 0.1 s; -1 if not within this. */
    public long untilAgreed(long most) {
        for (long t = 0; t <= most; t += 1_000) {
            if (agreed() == shape.cells()) {
                return t;
            }
            pass(1_000);
        }
        return -1;
    }

    /**
     * For each in whose view this one was, tenths of a millisecond until it is out of it; -1 for
     * not within this.
     */
    public List<Long> untilOut(int killed, long most) {
        List<Place> to =
                places.stream().filter(p -> p.up && p.cell == places.get(killed).cell).toList();
        long[] known = new long[to.size()];
        Arrays.fill(known, -1);
        int left = to.size();
        for (long t = 0; t <= most && left > 0; t += 100) {
            for (int i = 0; i < known.length; i++) {
                if (known[i] < 0
                        && !to.get(i).members.view().memberNames().contains(name(killed))) {
                    known[i] = t;
                    left--;
                }
            }
            pass(100);
        }
        return Arrays.stream(known).boxed().toList();
    }

    /** The part of the slices in force: 1 where each manager that is up uses its whole own. */
    public double inForce() {
        double sum = 0;
        int up = 0;
        for (Place p : places) {
            if (p.up) {
                up++;
                sum += p.share() / (shape.cell == 0 ? 1.0 / places.size() : plan.share(p.cell));
            }
        }
        return up == 0 ? 0 : sum / up;
    }

    /** Bytes that each kind of message took so far, over all managers. */
    public Map<Kind, Long> bytes() {
        Map<Kind, Long> sums = new EnumMap<>(Kind.class);
        for (Kind k : Kind.values()) {
            sums.put(k, places.stream().mapToLong(p -> p.bytes[k.ordinal()]).sum());
        }
        return sums;
    }

    /** Datagrams so far, over all managers. */
    public long datagrams() {
        return places.stream().mapToLong(p -> Arrays.stream(p.datagrams).sum()).sum();
    }
}
