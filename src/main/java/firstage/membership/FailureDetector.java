package firstage.membership;

import firstage.util.Ticks;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.random.RandomGenerator;

/**
 * Detects unresponsive peers (SWIM). Pings one peer each period, in turn. If no ack arrives, it
 * asks other peers to ping the target on this manager's behalf. A peer that answers neither is
 * reported as unresponsive, and later as dead unless it refutes the suspicion. A manager that is
 * slow itself waits longer for acks, and a manager that receives no acks at all reports no failures
 * (Lifeguard).
 */
final class FailureDetector {
    /**
     * Number of peers asked to ping a target on this manager's behalf; tolerates one broken link or
     * one lost message.
     */
    static final int INDIRECT_PROBERS = 3;

    /**
     * Ack timeouts in one period. Indirect probes are sent after a quarter of a period, which is
     * many round trips.
     */
    private static final long ACK_TIMEOUTS_PER_PERIOD = 4;

    /** Maximum penalty of a slow manager; each point adds one base timeout to its ack timeout. */
    private static final int MAX_LOCAL_HEALTH_PENALTY = 6;

    /** Time in which a suspect may refute; tolerates pauses of 3 s and a message loss of 20 %. */
    private static final long SUSPICION_TIMEOUT = Ticks.ofMillis(4_500);

    /** Time without any ack after which this manager considers itself isolated. */
    private static final long ISOLATION_TIMEOUT = Ticks.ofSeconds(1);

    /**
     * Periods between two reconnect probes, which go to addresses without an alive or suspect peer.
     * They let the halves of a split fleet find each other.
     */
    private static final int PERIODS_PER_RECONNECT_PROBE = 3;

    /** Reconnect probes sent each period while no peer is alive or suspect. */
    private static final int RECONNECT_PROBES_ALONE = 3;

    /**
     * Maximum number of probes at start: enough for this manager to become known, without a burst
     * in a large fleet.
     */
    private static final int STARTUP_PROBES = 32;

    /** Maximum number of pending probes, both this manager's own and those on behalf of others. */
    private static final int MAX_PENDING_PROBES = 256;

    /**
     * A probe that awaits its ack. {@code target} is null if a missing ack has no consequence;
     * {@code requester} is the manager on whose behalf the probe was sent, or null, and {@code
     * requesterSequence} the sequence number that the requester gave it.
     */
    private static final class Probe {
        private final long sequence;
        private final String target;
        private final long sentAt;
        private final String requester;
        private final long requesterSequence;
        private boolean indirect;

        private Probe(
                long sequence,
                String target,
                long sentAt,
                String requester,
                long requesterSequence) {
            this.sequence = sequence;
            this.target = target;
            this.sentAt = sentAt;
            this.requester = requester;
            this.requesterSequence = requesterSequence;
        }
    }

    /**
     * The probe that an ack belongs to; {@code requester} is null if this manager sent it for
     * itself.
     */
    record AnsweredProbe(long sentAt, String requester, long requesterSequence) {}

    private record Suspicion(long endsAt, String name) {}

    private final MemberTable table;
    private final long period;
    private final RandomGenerator random;
    private final FailureDetectorActions actions;
    private final MembershipProtocol.InjectedDefect defect;
    private final Map<Long, Probe> probes = new LinkedHashMap<>();
    private final PriorityQueue<Suspicion> suspicions =
            new PriorityQueue<>(Comparator.comparingLong(Suspicion::endsAt));
    private final ArrayDeque<String> probeOrder = new ArrayDeque<>();
    private long lastSequence;
    private long nextProbeAt;
    private long periods;
    private int localHealthPenalty;
    private long lastResponseAt;

    FailureDetector(
            MemberTable table,
            long period,
            RandomGenerator random,
            FailureDetectorActions actions,
            MembershipProtocol.InjectedDefect defect) {
        this.table = table;
        this.period = period;
        this.random = random;
        this.actions = actions;
        this.defect = defect;
    }

    /** Probes many addresses at once, so that a starting fleet need not wait for probe rounds. */
    void start(long now) {
        lastResponseAt = now;
        List<Integer> addresses = new ArrayList<>();
        for (int address = 0; address < table.addressCount(); address++) {
            addresses.add(address);
        }
        Collections.shuffle(addresses, new Random(random.nextLong()));
        addresses
                .subList(0, Math.min(addresses.size(), STARTUP_PROBES))
                .forEach(address -> ping(now, null, address, null, 0));
    }

    /**
     * Handles a pause of this process that lasted {@code gap} ticks. Acks to pending probes are
     * late because of the pause, so the probes are dropped and the suspicions start anew: no peer
     * is reported because of observations made before the pause.
     */
    void onPause(long now, long gap) {
        probes.clear();
        localHealthPenalty = MAX_LOCAL_HEALTH_PENALTY;
        lastResponseAt = Math.min(lastResponseAt, now - ISOLATION_TIMEOUT - 1);
        table.peers().forEach(peer -> peer.onPause(gap));
        suspicions.clear();
        table.peers().stream()
                .filter(peer -> peer.state() == MemberState.SUSPECT)
                .forEach(peer -> startSuspicion(now, peer));
    }

    /** Returns whether no ack has arrived within the isolation timeout. */
    boolean isIsolated(long now) {
        return now - lastResponseAt > ISOLATION_TIMEOUT;
    }

    private boolean mustNotReportFailures(long now) {
        return isIsolated(now)
                && defect != MembershipProtocol.InjectedDefect.ISOLATED_MANAGER_REPORTS_FAILURES;
    }

    /** Raises the local health penalty: others suspected this manager, so it may be slow. */
    void onRefutation() {
        localHealthPenalty = Math.min(MAX_LOCAL_HEALTH_PENALTY, localHealthPenalty + 1);
    }

    /** Starts or restarts the time in which the peer may refute the suspicion. */
    void startSuspicion(long now, Peer peer) {
        peer.setSuspectedAt(now);
        suspicions.add(new Suspicion(now + SUSPICION_TIMEOUT, peer.name()));
    }

    /** Handles probes whose ack is overdue and suspicions that have timed out. */
    void expire(long now) {
        List.copyOf(probes.values()).forEach(probe -> expireProbe(now, probe));
        while (!suspicions.isEmpty() && suspicions.peek().endsAt() <= now) {
            Peer peer = table.peer(suspicions.poll().name());
            if (peer.state() == MemberState.SUSPECT
                    && peer.suspectedAt() + SUSPICION_TIMEOUT <= now) {
                if (mustNotReportFailures(now)) {
                    startSuspicion(now, peer);
                } else {
                    actions.suspicionTimedOut(now, peer, "suspicion not refuted in time");
                }
            }
        }
    }

    private void expireProbe(long now, Probe probe) {
        long age = now - probe.sentAt;
        if (probe.requester != null || probe.target == null) {
            if (age > 4 * period) {
                probes.remove(probe.sequence);
            }
        } else if (!probe.indirect && age > ackTimeout()) {
            probe.indirect = true;
            if (defect != MembershipProtocol.InjectedDefect.NO_INDIRECT_PROBES) {
                for (Peer prober : table.randomAlive(random, INDIRECT_PROBERS, probe.target)) {
                    actions.sendPingRequest(now, prober, probe.sequence, probe.target);
                }
            }
        } else if (probe.indirect && age > 3 * ackTimeout() + period / 2) {
            probes.remove(probe.sequence);
            onUnanswered(now, probe);
        }
    }

    private void onUnanswered(long now, Probe probe) {
        boolean mayReport = !mustNotReportFailures(now);
        localHealthPenalty =
                Math.min(MAX_LOCAL_HEALTH_PENALTY, localHealthPenalty + (mayReport ? 0 : 1));
        Peer target = table.peer(probe.target);
        boolean heardSince = target.lastAliveAt() > probe.sentAt;
        if (mayReport && !heardSince) {
            actions.peerUnresponsive(
                    now,
                    target,
                    "no ack to direct pings or to " + INDIRECT_PROBERS + " indirect probes");
        }
    }

    private long ackTimeout() {
        return period * (1 + localHealthPenalty) / ACK_TIMEOUTS_PER_PERIOD;
    }

    /** Sends the probes of a new period once it has begun; a leaving manager sends none. */
    void probe(long now, boolean leaving) {
        if (now < nextProbeAt) {
            return;
        }
        nextProbeAt = now + period;
        if (leaving) {
            return;
        }
        periods++;
        Peer target = nextTarget();
        if (target != null) {
            ping(now, target.name(), target.address(), null, 0);
        }
        if (target == null || periods % PERIODS_PER_RECONNECT_PROBE == 0) {
            reconnect(now, target == null ? RECONNECT_PROBES_ALONE : 1);
        }
    }

    /** Probes random addresses whose peer is unknown, dead or left. */
    private void reconnect(long now, int count) {
        List<Integer> addresses = new ArrayList<>();
        for (int address = 0; address < table.addressCount(); address++) {
            Peer peer = table.peerAt(address);
            if (peer == null || !peer.isAliveOrSuspect()) {
                addresses.add(address);
            }
        }
        for (int i = 0; i < count && !addresses.isEmpty(); i++) {
            int address = addresses.remove(random.nextInt(addresses.size()));
            Peer peer = table.peerAt(address);
            ping(now, peer == null ? null : peer.name(), address, null, 0);
        }
    }

    /**
     * Returns the next peer in a shuffled order, or null if no peer with a known address is alive
     * or suspect. At most two rounds pass between two probes of a peer.
     */
    private Peer nextTarget() {
        for (int round = 0; round < 2; round++) {
            while (!probeOrder.isEmpty()) {
                Peer peer = table.peer(probeOrder.poll());
                if (peer != null && peer.hasAddress() && peer.isAliveOrSuspect()) {
                    return peer;
                }
            }
            List<String> names = table.peerNames();
            Collections.shuffle(names, new Random(random.nextLong()));
            probeOrder.addAll(names);
        }
        return null;
    }

    /** Pings a peer out of turn. */
    void pingNow(long now, Peer peer) {
        ping(now, peer.name(), peer.address(), null, 0);
    }

    /** Pings a peer on behalf of the requester, to which the ack is then reported. */
    void pingFor(long now, Peer target, String requester, long requesterSequence) {
        ping(now, target.name(), target.address(), requester, requesterSequence);
    }

    private void ping(
            long now, String target, int address, String requester, long requesterSequence) {
        if (probes.size() >= MAX_PENDING_PROBES) {
            return;
        }
        long sequence = nextSequence();
        Peer peer = target == null ? null : table.peer(target);
        boolean aliveOrSuspect = peer != null && peer.isAliveOrSuspect();
        probes.put(
                sequence,
                aliveOrSuspect || requester != null
                        ? new Probe(sequence, target, now, requester, requesterSequence)
                        : new Probe(sequence, null, now, null, 0));
        actions.sendPing(now, address, sequence, target == null ? "" : target);
    }

    long nextSequence() {
        return ++lastSequence;
    }

    /** Handles an ack; returns null if no probe with this sequence number is pending. */
    AnsweredProbe onAck(long now, long sequence) {
        Probe probe = probes.remove(sequence);
        if (probe == null) {
            return null;
        }
        lastResponseAt = now;
        localHealthPenalty = Math.max(0, localHealthPenalty - 1);
        return new AnsweredProbe(probe.sentAt, probe.requester, probe.requesterSequence);
    }

    /** Handles the report of another manager that the target answered an indirect probe. */
    void onIndirectAck(long now, long sequence, String target) {
        Probe probe = probes.get(sequence);
        Peer peer = table.peer(target);
        if (probe != null && peer != null && target.equals(probe.target)) {
            peer.onIndirectAck(now);
            probes.remove(sequence);
        }
    }
}
