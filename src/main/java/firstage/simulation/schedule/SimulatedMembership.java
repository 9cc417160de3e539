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
 * Membership of a fleet of managers in virtual time: the production protocol and quota leases, with
 * datagrams that are lost, delayed, duplicated and blocked. All measured figures are simulated.
 * Times are ticks.
 */
public final class SimulatedMembership {
    public static final long PROBE_PERIOD = 2_000;
    private static final long START = 1_000_000;
    private static final long TICK_INTERVAL = 200;
    private static final int MAX_DATAGRAM_BYTES = 1_200;

    /** A host that runs the processes of one manager, one after another. */
    public final class ManagerHost implements MembershipActions {
        private final int number;
        private String name;
        private MembershipProtocol membership;
        private QuotaLeases leases;
        private boolean up;
        private boolean mayHaveWithdrawnBefore;
        private long pausedUntil;
        private final List<Runnable> waitingDatagrams = new ArrayList<>();
        private int incarnation;
        private int viewChangeCount;
        private long bytesSent;

        private ManagerHost(int number) {
            this.number = number;
            name = "m" + number;
        }

        public MembershipProtocol membership() {
            return membership;
        }

        public int viewChangeCount() {
            return viewChangeCount;
        }

        public long bytesSent() {
            return bytesSent;
        }

        public double share() {
            return leases.share(events.now());
        }

        /** Starts the manager, which knows only its own name and its seed addresses. */
        public void start() {
            up = true;
            int startedIncarnation = ++incarnation;
            leases =
                    new QuotaLeases(
                            hosts.size(),
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
                            leaseDefect);
            membership =
                    new MembershipProtocol(
                            "field",
                            new Member(
                                    name,
                                    "z" + number % 2,
                                    events.now() + 1,
                                    MemberState.ALIVE,
                                    "1",
                                    1),
                            hosts.size(),
                            PROBE_PERIOD,
                            MAX_DATAGRAM_BYTES,
                            RANDOM_FACTORY.create(random.nextLong()),
                            leases,
                            this,
                            defect);
            tick(startedIncarnation);
        }

        /** Starts a manager of another name at this host's address, without the earlier's mark. */
        public void startReplacement(String newName) {
            name = newName;
            mayHaveWithdrawnBefore = false;
            start();
        }

        public void kill() {
            up = false;
            incarnation++;
            waitingDatagrams.clear();
        }

        /** Pauses the process; datagrams that arrive meanwhile are read afterwards. */
        public void pause(long length) {
            pausedUntil = events.now() + length;
            int startedIncarnation = incarnation;
            events.schedule(
                    length,
                    () -> {
                        if (incarnation == startedIncarnation) {
                            tickOnce();
                            List<Runnable> arrived = List.copyOf(waitingDatagrams);
                            waitingDatagrams.clear();
                            arrived.forEach(Runnable::run);
                        }
                    });
        }

        private void tick(int startedIncarnation) {
            if (incarnation != startedIncarnation) {
                return;
            }
            if (events.now() >= pausedUntil) {
                tickOnce();
            }
            events.schedule(TICK_INTERVAL + random.nextInt(20), () -> tick(startedIncarnation));
        }

        private void tickOnce() {
            membership.tick(events.now());
        }

        private void receive(int senderSlot, byte[] datagram) {
            if (!up) {
                return;
            }
            int startedIncarnation = incarnation;
            Runnable read =
                    () -> {
                        if (incarnation == startedIncarnation) {
                            membership.onDatagram(events.now(), senderSlot, datagram);
                        }
                    };
            if (events.now() < pausedUntil) {
                waitingDatagrams.add(read);
            } else {
                read.run();
            }
        }

        @Override
        public void send(int targetSlot, MembershipMessage.Kind kind, byte[] datagram) {
            bytesSent += datagram.length;
            int senderSlot = number;
            if (targetSlot != number
                    && !blocked[senderSlot][targetSlot]
                    && random.nextDouble() >= lossProbability) {
                int copies = random.nextDouble() < duplicateProbability ? 2 : 1;
                for (int i = 0; i < copies; i++) {
                    events.schedule(
                            2 + random.nextInt(18),
                            () -> hosts.get(targetSlot).receive(senderSlot, datagram));
                }
            }
        }

        @Override
        public void viewChanged(long now, MembershipView view) {
            viewChangeCount++;
            pendingViewChanges.add(
                    "m" + number + " " + view.number() + " " + view.memberNames().size());
        }

        @Override
        public void logMemberEvent(long now, String event, String member, String reason) {
            if (event.equals("dead")) {
                if (hosts.stream().anyMatch(host -> host.up && host.name.equals(member))) {
                    falselyDead.add(
                            now / 10 + " ms: " + name + " declared " + member + " dead: " + reason);
                }
            }
        }

        @Override
        public byte[] outgoingDigest(long now) {
            return new byte[0];
        }

        @Override
        public void digestReceived(long now, String member, byte[] digest) {
            // No part of this simulation sends digests.
        }
    }

    private static final RandomGeneratorFactory<RandomGenerator> RANDOM_FACTORY =
            RandomGeneratorFactory.of("L64X128MixRandom");
    private final EventQueue events = new EventQueue(START);
    private final RandomGenerator random;
    private final MembershipProtocol.InjectedDefect defect;
    private final QuotaLeases.InjectedDefect leaseDefect;
    private final List<ManagerHost> hosts = new ArrayList<>();
    private final boolean[][] blocked;
    private final List<String> falselyDead = new ArrayList<>();
    private final List<String> pendingViewChanges = new ArrayList<>();
    private double lossProbability;
    private double duplicateProbability;

    public SimulatedMembership(
            int count,
            long seed,
            MembershipProtocol.InjectedDefect defect,
            QuotaLeases.InjectedDefect leaseDefect) {
        random = RANDOM_FACTORY.create(seed);
        this.defect = defect;
        this.leaseDefect = leaseDefect;
        blocked = new boolean[count][count];
        for (int i = 0; i < count; i++) {
            hosts.add(new ManagerHost(i));
        }
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

    /**
     * Starts all managers within a second and runs until they agree on a view.
     *
     * @return the ticks that the agreement took after that second; -1 if it took more than 60 s
     */
    public long startAll() {
        for (ManagerHost host : hosts) {
            events.schedule(random.nextInt(10_000), host::start);
        }
        advance(10_000);
        return timeUntilAgreed(600_000);
    }

    public void setLossProbability(double probability) {
        lossProbability = probability;
    }

    public void setDuplicateProbability(double probability) {
        duplicateProbability = probability;
    }

    /** Blocks or unblocks the datagrams from one host to another. */
    public void setBlocked(int from, int to, boolean block) {
        blocked[from][to] = block;
    }

    public void advance(long length) {
        events.runUntil(events.now() + length);
    }

    /**
     * Returns whether all running managers hold the same view, with exactly these managers in it.
     */
    public boolean isAgreed() {
        Set<String> up = new HashSet<>();
        hosts.stream().filter(host -> host.up).forEach(host -> up.add(host.name));
        MembershipView firstView = null;
        for (ManagerHost host : hosts) {
            if (host.up) {
                MembershipView view = host.membership.view();
                firstView = firstView == null ? view : firstView;
                if (view.hash() != firstView.hash()
                        || view.number() != firstView.number()
                        || !up.equals(Set.copyOf(view.memberNames()))) {
                    return false;
                }
            }
        }
        return true;
    }

    /**
     * Runs until the managers agree on a view.
     *
     * @return the ticks that this took, in steps of 10 ms; -1 if it took more than {@code limit}
     */
    public long timeUntilAgreed(long limit) {
        for (long elapsed = 0; elapsed <= limit; elapsed += 100) {
            if (isAgreed()) {
                return elapsed;
            }
            advance(100);
        }
        return -1;
    }

    /**
     * Runs until all running managers no longer consider {@code killed} alive.
     *
     * @return for each of these managers, the ticks that this took, in steps of 10 ms; -1 if it
     *     took more than {@code limit}
     */
    public List<Long> timesUntilNotAlive(int killed, long limit) {
        TreeMap<Integer, Long> timesByHost = new TreeMap<>();
        for (long elapsed = 0;
                elapsed <= limit
                        && timesByHost.size() < hosts.stream().filter(host -> host.up).count();
                elapsed += 100) {
            for (ManagerHost host : hosts) {
                if (host.up
                        && host.membership.members().stream()
                                .anyMatch(
                                        member ->
                                                member.name().equals("m" + killed)
                                                        && member.state() != MemberState.ALIVE)) {
                    timesByHost.putIfAbsent(host.number, elapsed);
                }
            }
            advance(100);
        }
        hosts.stream()
                .filter(host -> host.up)
                .forEach(host -> timesByHost.putIfAbsent(host.number, -1L));
        return List.copyOf(timesByHost.values());
    }

    /** Returns the cases of a live manager declared dead: when, by whom and why. */
    public List<String> falselyDead() {
        return falselyDead;
    }

    /** Returns the view changes since the last call. */
    public List<String> takeViewChanges() {
        List<String> changes = List.copyOf(pendingViewChanges);
        pendingViewChanges.clear();
        return changes;
    }

    public double totalShare() {
        return hosts.stream().filter(host -> host.up).mapToDouble(ManagerHost::share).sum();
    }
}
