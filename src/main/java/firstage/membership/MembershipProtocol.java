package firstage.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import net.openhft.hashing.LongHashFunction;

/**
 * One manager's knowledge of the others, by probing in turn (SWIM), a doubt that can be denied
 * before it counts, and care about itself first (Lifeguard): who is slow, was stopped or hears
 * nobody judges nobody. A doubt takes a member out of the view at once, so that nothing new is
 * shared with it; gone for good it is only after a silence longer than any pause that is borne.
 * Times are tenths of a millisecond of a clock that only goes forward.
 */
public final class MembershipProtocol {
    // ---- Constants: unit, and why this size. Times are in tenths of a millisecond.
    private static final int INDIRECT_PROBERS =
            3; // asked to probe in our place: one cut way or one lost message is borne
    private static final long ACK_TIMEOUTS_PER_PERIOD =
            4; // of a period until helpers are asked: many times a way there and back
    private static final int MAX_LOCAL_HEALTH_PENALTY =
            6; // of our own slowness: probes wait up to so many times longer
    private static final long SUSPICION_TIMEOUT =
            45_000; // of a doubt not denied: pauses of 3 s and 20% loss are borne
    private static final long VIEW_QUIET_TIME =
            2_500; // without a change before a view is made: a zone dies in one view
    private static final long MAX_VIEW_DELAY =
            8_000; // but no longer: a view must come while members flap, too
    private static final long PAUSE_THRESHOLD =
            4_000; // between two ticks: we were stopped; two probe periods
    private static final long ISOLATION_TIMEOUT =
            10_000; // without any answer: it is we who are cut off, and judge nobody
    private static final long UNHEARD_AFTER =
            12_000; // by one way while others vouch: six periods, loss alone is borne
    private static final double FREE_RETURNS =
            2; // returns that cost nothing: a restart and a chance doubt
    private static final long FIRST_HOLD_DOWN =
            5_000; // held out of the view after the third return, doubled with each
    private static final long MAX_HOLD_DOWN = 300_000; // but no longer
    private static final long RETURNS_HALF_LIFE =
            300_000; // in which half of the returns is forgotten
    private static final int GOSSIP_FACTOR =
            4; // times the logarithm of the fleet that a rumour is told
    private static final long SYNC_INTERVAL =
            100_000; // tells all to one: what rumours missed comes within this
    private static final int PERIODS_PER_RECONNECT_PROBE =
            3; // periods between probes of one that is gone: cut halves find each other
    private static final int MAX_MEMBERS = 2_048; // invented names must not fill the memory
    private static final int MAX_PENDING_GOSSIP =
            4_096; // pending at once: bounded against the same
    private static final int STARTUP_PROBES =
            32; // addresses asked at a start: enough to be known, no burst on a large fleet
    private static final int MAX_PENDING_PROBES = 256; // probes out, ours and for others

    private enum Event {
        UNANSWERED,
        SUSPECT_GOSSIP,
        DEAD_GOSSIP,
        LEFT_GOSSIP,
        NEWER_ALIVE,
        SUSPICION_TIMEOUT
    }

    private enum Effect {
        NONE,
        GOSSIP,
        SUSPECT,
        RETURN
    }

    private record Transition(MemberState state, Event event, MemberState next, Effect effect) {}

    /**
     * State, event, next state, effect; what is not here changes nothing. Events that are told
     * carry no older life.
     */
    private static final Transition[] TRANSITIONS = {
        new Transition(MemberState.ALIVE, Event.UNANSWERED, MemberState.SUSPECT, Effect.SUSPECT),
        new Transition(
                MemberState.ALIVE, Event.SUSPECT_GOSSIP, MemberState.SUSPECT, Effect.SUSPECT),
        new Transition(MemberState.ALIVE, Event.DEAD_GOSSIP, MemberState.DEAD, Effect.GOSSIP),
        new Transition(MemberState.ALIVE, Event.LEFT_GOSSIP, MemberState.LEFT, Effect.GOSSIP),
        new Transition(MemberState.ALIVE, Event.NEWER_ALIVE, MemberState.ALIVE, Effect.GOSSIP),
        new Transition(
                MemberState.SUSPECT, Event.SUSPECT_GOSSIP, MemberState.SUSPECT, Effect.SUSPECT),
        new Transition(MemberState.SUSPECT, Event.DEAD_GOSSIP, MemberState.DEAD, Effect.GOSSIP),
        new Transition(MemberState.SUSPECT, Event.LEFT_GOSSIP, MemberState.LEFT, Effect.GOSSIP),
        new Transition(MemberState.SUSPECT, Event.NEWER_ALIVE, MemberState.ALIVE, Effect.RETURN),
        new Transition(
                MemberState.SUSPECT, Event.SUSPICION_TIMEOUT, MemberState.DEAD, Effect.GOSSIP),
        new Transition(MemberState.DEAD, Event.LEFT_GOSSIP, MemberState.LEFT, Effect.GOSSIP),
        new Transition(MemberState.DEAD, Event.NEWER_ALIVE, MemberState.ALIVE, Effect.RETURN),
        new Transition(MemberState.LEFT, Event.NEWER_ALIVE, MemberState.ALIVE, Effect.RETURN),
    };

    /** Faults put back one at a time: a test that does not find them proves nothing. */
    public enum InjectedDefect {
        NONE,
        REFUTATION_IGNORED,
        OLDER_INCARNATION_WINS,
        FLAP_DAMPING_OFF,
        PAUSE_NOT_DETECTED,
        NO_INDIRECT_PROBES,
        ISOLATED_MANAGER_JUDGES
    }

    /** What is known of one other. */
    private static final class Peer {
        private Member member;
        private int address = -1;
        private long lastHeardAt = Long.MIN_VALUE / 4;
        private long indirectlyHeardAt = Long.MIN_VALUE / 4;
        private long lastHeardUsAgo = -1;
        private long viewNumber;
        private long viewHash;
        private long suspectedAt;
        private double recentReturns;
        private long lastReturnAt;
        private long heldOutUntil;
        private List<String> unheardMembers = List.of();
    }

    private static final class PendingGossip {
        private final String name;
        private int sentCount;

        private PendingGossip(String name) {
            this.name = name;
        }
    }

    /** A probe that is out: ours of a target, or one in place of another. */
    private static final class Probe {
        private final long sequence;
        private final String target;
        private final int address;
        private final long sentAt;
        private final String requester;
        private final long requesterSequence;
        private boolean indirect;

        private Probe(long seq, String target, int seed, long sent, String asker, long askerSeq) {
            this.sequence = seq;
            this.target = target;
            this.address = seed;
            this.sentAt = sent;
            this.requester = asker;
            this.requesterSequence = askerSeq;
        }
    }

    private final String fleet;
    private final MembershipActions actions;
    private final RandomGenerator random;
    private final MessageCodec codec;
    private final long period;
    private final int addresses;
    private final InjectedDefect defect;
    private final QuotaLeases leases;
    private Member self;
    private final TreeMap<String, Peer> peers = new TreeMap<>();

    /** By place of the seeds, who answered there last. */
    private final String[] nameByAddress;

    private final ArrayDeque<PendingGossip> gossipQueue = new ArrayDeque<>();
    private final Map<String, PendingGossip> gossipByMember = new HashMap<>();
    private final Map<Long, Probe> probes = new LinkedHashMap<>();
    private final PriorityQueue<Map.Entry<Long, String>> suspicions =
            new PriorityQueue<>(Comparator.comparingLong(Map.Entry::getKey));
    private final Map<String, Long> rejectedMessages = new TreeMap<>();
    private final ArrayDeque<String> probeOrder = new ArrayDeque<>();
    private MembershipView view;
    private long lastSequence;
    private long nextProbeAt;
    private long nextSyncAt;
    private long periods;
    private int localHealthPenalty;
    private long lastTickAt = -1;
    private long lastResponseAt;
    private long changedSince = -1;
    private long changedAt;
    private boolean leaving;

    /**
     * {@code self} with a standing of HERE; {@code addresses}: how many addresses peers may be at;
     * {@code period} between two probes. {@code leases} keeps who may use which part.
     */
    public MembershipProtocol(
            String fleet,
            Member self,
            int addresses,
            long period,
            int maxDatagramBytes,
            RandomGenerator random,
            QuotaLeases leases,
            MembershipActions actions,
            InjectedDefect defect) {
        this.fleet = fleet;
        this.self = self;
        this.addresses = addresses;
        this.period = period;
        this.random = random;
        this.actions = actions;
        this.defect = defect;
        this.leases = leases;
        codec = new MessageCodec(maxDatagramBytes);
        nameByAddress = new String[addresses];
        view = new MembershipView(0, hash(List.of(self.name())), List.of(self.name()));
    }

    // ---- What is asked of it.
    public MembershipView view() {
        return view;
    }

    public String name() {
        return self.name();
    }

    /** All that is known, this manager first. */
    public List<Member> members() {
        List<Member> all = new ArrayList<>(List.of(self));
        peers.values().forEach(peer -> all.add(peer.member));
        return all;
    }

    /** Whether all that are here say the same view. */
    public boolean viewAgreed() {
        return view.memberNames().stream()
                .filter(n -> !n.equals(self.name()))
                .allMatch(
                        n ->
                                peers.get(n).viewHash == view.hash()
                                        && peers.get(n).viewNumber == view.number());
    }

    /** Of the members of the view, the share heard lately: how sure it may be of itself. */
    public double confidence(long now) {
        long others = view.memberNames().size() - 1;
        long heard =
                view.memberNames().stream()
                        .filter(peers::containsKey)
                        .filter(
                                n ->
                                        now
                                                        - Math.max(
                                                                peers.get(n).lastHeardAt,
                                                                peers.get(n).indirectlyHeardAt)
                                                < 5 * UNHEARD_AFTER)
                        .count();
        return now - lastResponseAt > ISOLATION_TIMEOUT
                ? 0
                : others == 0 ? 1 : (double) heard / others;
    }

    /**
     * How the way to a member bears: ok, deaf (we do not hear it), unheard (it does not hear us),
     * cut; none where gone.
     */
    public String linkState(long now, String name) {
        Peer peer = peers.get(name);
        if (peer == null
                || peer.member.state() == MemberState.DEAD
                || peer.member.state() == MemberState.LEFT) {
            return "none";
        }
        boolean deaf = now - peer.lastHeardAt > UNHEARD_AFTER;
        boolean unheard =
                !deaf && (peer.lastHeardUsAgo < 0 || peer.lastHeardUsAgo > UNHEARD_AFTER)
                        || peer.unheardMembers.contains(self.name());
        return deaf && unheard ? "cut" : deaf ? "deaf" : unheard ? "unheard" : "ok";
    }

    /** Datagrams that changed nothing, by cause. */
    public Map<String, Long> rejectedMessages() {
        return rejectedMessages;
    }

    // ---- Time.
    /** To be called each 20 ms or so; a longer gap is taken for a pause of this process. */
    public void tick(long now) {
        boolean paused =
                lastTickAt >= 0
                        && now - lastTickAt > PAUSE_THRESHOLD
                        && defect != InjectedDefect.PAUSE_NOT_DETECTED;
        if (lastTickAt < 0) {
            lastResponseAt = now;
            nextSyncAt = now + period;
            // To all at once, so that a fleet that starts together need not wait for its rounds to
            // come by.
            List<Integer> all = new ArrayList<>();
            for (int s = 0; s < addresses; s++) {
                all.add(s);
            }
            Collections.shuffle(all, new Random(random.nextLong()));
            all.subList(0, Math.min(addresses, STARTUP_PROBES))
                    .forEach(s -> ping(now, null, s, null, 0));
        }
        if (paused) {
            onPauseDetected(now, now - lastTickAt);
        }
        lastTickAt = now;
        expireProbes(now);
        while (!suspicions.isEmpty() && suspicions.peek().getKey() <= now) {
            Map.Entry<Long, String> due = suspicions.poll();
            Peer peer = peers.get(due.getValue());
            if (peer.member.state() == MemberState.SUSPECT
                    && peer.suspectedAt + SUSPICION_TIMEOUT <= now) {
                if (isolated(now)) {
                    // Nobody answers: it is this manager that is cut off.
                    startSuspicion(now, peer);
                } else {
                    applyEvent(
                            now,
                            peer,
                            Event.SUSPICION_TIMEOUT,
                            peer.member.withState(MemberState.DEAD),
                            "not heard of again");
                }
            }
        }
        if (now >= nextProbeAt) {
            nextProbeAt = now + period;
            probe(now);
        }
        if (now >= nextSyncAt && !leaving) {
            nextSyncAt = now + SYNC_INTERVAL / 2 + random.nextLong(SYNC_INTERVAL);
            sync(now);
        }
        updateView(now);
    }

    /**
     * This process was stopped, or the machine had no time for it. Others may have left, and may
     * hold it for gone; all that it has out is answered late through its own fault. It judges
     * nobody by what is from before, and denies at once what may have been said of it.
     */
    private void onPauseDetected(long now, long gap) {
        probes.clear();
        localHealthPenalty = MAX_LOCAL_HEALTH_PENALTY;
        lastResponseAt = Math.min(lastResponseAt, now - ISOLATION_TIMEOUT - 1);
        for (Peer peer : peers.values()) {
            peer.lastHeardAt += gap;
        }
        suspicions.clear();
        peers.values().stream()
                .filter(peer -> peer.member.state() == MemberState.SUSPECT)
                .forEach(peer -> startSuspicion(now, peer));
        self = self.withState(self.incarnation() + 1, self.state());
        gossip(self.name());
        actions.logMemberEvent(now, "woke", self.name(), "stopped for " + gap / 10 + " ms");
        // Once to each of some: who doubts this manager hears of it before the doubt counts.
        randomPeers(now, INDIRECT_PROBERS, null)
                .forEach(peer -> ping(now, peer.member.name(), peer.address, null, 0));
    }

    private boolean isolated(long now) {
        return now - lastResponseAt > ISOLATION_TIMEOUT
                && defect != InjectedDefect.ISOLATED_MANAGER_JUDGES;
    }

    private long ackTimeout() {
        return period * (1 + localHealthPenalty) / ACK_TIMEOUTS_PER_PERIOD;
    }

    private void expireProbes(long now) {
        for (Probe probe : List.copyOf(probes.values())) {
            if (probe.requester != null || probe.target == null) {
                if (now - probe.sentAt > 4 * period) {
                    probes.remove(probe.sequence);
                }
                continue;
            }
            Peer target = peers.get(probe.target);
            if (!probe.indirect && now - probe.sentAt > ackTimeout()) {
                probe.indirect = true;
                if (defect != InjectedDefect.NO_INDIRECT_PROBES) {
                    for (Peer helper : randomPeers(now, INDIRECT_PROBERS, probe.target)) {
                        send(
                                now,
                                helper.address,
                                newMessage(
                                        now,
                                        helper,
                                        MembershipMessage.Kind.PING_REQUEST,
                                        probe.sequence,
                                        probe.target));
                    }
                }
            } else if (probe.indirect && now - probe.sentAt > 3 * ackTimeout() + period / 2) {
                probes.remove(probe.sequence);
                localHealthPenalty =
                        Math.min(
                                MAX_LOCAL_HEALTH_PENALTY,
                                localHealthPenalty + (isolated(now) ? 1 : 0));
                boolean heardSince =
                        Math.max(target.lastHeardAt, target.indirectlyHeardAt) > probe.sentAt;
                if (!isolated(now) && !heardSince) {
                    applyEvent(
                            now,
                            target,
                            Event.UNANSWERED,
                            target.member.withState(MemberState.SUSPECT),
                            "no answer, nor to " + INDIRECT_PROBERS + " others");
                }
            }
        }
    }

    // ---- Probing.
    private List<Peer> alivePeers() {
        return peers.values().stream()
                .filter(peer -> peer.member.state() == MemberState.ALIVE && peer.address >= 0)
                .toList();
    }

    private List<Peer> randomPeers(long now, int count, String but) {
        List<Peer> from =
                new ArrayList<>(
                        alivePeers().stream()
                                .filter(peer -> !peer.member.name().equals(but))
                                .toList());
        List<Peer> some = new ArrayList<>();
        while (some.size() < count && !from.isEmpty()) {
            some.add(from.remove(random.nextInt(from.size())));
        }
        return some;
    }

    private void probe(long now) {
        if (leaving) {
            return;
        }
        periods++;
        Peer target = nextProbeTarget();
        if (target != null) {
            ping(now, target.member.name(), target.address, null, 0);
        }
        if (target == null || periods % PERIODS_PER_RECONNECT_PROBE == 0) {
            // Addresses at which nobody is known to be, and those of who is gone, in turn by
            // chance.
            List<Integer> unreachableAddresses = new ArrayList<>();
            for (int address = 0; address < addresses; address++) {
                Peer peer =
                        nameByAddress[address] == null ? null : peers.get(nameByAddress[address]);
                if (peer == null
                        || peer.member.state() == MemberState.DEAD
                        || peer.member.state() == MemberState.LEFT) {
                    unreachableAddresses.add(address);
                }
            }
            for (int i = 0; i < (target == null ? 3 : 1) && !unreachableAddresses.isEmpty(); i++) {
                int address =
                        unreachableAddresses.remove(random.nextInt(unreachableAddresses.size()));
                ping(
                        now,
                        nameByAddress[address] == null || peers.get(nameByAddress[address]) == null
                                ? null
                                : nameByAddress[address],
                        address,
                        null,
                        0);
            }
        }
    }

    /** In turn through a shuffled order: each is probed within two rounds, whatever chance does. */
    private Peer nextProbeTarget() {
        for (int round = 0; round < 2; round++) {
            while (!probeOrder.isEmpty()) {
                Peer peer = peers.get(probeOrder.poll());
                if (peer != null
                        && peer.address >= 0
                        && (peer.member.state() == MemberState.ALIVE
                                || peer.member.state() == MemberState.SUSPECT)) {
                    return peer;
                }
            }
            List<String> names = new ArrayList<>(peers.keySet());
            Collections.shuffle(names, new Random(random.nextLong()));
            probeOrder.addAll(names);
        }
        return null;
    }

    private void ping(
            long now, String target, int address, String requester, long requesterSequence) {
        if (probes.size() >= MAX_PENDING_PROBES) {
            return;
        }
        Probe probe = new Probe(++lastSequence, target, address, now, requester, requesterSequence);
        Peer of = target == null ? null : peers.get(target);
        boolean judged =
                of != null
                        && (of.member.state() == MemberState.ALIVE
                                || of.member.state() == MemberState.SUSPECT);
        probes.put(
                probe.sequence,
                judged || requester != null
                        ? probe
                        : new Probe(probe.sequence, null, address, now, null, 0));
        send(
                now,
                address,
                newMessage(
                        now,
                        of,
                        MembershipMessage.Kind.PING,
                        probe.sequence,
                        target == null ? "" : target));
    }

    private void sync(long now) {
        List<Peer> one = randomPeers(now, 1, null);
        if (!one.isEmpty()) {
            sendAllMembers(now, one.get(0), MembershipMessage.Kind.SYNC);
        }
    }

    /** All that is known, in as many datagrams as it takes. */
    private void sendAllMembers(long now, Peer to, MembershipMessage.Kind kind) {
        List<Member> all = members();
        int room = codec.maxMembers(actions.outgoingDigest(now).length);
        for (int from = 0; from < all.size(); from += room) {
            MembershipMessage message = newMessage(now, to, kind, 0, "");
            send(
                    now,
                    to.address,
                    new MembershipMessage(
                            message.fleet(),
                            message.from(),
                            message.incarnation(),
                            message.kind(),
                            message.sequence(),
                            message.target(),
                            message.viewNumber(),
                            message.viewHash(),
                            message.lastHeardAgo(),
                            false,
                            message.withdrawnGrants(),
                            message.unheardMembers(),
                            all.subList(from, Math.min(all.size(), from + room)),
                            message.digest()));
        }
    }

    // ---- Messages.
    private MembershipMessage newMessage(
            long now, Peer to, MembershipMessage.Kind kind, long sequence, String target) {
        long ago = to == null || to.lastHeardAt < 0 ? -1 : Math.max(0, now - to.lastHeardAt);
        byte[] digest = actions.outgoingDigest(now);
        List<Member> told = new ArrayList<>(List.of(self));
        if (to != null && to.member.state() != MemberState.ALIVE) {
            // Whoever is doubted is told so first: it can deny it in its next word.
            told.add(to.member);
        }
        int most = (int) Math.ceil(GOSSIP_FACTOR * Math.log(peers.size() + 2.0) / Math.log(2));
        int room = codec.maxMembers(digest.length) - told.size();
        for (int i = 0; i < room && i < gossipQueue.size() && !gossipQueue.isEmpty(); i++) {
            PendingGossip r = gossipQueue.poll();
            Peer of = peers.get(r.name);
            Member entry = of == null ? self : of.member;
            if (!told.contains(entry)) {
                told.add(entry);
            }
            if (++r.sentCount < most) {
                gossipQueue.add(r);
            } else {
                gossipByMember.remove(r.name, r);
            }
        }
        boolean grants =
                kind == MembershipMessage.Kind.ACK
                        && to != null
                        && leases.grantTo(now, to.member.name());
        return new MembershipMessage(
                fleet,
                self.name(),
                self.incarnation(),
                kind,
                sequence,
                target,
                view.number(),
                view.hash(),
                ago,
                grants,
                kind == MembershipMessage.Kind.ACK ? leases.withdrawGrants(now) : List.of(),
                unheardMembers(now),
                told,
                digest);
    }

    private List<String> unheardMembers(long now) {
        List<String> names = new ArrayList<>();
        for (Peer peer : peers.values()) {
            if (peer.member.state() == MemberState.ALIVE
                    && now - peer.lastHeardAt > UNHEARD_AFTER
                    && now - peer.indirectlyHeardAt < UNHEARD_AFTER
                    && names.size() < 8) {
                names.add(peer.member.name());
            }
        }
        return names;
    }

    private void send(long now, int address, MembershipMessage message) {
        if (address >= 0) {
            actions.send(address, message.kind(), codec.encode(message));
        }
    }

    private void gossip(String name) {
        PendingGossip old = gossipByMember.remove(name);
        if (old != null) {
            gossipQueue.remove(old);
        }
        if (gossipQueue.size() < MAX_PENDING_GOSSIP) {
            PendingGossip fresh = new PendingGossip(name);
            gossipQueue.addFirst(fresh);
            gossipByMember.put(name, fresh);
        }
    }

    private void reject(String reason) {
        rejectedMessages.merge(reason, 1L, Long::sum);
    }

    /**
     * A datagram that came from the address at this place of the seeds; from any other, the carrier
     * drops it.
     */
    public void onDatagram(long now, int address, byte[] bytes) {
        MembershipMessage message;
        try {
            message = codec.decode(bytes);
        } catch (MessageCodec.MalformedMessageException fault) {
            reject(fault.getMessage());
            return;
        }
        if (!message.fleet().equals(fleet)) {
            reject("another fleet");
            return;
        }
        if (message.from().equals(self.name())) {
            reject("our own name");
            return;
        }
        Peer peer = peers.get(message.from());
        if (peer != null && message.incarnation() < peer.member.incarnation()) {
            reject("an older life");
            if (now - peer.lastHeardAt > period
                    && peer.address == address
                    && peer.member.state() != MemberState.LEFT) {
                // A clock set back gives a restart an older life: it learns by this and goes
                // beyond.
                send(
                        now,
                        address,
                        newMessage(
                                now, peer, MembershipMessage.Kind.INDIRECT_ACK, 0, message.from()));
            }
            return;
        }
        if (peer != null
                && peer.address >= 0
                && peer.address != address
                && peer.member.state() == MemberState.ALIVE
                && now - peer.lastHeardAt < UNHEARD_AFTER) {
            reject("two of one name");
            actions.logMemberEvent(
                    now,
                    "doubled",
                    message.from(),
                    "two managers have this name; give each its own");
            return;
        }
        if (peer == null) {
            peer =
                    addPeer(
                            now,
                            new Member(
                                    message.from(),
                                    "",
                                    message.incarnation(),
                                    MemberState.ALIVE,
                                    "",
                                    1));
            if (peer == null) {
                return;
            }
        }
        boolean wasDead = peer.member.state() == MemberState.DEAD;
        peer.address = address;
        nameByAddress[address] = message.from();
        peer.lastHeardAt = now;
        peer.lastHeardUsAgo = message.lastHeardAgo();
        peer.viewNumber = message.viewNumber();
        peer.viewHash = message.viewHash();
        peer.unheardMembers = message.unheardMembers();
        message.members().forEach(member -> applyGossip(now, member));
        if (wasDead && peer.member.state() == MemberState.ALIVE) {
            // Two halves that were cut from each other meet: all that either knows is told at once.
            sendAllMembers(now, peer, MembershipMessage.Kind.SYNC);
        }
        actions.digestReceived(now, message.from(), message.digest());
        switch (message.kind()) {
            case PING ->
                    send(
                            now,
                            address,
                            newMessage(
                                    now,
                                    peer,
                                    MembershipMessage.Kind.ACK,
                                    message.sequence(),
                                    message.from()));
            case ACK -> onAck(now, peer, message);
            case PING_REQUEST -> {
                Peer target = peers.get(message.target());
                if (target != null && target.address >= 0) {
                    ping(now, message.target(), target.address, message.from(), message.sequence());
                }
            }
            case INDIRECT_ACK -> {
                Probe mine = probes.get(message.sequence());
                Peer target = peers.get(message.target());
                if (mine != null && target != null && message.target().equals(mine.target)) {
                    target.indirectlyHeardAt = now;
                    probes.remove(message.sequence());
                }
            }
            case SYNC -> sendAllMembers(now, peer, MembershipMessage.Kind.SYNC_REPLY);
            case SYNC_REPLY -> {}
        }
        if (message.viewNumber() > view.number() && message.viewHash() == view.hash()) {
            view = new MembershipView(message.viewNumber(), view.hash(), view.memberNames());
        }
    }

    private void onAck(long now, Peer peer, MembershipMessage message) {
        Probe mine = probes.remove(message.sequence());
        if (mine == null) {
            reject("an answer to nothing");
            return;
        }
        lastResponseAt = now;
        localHealthPenalty = Math.max(0, localHealthPenalty - 1);
        leases.onResponse(
                now,
                mine.sentAt,
                peer.member.name(),
                message.grantsQuota(),
                message.withdrawnGrants());
        Peer requester = mine.requester == null ? null : peers.get(mine.requester);
        if (requester != null) {
            send(
                    now,
                    requester.address,
                    newMessage(
                            now,
                            requester,
                            MembershipMessage.Kind.INDIRECT_ACK,
                            mine.requesterSequence,
                            message.from()));
        }
    }

    // ---- What is told of members.
    private Peer addPeer(long now, Member member) {
        if (peers.size() >= MAX_MEMBERS) {
            reject("too many members");
            return null;
        }
        Peer peer = new Peer();
        peer.member = member;
        peers.put(member.name(), peer);
        if (member.state() == MemberState.SUSPECT) {
            startSuspicion(now, peer);
        }
        gossip(member.name());
        noteChange(now);
        actions.logMemberEvent(
                now,
                "joined",
                member.name(),
                "heard of, " + member.state().name().toLowerCase(java.util.Locale.ROOT));
        return peer;
    }

    /** Its time to deny begins, or begins anew. */
    private void startSuspicion(long now, Peer peer) {
        peer.suspectedAt = now;
        suspicions.add(Map.entry(now + SUSPICION_TIMEOUT, peer.member.name()));
    }

    private void applyGossip(long now, Member member) {
        if (member.name().equals(self.name())) {
            boolean refutes =
                    member.state() != MemberState.ALIVE
                                    && member.incarnation() >= self.incarnation()
                                    && !leaving
                            || member.incarnation() > self.incarnation();
            if (refutes && defect != InjectedDefect.REFUTATION_IGNORED) {
                self = self.withState(member.incarnation() + 1, self.state());
                localHealthPenalty = Math.min(MAX_LOCAL_HEALTH_PENALTY, localHealthPenalty + 1);
                gossip(self.name());
                actions.logMemberEvent(
                        now,
                        "denied",
                        self.name(),
                        "was told to be "
                                + member.state().name().toLowerCase(java.util.Locale.ROOT));
            }
            return;
        }
        Peer peer = peers.get(member.name());
        if (peer == null) {
            if (member.state() == MemberState.ALIVE || member.state() == MemberState.SUSPECT) {
                addPeer(now, member);
            }
            return;
        }
        if (!member.overrides(peer.member) && defect != InjectedDefect.OLDER_INCARNATION_WINS) {
            if (member.incarnation() == peer.member.incarnation()
                    && peer.member.zone().isEmpty()
                    && !member.zone().isEmpty()) {
                peer.member =
                        new Member(
                                member.name(),
                                member.zone(),
                                member.incarnation(),
                                peer.member.state(),
                                member.version(),
                                member.weight());
            }
            return;
        }
        applyEvent(
                now,
                peer,
                switch (member.state()) {
                    case ALIVE -> Event.NEWER_ALIVE;
                    case SUSPECT -> Event.SUSPECT_GOSSIP;
                    case DEAD -> Event.DEAD_GOSSIP;
                    case LEFT -> Event.LEFT_GOSSIP;
                },
                member,
                "told");
    }

    private void applyEvent(long now, Peer peer, Event event, Member member, String reason) {
        for (Transition transition : TRANSITIONS) {
            if (transition.state == peer.member.state() && transition.event == event) {
                MemberState before = peer.member.state();
                peer.member = member.withState(transition.next);
                switch (transition.effect) {
                    case NONE -> {}
                    case GOSSIP -> gossip(member.name());
                    case SUSPECT -> {
                        startSuspicion(now, peer);
                        gossip(member.name());
                    }
                    case RETURN -> {
                        recordReturn(now, peer);
                        gossip(member.name());
                    }
                }
                if (before != transition.next) {
                    leases.setUnreachable(
                            now,
                            member.name(),
                            transition.next == MemberState.DEAD
                                    || transition.next == MemberState.LEFT);
                    noteChange(now);
                    actions.logMemberEvent(
                            now,
                            transition.next.name().toLowerCase(java.util.Locale.ROOT),
                            member.name(),
                            reason);
                }
                return;
            }
        }
    }

    /** Who comes and goes is held out of the view for longer each time; quiet time forgives. */
    private void recordReturn(long now, Peer peer) {
        peer.recentReturns =
                peer.recentReturns
                                * Math.pow(
                                        0.5, (double) (now - peer.lastReturnAt) / RETURNS_HALF_LIFE)
                        + 1;
        peer.lastReturnAt = now;
        if (peer.recentReturns > FREE_RETURNS && defect != InjectedDefect.FLAP_DAMPING_OFF) {
            peer.heldOutUntil =
                    now
                            + (long)
                                    Math.min(
                                            MAX_HOLD_DOWN,
                                            FIRST_HOLD_DOWN
                                                    * Math.pow(
                                                            2,
                                                            Math.min(
                                                                    10,
                                                                    peer.recentReturns
                                                                            - FREE_RETURNS)));
        }
    }

    // ---- The view.
    private void noteChange(long now) {
        changedSince = changedSince < 0 ? now : changedSince;
        changedAt = now;
    }

    private void updateView(long now) {
        boolean holdDownEnded =
                peers.values().stream()
                        .anyMatch(peer -> peer.heldOutUntil > 0 && peer.heldOutUntil <= now);
        if (holdDownEnded) {
            peers.values()
                    .forEach(
                            peer ->
                                    peer.heldOutUntil =
                                            peer.heldOutUntil <= now ? 0 : peer.heldOutUntil);
            noteChange(now);
        }
        if (changedSince < 0
                || now - changedAt < VIEW_QUIET_TIME && now - changedSince < MAX_VIEW_DELAY) {
            return;
        }
        changedSince = -1;
        List<String> names = new ArrayList<>(List.of(self.name()));
        peers.forEach(
                (name, peer) -> {
                    if (peer.member.state() == MemberState.ALIVE && peer.heldOutUntil <= now) {
                        names.add(name);
                    }
                });
        Collections.sort(names);
        long hash = hash(names);
        if (hash == view.hash()) {
            return;
        }
        long highest =
                peers.values().stream()
                        .filter(peer -> peer.viewHash != hash)
                        .mapToLong(peer -> peer.viewNumber)
                        .max()
                        .orElse(0);
        long same =
                peers.values().stream()
                        .filter(peer -> peer.viewHash == hash)
                        .mapToLong(peer -> peer.viewNumber)
                        .max()
                        .orElse(0);
        view =
                new MembershipView(
                        same > Math.max(view.number(), highest)
                                ? same
                                : Math.max(view.number(), highest) + 1,
                        hash,
                        List.copyOf(names));
        actions.viewChanged(now, view);
    }

    private static long hash(Collection<String> names) {
        return LongHashFunction.xx3().hashChars(String.join(",", names));
    }

    /** SIGTERM: it says so, a few times over; nobody takes it for dead. */
    public void leave(long now) {
        leaving = true;
        self = self.withState(self.incarnation() + 1, MemberState.LEFT);
        gossip(self.name());
        for (Peer peer : randomPeers(now, 2 * INDIRECT_PROBERS, null)) {
            send(
                    now,
                    peer.address,
                    newMessage(
                            now,
                            peer,
                            MembershipMessage.Kind.PING,
                            ++lastSequence,
                            peer.member.name()));
        }
    }
}
