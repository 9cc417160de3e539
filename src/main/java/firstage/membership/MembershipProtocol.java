package firstage.membership;

import firstage.util.Ticks;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * One manager's knowledge of the others. Takes datagrams and the time and orders the steps: {@link
 * FailureDetector} finds out who does not answer, {@link MemberTransition} says what becomes of a
 * member, {@link GossipQueue} and {@link MessageSender} pass it on, {@link ViewAgreement} makes the
 * view of it, {@link FlapDamping} keeps those out of it that come and go.
 *
 * <p>A suspect leaves the view at once, so that nothing new is shared with it. It is declared dead
 * only after it was unresponsive for longer than any pause that is tolerated, and until then can
 * refute the suspicion with a higher incarnation. A process that was paused ignores what it
 * observed before the pause. Times are ticks of a clock that only goes forward.
 */
public final class MembershipProtocol {
    /** Between two ticks: this process stood still; two probe periods. */
    private static final long PAUSE_THRESHOLD = Ticks.ofMillis(400);

    /** Sends all to one peer: what gossip missed comes within this. */
    private static final long SYNC_INTERVAL = Ticks.ofSeconds(10);

    /** Invented names must not fill the memory. */
    private static final int MAX_MEMBERS = 2_048;

    /** Of the members' last sign of life, for {@link #confidence}. */
    private static final long CONFIDENCE_WINDOW = 5 * Peer.UNHEARD_AFTER;

    /** Defects that tests put in one at a time, to show that they are found. */
    public enum InjectedDefect {
        NONE,
        REFUTATION_IGNORED,
        OLDER_INCARNATION_WINS,
        FLAP_DAMPING_OFF,
        PAUSE_NOT_DETECTED,
        NO_INDIRECT_PROBES,
        ISOLATED_MANAGER_JUDGES
    }

    private final String fleet;
    private final long period;
    private final RandomGenerator random;
    private final QuotaLeases leases;
    private final MembershipActions actions;
    private final InjectedDefect defect;
    private final MessageCodec codec;
    private final MemberTable table;
    private final ViewAgreement views;
    private final MessageSender sender;
    private final FailureDetector detector;
    private final Map<String, Long> rejectedMessages = new TreeMap<>();
    private long nextSyncAt;
    private long lastTickAt = -1;
    private boolean leaving;

    /**
     * A manager that knows nobody yet.
     *
     * @param fleet messages of another fleet are rejected
     * @param self this manager, alive
     * @param addresses how many addresses peers may be at
     * @param period between two probes, in ticks
     * @param maxDatagramBytes what one datagram may hold
     * @param random draws whom to probe and to ask
     * @param leases keeps who may use which part of the engines
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
        this.period = period;
        this.random = random;
        this.leases = leases;
        this.actions = actions;
        this.defect = defect;
        codec = new MessageCodec(maxDatagramBytes);
        table = new MemberTable(self, addresses);
        views = new ViewAgreement(table, actions);
        sender = new MessageSender(fleet, table, views, leases, actions, codec);
        detector = new FailureDetector(table, period, random, new DetectorEffects(), defect);
    }

    /** What the failure detector wants done. */
    private final class DetectorEffects implements FailureDetectorActions {
        @Override
        public void sendPing(long now, int address, long sequence, String target) {
            Peer peer = target.isEmpty() ? null : table.peer(target);
            sender.sendTo(now, address, peer, MembershipMessage.Kind.PING, sequence, target);
        }

        @Override
        public void sendPingRequest(long now, Peer helper, long sequence, String target) {
            sender.send(now, helper, MembershipMessage.Kind.PING_REQUEST, sequence, target);
        }

        @Override
        public void peerUnanswered(long now, Peer peer, String reason) {
            Member suspect = peer.member().withState(MemberState.SUSPECT);
            applyEvent(now, peer, MemberTransition.Event.UNANSWERED, suspect, reason);
        }

        @Override
        public void suspicionTimedOut(long now, Peer peer, String reason) {
            Member dead = peer.member().withState(MemberState.DEAD);
            applyEvent(now, peer, MemberTransition.Event.SUSPICION_TIMEOUT, dead, reason);
        }
    }

    /** The members that count now, under their number. */
    public MembershipView view() {
        return views.view();
    }

    /** This manager's name. */
    public String name() {
        return table.self().name();
    }

    /** All that is known, this manager first. */
    public List<Member> members() {
        return table.members();
    }

    /** Whether all members of the view say that they have the same. */
    public boolean viewAgreed() {
        return views.isAgreed();
    }

    /**
     * Of the other members of the view, the part that was heard of lately, from 0 to 1; 0 where
     * nobody answers.
     */
    public double confidence(long now) {
        if (detector.isIsolated(now)) {
            return 0;
        }
        List<String> names = views.view().memberNames();
        long heard =
                names.stream()
                        .map(table::peer)
                        .filter(peer -> peer != null)
                        .filter(peer -> now - peer.lastAliveAt() < CONFIDENCE_WINDOW)
                        .count();
        long others = names.size() - 1;
        return others == 0 ? 1 : (double) heard / others;
    }

    /**
     * How the link to a member is: ok, deaf (this manager does not hear it), unheard (it does not
     * hear this manager), cut; none where it is unknown, dead or has left.
     */
    public String linkState(long now, String name) {
        Peer peer = table.peer(name);
        return peer == null || !peer.isJudged() ? "none" : peer.linkState(now, name());
    }

    /** Messages that changed nothing, by cause. */
    public Map<String, Long> rejectedMessages() {
        return rejectedMessages;
    }

    /** To be called each 20 ms or so; a longer gap is taken for a pause of this process. */
    public void tick(long now) {
        if (lastTickAt < 0) {
            nextSyncAt = now + period;
            detector.start(now);
        } else if (now - lastTickAt > PAUSE_THRESHOLD
                && defect != InjectedDefect.PAUSE_NOT_DETECTED) {
            onPauseDetected(now, now - lastTickAt);
        }
        lastTickAt = now;
        detector.expire(now);
        detector.probe(now, leaving);
        if (now >= nextSyncAt && !leaving) {
            nextSyncAt = now + SYNC_INTERVAL / 2 + random.nextLong(SYNC_INTERVAL);
            table.randomAlive(random, 1, null)
                    .forEach(p -> sender.sendAllMembers(now, p, MembershipMessage.Kind.SYNC));
        }
        views.update(now);
    }

    /**
     * This process was stopped, or the machine had no time for it. Others may hold it for dead: it
     * refutes at once what may have been said of it.
     */
    private void onPauseDetected(long now, long gap) {
        detector.onPause(now, gap);
        Member self = table.self();
        raiseIncarnation(self.incarnation() + 1, self.state());
        actions.logMemberEvent(
                now, "woke", self.name(), "stopped for " + Ticks.toMillis(gap) + " ms");
        // Who suspects this manager hears of it before the suspicion ends.
        table.randomAlive(random, FailureDetector.INDIRECT_PROBERS, null)
                .forEach(peer -> detector.pingNow(now, peer));
    }

    private void raiseIncarnation(long incarnation, MemberState state) {
        table.updateSelf(table.self().withIncarnation(incarnation, state));
        sender.gossip(name());
    }

    /**
     * A datagram that came from the address of this index; the caller drops those from any other.
     */
    public void onDatagram(long now, int address, byte[] bytes) {
        MembershipMessage message;
        try {
            message = codec.decode(bytes);
        } catch (MessageCodec.MalformedMessageException malformed) {
            reject(malformed.getMessage());
            return;
        }
        if (!mayAccept(now, address, message)) {
            return;
        }
        Peer peer = table.peer(message.from());
        if (peer == null) {
            if (!mayAdd()) {
                return;
            }
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
        }
        accept(now, address, peer, message);
    }

    private void reject(String reason) {
        rejectedMessages.merge(reason, 1L, Long::sum);
    }

    /**
     * Whether the message is of this fleet and of the manager that has the name now. Also counts
     * and logs why not, and answers a sender with an old incarnation.
     */
    private boolean mayAccept(long now, int address, MembershipMessage message) {
        if (!message.fleet().equals(fleet)) {
            reject("another fleet");
            return false;
        }
        if (message.from().equals(name())) {
            reject("our own name");
            return false;
        }
        Peer peer = table.peer(message.from());
        if (peer == null) {
            return true;
        }
        if (message.incarnation() < peer.member().incarnation()) {
            reject("an older life");
            if (peer.timeSinceHeard(now) > period
                    && peer.address() == address
                    && peer.state() != MemberState.LEFT) {
                // After a clock was set back a restart has a lower incarnation: by this message it
                // learns the higher one and goes beyond.
                sender.send(now, peer, MembershipMessage.Kind.INDIRECT_ACK, 0, message.from());
            }
            return false;
        }
        if (peer.hasAddress()
                && peer.address() != address
                && peer.state() == MemberState.ALIVE
                && peer.timeSinceHeard(now) < Peer.UNHEARD_AFTER) {
            reject("two of one name");
            actions.logMemberEvent(
                    now,
                    "doubled",
                    message.from(),
                    "two managers have this name; give each its own");
            return false;
        }
        return true;
    }

    private void accept(long now, int address, Peer peer, MembershipMessage message) {
        boolean wasDead = peer.state() == MemberState.DEAD;
        peer.onMessage(now, address, message);
        table.heardAt(address, message.from());
        message.members().forEach(member -> applyGossip(now, member));
        if (wasDead && peer.state() == MemberState.ALIVE) {
            // Two halves that were cut from each other meet: each sends all it knows at once.
            sender.sendAllMembers(now, peer, MembershipMessage.Kind.SYNC);
        }
        actions.digestReceived(now, message.from(), message.digest());
        answer(now, peer, message);
        views.onPeerView(message.viewNumber(), message.viewHash());
    }

    private void answer(long now, Peer peer, MembershipMessage message) {
        switch (message.kind()) {
            case PING ->
                    sender.send(
                            now,
                            peer,
                            MembershipMessage.Kind.ACK,
                            message.sequence(),
                            message.from());
            case ACK -> onAck(now, peer, message);
            case PING_REQUEST -> {
                Peer target = table.peer(message.target());
                if (target != null && target.hasAddress()) {
                    detector.pingFor(now, target, message.from(), message.sequence());
                }
            }
            case INDIRECT_ACK -> detector.onIndirectAck(now, message.sequence(), message.target());
            case SYNC -> sender.sendAllMembers(now, peer, MembershipMessage.Kind.SYNC_REPLY);
            case SYNC_REPLY -> {}
        }
    }

    private void onAck(long now, Peer peer, MembershipMessage message) {
        FailureDetector.AnsweredProbe probe = detector.onAck(now, message.sequence());
        if (probe == null) {
            reject("an answer to nothing");
            return;
        }
        leases.onResponse(
                now, probe.sentAt(), peer.name(), message.grantsQuota(), message.withdrawnGrants());
        Peer requester = probe.requester() == null ? null : table.peer(probe.requester());
        if (requester != null) {
            sender.send(
                    now,
                    requester,
                    MembershipMessage.Kind.INDIRECT_ACK,
                    probe.requesterSequence(),
                    message.from());
        }
    }

    private boolean mayAdd() {
        boolean room = table.peerCount() < MAX_MEMBERS;
        if (!room) {
            reject("too many members");
        }
        return room;
    }

    private Peer addPeer(long now, Member member) {
        Peer peer = table.add(member);
        if (member.state() == MemberState.SUSPECT) {
            detector.startSuspicion(now, peer);
        }
        sender.gossip(member.name());
        views.onMemberChanged(now);
        actions.logMemberEvent(now, "joined", member.name(), "heard of, " + word(member.state()));
        return peer;
    }

    /** What another says of a member, this one among them. */
    private void applyGossip(long now, Member member) {
        if (member.name().equals(name())) {
            refuteIfWrong(now, member);
            return;
        }
        Peer peer = table.peer(member.name());
        if (peer == null) {
            boolean present =
                    member.state() == MemberState.ALIVE || member.state() == MemberState.SUSPECT;
            if (present && mayAdd()) {
                addPeer(now, member);
            }
        } else if (member.overrides(peer.member())
                || defect == InjectedDefect.OLDER_INCARNATION_WINS) {
            applyEvent(now, peer, eventOf(member.state()), member, "told");
        } else if (member.incarnation() == peer.member().incarnation()
                && peer.member().zone().isEmpty()
                && !member.zone().isEmpty()) {
            // It was first heard by a message without a record of its own.
            peer.update(member.withState(peer.state()));
        }
    }

    private void refuteIfWrong(long now, Member told) {
        Member self = table.self();
        boolean wrong =
                told.state() != MemberState.ALIVE
                                && told.incarnation() >= self.incarnation()
                                && !leaving
                        || told.incarnation() > self.incarnation();
        if (wrong && defect != InjectedDefect.REFUTATION_IGNORED) {
            detector.onRefutation();
            raiseIncarnation(told.incarnation() + 1, self.state());
            actions.logMemberEvent(
                    now, "denied", self.name(), "was told to be " + word(told.state()));
        }
    }

    private static MemberTransition.Event eventOf(MemberState told) {
        return switch (told) {
            case ALIVE -> MemberTransition.Event.NEWER_ALIVE;
            case SUSPECT -> MemberTransition.Event.SUSPECT_GOSSIP;
            case DEAD -> MemberTransition.Event.DEAD_GOSSIP;
            case LEFT -> MemberTransition.Event.LEFT_GOSSIP;
        };
    }

    private void applyEvent(
            long now, Peer peer, MemberTransition.Event event, Member member, String reason) {
        MemberState before = peer.state();
        MemberTransition transition = MemberTransition.find(before, event);
        if (transition == null) {
            return;
        }
        MemberState next = transition.next();
        peer.update(member.withState(next));
        switch (transition.effect()) {
            case NONE -> {}
            case GOSSIP -> sender.gossip(member.name());
            case SUSPECT -> {
                detector.startSuspicion(now, peer);
                sender.gossip(member.name());
            }
            case RETURN -> {
                peer.damping().recordReturn(now, defect != InjectedDefect.FLAP_DAMPING_OFF);
                sender.gossip(member.name());
            }
        }
        if (before != next) {
            boolean unreachable = next == MemberState.DEAD || next == MemberState.LEFT;
            leases.setUnreachable(now, member.name(), unreachable);
            views.onMemberChanged(now);
            actions.logMemberEvent(now, word(next), member.name(), reason);
        }
    }

    private static String word(MemberState state) {
        return state.name().toLowerCase(Locale.ROOT);
    }

    /** This manager ends by intent; it says so to some, and nobody takes it for dead. */
    public void leave(long now) {
        leaving = true;
        raiseIncarnation(table.self().incarnation() + 1, MemberState.LEFT);
        for (Peer peer : table.randomAlive(random, 2 * FailureDetector.INDIRECT_PROBERS, null)) {
            sender.send(
                    now, peer, MembershipMessage.Kind.PING, detector.nextSequence(), peer.name());
        }
    }
}
