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
 * Finds out which peers do not answer (SWIM): one ping each period, in turn; where no answer comes,
 * others are asked to ping in this manager's place; who answers neither is reported as unanswered,
 * and as timed out if it does not refute the suspicion. A manager that is slow itself waits longer,
 * and one that nobody answers judges nobody (Lifeguard).
 */
final class FailureDetector {
    /** Asked to ping in this manager's place: one broken link or one lost message is borne. */
    static final int INDIRECT_PROBERS = 3;

    /** A quarter of a period without an answer, many round trips, and others are asked. */
    private static final long ACK_TIMEOUTS_PER_PERIOD = 4;

    /** A manager that is slow itself waits up to so many times longer. */
    private static final int MAX_LOCAL_HEALTH_PENALTY = 6;

    /** Pauses of 3 s and a loss of 20 % are borne. */
    private static final long SUSPICION_TIMEOUT = Ticks.ofMillis(4_500);

    /** Without any answer so long, it is this manager that is cut off. */
    private static final long ISOLATION_TIMEOUT = Ticks.ofSeconds(1);

    /** Between probes of an address where nobody answers: halves of a fleet find each other. */
    private static final int PERIODS_PER_RECONNECT_PROBE = 3;

    /** Where no peer is known, so many addresses each period. */
    private static final int RECONNECT_PROBES_ALONE = 3;

    /** Enough to become known, and no burst on a large fleet. */
    private static final int STARTUP_PROBES = 32;

    /** Own probes and those for others. */
    private static final int MAX_PENDING_PROBES = 256;

    /**
     * A probe without its answer. {@code target}: null where an answer says nothing of a peer that
     * is judged; {@code requester}: for whom it was sent, or null, under its own sequence number.
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

    /** What an answer belongs to: when it was asked for, and for whom, or null. */
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

    /** Probes many addresses at once, so that a fleet that starts need not wait for its rounds. */
    void start(long now) {
        lastResponseAt = now;
        List<Integer> all = new ArrayList<>();
        for (int address = 0; address < table.addresses(); address++) {
            all.add(address);
        }
        Collections.shuffle(all, new Random(random.nextLong()));
        all.subList(0, Math.min(all.size(), STARTUP_PROBES))
                .forEach(address -> ping(now, null, address, null, 0));
    }

    /**
     * This process stood still: what is pending is answered late through its own fault. It judges
     * nobody by what is from before.
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

    /** Whether nobody has answered for long. */
    boolean isIsolated(long now) {
        return now - lastResponseAt > ISOLATION_TIMEOUT;
    }

    private boolean mayNotJudge(long now) {
        return isIsolated(now)
                && defect != MembershipProtocol.InjectedDefect.ISOLATED_MANAGER_JUDGES;
    }

    /** Others suspect this manager: it may be slow itself. */
    void onRefutation() {
        localHealthPenalty = Math.min(MAX_LOCAL_HEALTH_PENALTY, localHealthPenalty + 1);
    }

    /** The time to refute begins, or begins anew. */
    void startSuspicion(long now, Peer peer) {
        peer.suspectSince(now);
        suspicions.add(new Suspicion(now + SUSPICION_TIMEOUT, peer.name()));
    }

    /** Acts on probes without an answer and on suspicions whose time is over. */
    void expire(long now) {
        List.copyOf(probes.values()).forEach(probe -> expireProbe(now, probe));
        while (!suspicions.isEmpty() && suspicions.peek().endsAt() <= now) {
            Peer peer = table.peer(suspicions.poll().name());
            if (peer.state() == MemberState.SUSPECT
                    && peer.suspectedAt() + SUSPICION_TIMEOUT <= now) {
                if (mayNotJudge(now)) {
                    startSuspicion(now, peer);
                } else {
                    actions.suspicionTimedOut(now, peer, "not heard of again");
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
                for (Peer helper : table.randomAlive(random, INDIRECT_PROBERS, probe.target)) {
                    actions.sendPingRequest(now, helper, probe.sequence, probe.target);
                }
            }
        } else if (probe.indirect && age > 3 * ackTimeout() + period / 2) {
            probes.remove(probe.sequence);
            onUnanswered(now, probe);
        }
    }

    private void onUnanswered(long now, Probe probe) {
        boolean mayJudge = !mayNotJudge(now);
        localHealthPenalty =
                Math.min(MAX_LOCAL_HEALTH_PENALTY, localHealthPenalty + (mayJudge ? 0 : 1));
        Peer target = table.peer(probe.target);
        boolean heardSince = target.lastAliveAt() > probe.sentAt;
        if (mayJudge && !heardSince) {
            actions.peerUnanswered(
                    now, target, "no answer, nor to " + INDIRECT_PROBERS + " others");
        }
    }

    private long ackTimeout() {
        return period * (1 + localHealthPenalty) / ACK_TIMEOUTS_PER_PERIOD;
    }

    /** Sends the probes of a period where it is time to. */
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

    /** Probes random addresses at which nobody is known to be, or somebody who is dead or left. */
    private void reconnect(long now, int count) {
        List<Integer> addresses = new ArrayList<>();
        for (int address = 0; address < table.addresses(); address++) {
            Peer peer = table.peerAt(address);
            if (peer == null || !peer.isJudged()) {
                addresses.add(address);
            }
        }
        for (int i = 0; i < count && !addresses.isEmpty(); i++) {
            int address = addresses.remove(random.nextInt(addresses.size()));
            Peer peer = table.peerAt(address);
            ping(now, peer == null ? null : peer.name(), address, null, 0);
        }
    }

    /** In turn through a shuffled order: each is probed within two rounds. */
    private Peer nextTarget() {
        for (int round = 0; round < 2; round++) {
            while (!probeOrder.isEmpty()) {
                Peer peer = table.peer(probeOrder.poll());
                if (peer != null && peer.hasAddress() && peer.isJudged()) {
                    return peer;
                }
            }
            List<String> names = table.peerNames();
            Collections.shuffle(names, new Random(random.nextLong()));
            probeOrder.addAll(names);
        }
        return null;
    }

    /** Pings a peer that it knows, outside its turn. */
    void pingNow(long now, Peer peer) {
        ping(now, peer.name(), peer.address(), null, 0);
    }

    /** Pings a peer in another manager's place, which gets to hear of an answer. */
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
        boolean judged = peer != null && peer.isJudged();
        probes.put(
                sequence,
                judged || requester != null
                        ? new Probe(sequence, target, now, requester, requesterSequence)
                        : new Probe(sequence, null, now, null, 0));
        actions.sendPing(now, address, sequence, target == null ? "" : target);
    }

    long nextSequence() {
        return ++lastSequence;
    }

    /** An answer; null where nothing was asked under its number. */
    AnsweredProbe onAck(long now, long sequence) {
        Probe probe = probes.remove(sequence);
        if (probe == null) {
            return null;
        }
        lastResponseAt = now;
        localHealthPenalty = Math.max(0, localHealthPenalty - 1);
        return new AnsweredProbe(probe.sentAt, probe.requester, probe.requesterSequence);
    }

    /** Another manager got an answer to what this one had asked it to ping. */
    void onIndirectAck(long now, long sequence, String target) {
        Probe probe = probes.get(sequence);
        Peer peer = table.peer(target);
        if (probe != null && peer != null && target.equals(probe.target)) {
            peer.onIndirectAck(now);
            probes.remove(sequence);
        }
    }
}
