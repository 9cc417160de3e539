package firstage.simulation.schedule;

import firstage.membership.Member;
import firstage.membership.MemberState;
import firstage.membership.MembershipActions;
import firstage.membership.MembershipMessage;
import firstage.membership.MembershipProtocol;
import firstage.membership.MembershipView;
import firstage.membership.QuotaLeases;
import firstage.simulation.EventQueue;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Managers' membership in virtual time: the modules as they are, their datagrams lost, delayed and
 * cut by a plan. Every figure of it is simulated. Times are tenths of a millisecond.
 */
public final class SimulatedMembership {
    public static final long PERIOD = 2_000;
    private static final long START = 1_000_000;
    private static final long TICK = 200;
    private static final int MOST = 1_200;

    /** One place at which a manager runs, one life after another. */
    public final class Place implements MembershipActions {
        private final int number;
        private MembershipProtocol members;
        private QuotaLeases leases;
        private boolean up;
        private boolean lentBefore;
        private long pausedUntil;
        private final List<Runnable> waiting = new ArrayList<>();
        private int life;
        private int views;
        private long bytes;

        private Place(int number) {
            this.number = number;
        }

        public MembershipProtocol members() {
            return members;
        }

        public int views() {
            return views;
        }

        public long bytes() {
            return bytes;
        }

        public double share() {
            return leases.share(calendar.now());
        }

        /** Starts it with nothing but its name and its seeds. */
        public void start() {
            up = true;
            int mine = ++life;
            leases =
                    new QuotaLeases(
                            places.size(),
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
                            leaseFault);
            members =
                    new MembershipProtocol(
                            "field",
                            new Member(
                                    "m" + number,
                                    "z" + number % 2,
                                    calendar.now() + 1,
                                    MemberState.ALIVE,
                                    "1",
                                    1),
                            places.size(),
                            PERIOD,
                            MOST,
                            CHANCES.create(chance.nextLong()),
                            leases,
                            this,
                            fault);
            tick(mine);
        }

        public void kill() {
            up = false;
            life++;
            waiting.clear();
        }

        /** Stopped for so long; what comes waits for it. */
        public void pause(long length) {
            pausedUntil = calendar.now() + length;
            int mine = life;
            calendar.in(
                    length,
                    () -> {
                        if (life == mine) {
                            tickOnce();
                            List<Runnable> all = List.copyOf(waiting);
                            waiting.clear();
                            all.forEach(Runnable::run);
                        }
                    });
        }

        private void tick(int mine) {
            if (life != mine) {
                return;
            }
            if (calendar.now() >= pausedUntil) {
                tickOnce();
            }
            calendar.in(TICK + chance.nextInt(20), () -> tick(mine));
        }

        private void tickOnce() {
            members.tick(calendar.now());
        }

        private void receives(int from, byte[] datagram) {
            if (!up) {
                return;
            }
            int mine = life;
            Runnable reads =
                    () -> {
                        if (life == mine) {
                            members.onDatagram(calendar.now(), from, datagram);
                        }
                    };
            if (calendar.now() < pausedUntil) {
                waiting.add(reads);
            } else {
                reads.run();
            }
        }

        @Override
        public void send(int seed, MembershipMessage.Kind kind, byte[] datagram) {
            bytes += datagram.length;
            int from = number;
            if (seed != number && !cut[from][seed] && chance.nextDouble() >= loss) {
                int copies = chance.nextDouble() < doubled ? 2 : 1;
                for (int i = 0; i < copies; i++) {
                    calendar.in(
                            2 + chance.nextInt(18),
                            () -> places.get(seed).receives(from, datagram));
                }
            }
        }

        @Override
        public void viewChanged(long now, MembershipView view) {
            views++;
            changes.add("m" + number + " " + view.number() + " " + view.memberNames().size());
        }

        @Override
        public void logMemberEvent(long now, String what, String who, String why) {
            if (what.equals("dead")) {
                int whom = Integer.parseInt(who.substring(1));
                if (places.get(whom).up) {
                    falselyGone.add(
                            now / 10 + " ms: m" + number + " holds m" + whom + " for dead: " + why);
                }
            }
        }

        @Override
        public byte[] outgoingDigest(long now) {
            return new byte[0];
        }

        @Override
        public void digestReceived(long now, String from, byte[] digest) {
            // The field has no rooms above.
        }
    }

    private static final RandomGeneratorFactory<RandomGenerator> CHANCES =
            RandomGeneratorFactory.of("L64X128MixRandom");
    private final EventQueue calendar = new EventQueue(START);
    private final RandomGenerator chance;
    private final MembershipProtocol.InjectedDefect fault;
    private final QuotaLeases.InjectedDefect leaseFault;
    private final List<Place> places = new ArrayList<>();
    private final boolean[][] cut;
    private final List<String> falselyGone = new ArrayList<>();
    private final List<String> changes = new ArrayList<>();
    private double loss;
    private double doubled;

    public SimulatedMembership(
            int count,
            long seed,
            MembershipProtocol.InjectedDefect fault,
            QuotaLeases.InjectedDefect leaseFault) {
        chance = CHANCES.create(seed);
        this.fault = fault;
        this.leaseFault = leaseFault;
        cut = new boolean[count][count];
        for (int i = 0; i < count; i++) {
            places.add(new Place(i));
        }
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

    /**
     * Starts all within a second, and plays until they know each other; how long that took, or -1.
     */
    public long startAll() {
        for (Place p : places) {
            calendar.in(chance.nextInt(10_000), p::start);
        }
        pass(10_000);
        return untilAgreed(600_000);
    }

    public void loses(double share) {
        loss = share;
    }

    public void doubles(double share) {
        doubled = share;
    }

    /** Nothing passes from the one to the other, or it does again. */
    public void cut(int from, int to, boolean is) {
        cut[from][to] = is;
    }

    public void pass(long time) {
        calendar.play(calendar.now() + time);
    }

    /** Whether all that are up hold the same view, of just them. */
    public boolean agreed() {
        Set<String> up = new HashSet<>();
        places.stream().filter(p -> p.up).forEach(p -> up.add("m" + p.number));
        MembershipView one = null;
        for (Place p : places) {
            if (p.up) {
                MembershipView v = p.members.view();
                one = one == null ? v : one;
                if (v.hash() != one.hash()
                        || v.number() != one.number()
                        || !up.equals(Set.copyOf(v.memberNames()))) {
                    return false;
                }
            }
        }
        return true;
    }

    /**
     * Tenths of a millisecond until they agree, in steps of 10 ms; -1 if they do not within this.
     */
    public long untilAgreed(long most) {
        for (long t = 0; t <= most; t += 100) {
            if (agreed()) {
                return t;
            }
            pass(100);
        }
        return -1;
    }

    /**
     * Until each that is up has this one out of its view; by each, tenths of a millisecond; -1 for
     * never.
     */
    public List<Long> untilKnown(int gone, long most) {
        TreeMap<Integer, Long> known = new TreeMap<>();
        for (long t = 0;
                t <= most && known.size() < places.stream().filter(p -> p.up).count();
                t += 100) {
            for (Place p : places) {
                if (p.up
                        && p.members.members().stream()
                                .anyMatch(
                                        e ->
                                                e.name().equals("m" + gone)
                                                        && e.state() != MemberState.ALIVE)) {
                    known.putIfAbsent(p.number, t);
                }
            }
            pass(100);
        }
        places.stream().filter(p -> p.up).forEach(p -> known.putIfAbsent(p.number, -1L));
        return List.copyOf(known.values());
    }

    /** Live managers that were held for dead: when, by whom. */
    public List<String> falselyGone() {
        return falselyGone;
    }

    /** All changes of views since the last asking. */
    public List<String> changes() {
        List<String> all = List.copyOf(changes);
        changes.clear();
        return all;
    }

    public double shares() {
        return places.stream().filter(p -> p.up).mapToDouble(Place::share).sum();
    }
}
