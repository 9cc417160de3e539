package firstage.membership;

import firstage.util.Ticks;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Membership protocol of one manager. Receives datagrams and the time, and directs its parts:
 * {@link FailureDetector} detects unresponsive peers, {@link MemberTransition} defines the state
 * changes of a member, {@link GossipQueue} and {@link MessageSender} spread them, {@link
 * ViewAgreement} derives the view from them, and {@link FlapDamping} holds flapping members out of
 * the view.
 *
 * <p>A suspect is left out of the next view, so that nothing new is shared with it. It is declared
 * dead only after it was unresponsive for longer than any tolerated pause; until then it can refute
 * the suspicion with a higher incarnation. A process that was paused discards what it observed
 * before the pause. Times are ticks of a monotonic clock.
 */
public final class MembershipProtocol {
    /**
     * Gap between two calls of {@link #tick} above which this process counts as paused: two probe
     * periods.
     */
    private static final long PAUSE_THRESHOLD = Ticks.ofMillis(400);

    /** Mean interval between full syncs with a random peer, which repair what gossip missed. */
    private static final long SYNC_INTERVAL = Ticks.ofSeconds(10);

    /** Limit of known peers, so that forged names can't exhaust the memory. */
    private static final int MAX_MEMBERS = 2_048;

    /**
     * Maximum age of a member's last sign of life that counts for {@link #recentlyAliveFraction}.
     */
    private static final long RECENTLY_ALIVE_WINDOW = 5 * Peer.UNHEARD_AFTER;

    /** Defects that tests inject one at a time, to prove that the checks detect them. */
    public enum InjectedDefect {
        NONE,
        REFUTATION_IGNORED,
        OLDER_INCARNATION_WINS,
        FLAP_DAMPING_OFF,
        PAUSE_NOT_DETECTED,
        NO_INDIRECT_PROBES,
        ISOLATED_MANAGER_REPORTS_FAILURES
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
     * Creates the protocol of a manager that knows no peers yet.
     *
     * @param fleet name of the fleet; messages of another fleet are rejected
     * @param self record of this manager, in state alive
     * @param addressCount number of configured peer addresses
     * @param period interval between two probes, in ticks
     * @param maxDatagramBytes maximum size of a datagram
     * @param random chooses the peers to probe and to ask for indirect probes
     * @param leases quota leases, whose grants and withdrawals travel with acks
     */
    public MembershipProtocol(
            String fleet,
            Member self,
            int addressCount,
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
        table = new MemberTable(self, addressCount);
        views = new ViewAgreement(table, actions);
        sender = new MessageSender(fleet, table, views, leases, actions, codec);
        detector = new FailureDetector(table, period, random, new DetectorActions(), defect);
    }

    /** Carries out the effects of the failure detector. */
    private final class DetectorActions implements FailureDetectorActions {
        @Override
        public void sendPing(long now, int address, long sequence, String target) {
            Peer peer = target.isEmpty() ? null : table.peer(target);
            sender.sendTo(now, address, peer, MembershipMessage.Kind.PING, sequence, target);
        }

        @Override
        public void sendPingRequest(long now, Peer prober, long sequence, String target) {
            sender.send(now, prober, MembershipMessage.Kind.PING_REQUEST, sequence, target);
        }

        @Override
        public void peerUnresponsive(long now, Peer peer, String reason) {
            Member suspect = peer.member().withState(MemberState.SUSPECT);
            applyEvent(now, peer, MemberTransition.Event.PROBE_UNANSWERED, suspect, reason);
        }

        @Override
        public void suspicionTimedOut(long now, Peer peer, String reason) {
            Member dead = peer.member().withState(MemberState.DEAD);
            applyEvent(now, peer, MemberTransition.Event.SUSPICION_TIMEOUT, dead, reason);
        }
    }

    /** Returns the current view. */
    public MembershipView view() {
        return views.view();
    }

    /** Returns this manager's name. */
    public String name() {
        return table.self().name();
    }

    /** Returns the records of all known members, this manager first. */
    public List<Member> members() {
        return table.members();
    }

    /** Returns whether all members of the view report the same view. */
    public boolean viewAgreed() {
        return views.isAgreed();
    }

    /**
     * Returns the fraction, from 0 to 1, of the other members of the view that were recently known
     * to be alive; 0 if this manager is isolated, 1 if the view has no other members.
     */
    public double recentlyAliveFraction(long now) {
        if (detector.isIsolated(now)) {
            return 0;
        }
        List<String> names = views.view().memberNames();
        long recentlyAlive =
                names.stream()
                        .map(table::peer)
                        .filter(peer -> peer != null)
                        .filter(peer -> now - peer.lastAliveAt() < RECENTLY_ALIVE_WINDOW)
                        .count();
        long others = names.size() - 1;
        return others == 0 ? 1 : (double) recentlyAlive / others;
    }

    /**
     * Returns the state of the link to a member: ok, deaf (this manager receives nothing from the
     * member), unheard (the member receives nothing from this manager), cut (both), or none if the
     * member is unknown, dead or left.
     */
    public String linkState(long now, String name) {
        Peer peer = table.peer(name);
        return peer == null || !peer.isAliveOrSuspect() ? "none" : peer.linkState(now, name());
    }

    /** Returns the number of rejected messages by reason. */
    public Map<String, Long> rejectedMessages() {
        return rejectedMessages;
    }

    /**
     * Sends probes and syncs that are due and handles timeouts; to be called about every 20 ms. A
     * much longer gap between calls counts as a pause of this process.
     */
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
     * Handles a pause of this process, which was stopped or got no processor time. Others may
     * consider this manager dead, so it raises its incarnation at once to refute that.
     */
    private void onPauseDetected(long now, long gap) {
        detector.onPause(now, gap);
        Member self = table.self();
        raiseIncarnation(self.incarnation() + 1, self.state());
        actions.logMemberEvent(
                now, "woke", self.name(), "paused for " + Ticks.toMillis(gap) + " ms");
        // Peers that suspect this manager learn its new incarnation before the suspicion ends.
        table.randomAlive(random, FailureDetector.INDIRECT_PROBERS, null)
                .forEach(peer -> detector.pingNow(now, peer));
    }

    private void raiseIncarnation(long incarnation, MemberState state) {
        table.updateSelf(table.self().withIncarnation(incarnation, state));
        sender.gossip(name());
    }

    /**
     * Handles a datagram from the peer address with this index; the caller drops datagrams from
     * unknown addresses.
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
     * Returns whether the message is of this fleet and from the manager that owns the sender's name
     * now. Otherwise counts the rejection; also logs a name that two managers use, and answers a
     * sender with an old incarnation.
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
                // A manager that restarted after its clock was set back has too low an
                // incarnation. A message to a suspect or dead peer carries the peer's own record:
                // the manager learns the higher incarnation from it and exceeds that one.
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
                    "two managers use this name; give each manager a name of its own");
            return false;
        }
        if (isLateMessageOfReplacedPeer(now, address, peer, message)) {
            reject("replaced at its address");
            return false;
        }
        return true;
    }

    /**
     * Returns whether another manager has replaced the sender at its address, and the sender sent
     * this message before. A sender that has been started there again has a higher incarnation.
     */
    private boolean isLateMessageOfReplacedPeer(
            long now, int address, Peer peer, MembershipMessage message) {
        Peer successor = table.peerAt(address);
        return !peer.hasAddress()
                && successor != null
                && successor != peer
                && successor.timeSinceHeard(now) < Peer.UNHEARD_AFTER
                && message.incarnation() <= peer.member().incarnation();
    }

    private void accept(long now, int address, Peer peer, MembershipMessage message) {
        boolean wasDead = peer.state() == MemberState.DEAD;
        replacePredecessor(now, address, peer);
        peer.onMessage(now, address, message);
        table.recordAddress(address, message.from());
        message.members().forEach(member -> applyGossip(now, member));
        if (wasDead && peer.state() == MemberState.ALIVE) {
            // Two partitions of the fleet meet again: each sends all its records at once.
            sender.sendAllMembers(now, peer, MembershipMessage.Kind.SYNC);
        }
        actions.digestReceived(now, message.from(), message.digest());
        answer(now, peer, message);
        views.onPeerView(message.viewNumber(), message.viewHash());
    }

    /**
     * Handles the first message of a manager from an address that a manager of another name used.
     * An address has one process at a time, so the earlier manager has ended there. Its share is
     * the successor's now: both must never count.
     */
    private void replacePredecessor(long now, int address, Peer successor) {
        Peer predecessor = table.peerAt(address);
        if (predecessor == null || predecessor == successor || predecessor.address() != address) {
            return;
        }
        predecessor.forgetAddress();
        leases.onReplaced(predecessor.name(), successor.name());
        applyEvent(
                now,
                predecessor,
                MemberTransition.Event.PROBE_UNANSWERED,
                predecessor.member().withState(MemberState.SUSPECT),
                successor.name() + " sends from its address");
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
        boolean hasRoom = table.peerCount() < MAX_MEMBERS;
        if (!hasRoom) {
            reject("too many members");
        }
        return hasRoom;
    }

    private Peer addPeer(long now, Member member) {
        Peer peer = table.add(member);
        if (member.state() == MemberState.SUSPECT) {
            detector.startSuspicion(now, peer);
        }
        sender.gossip(member.name());
        views.onMemberChanged(now);
        actions.logMemberEvent(
                now, "joined", member.name(), "first reported as " + lowerCaseName(member.state()));
        return peer;
    }

    /** Applies the gossiped record of a member, which may be this manager. */
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
            applyEvent(now, peer, eventOf(member.state()), member, "reported by gossip");
        } else if (member.incarnation() == peer.member().incarnation()
                && peer.member().zone().isEmpty()
                && !member.zone().isEmpty()) {
            // The peer became known by a message without its record; this record adds its zone,
            // version and weight.
            peer.update(member.withState(peer.state()));
        }
    }

    private void refuteIfWrong(long now, Member reported) {
        Member self = table.self();
        boolean wrong =
                reported.state() != MemberState.ALIVE
                                && reported.incarnation() >= self.incarnation()
                                && !leaving
                        || reported.incarnation() > self.incarnation();
        if (wrong && defect != InjectedDefect.REFUTATION_IGNORED) {
            detector.onRefutation();
            raiseIncarnation(reported.incarnation() + 1, self.state());
            actions.logMemberEvent(
                    now,
                    "denied",
                    self.name(),
                    "was reported as " + lowerCaseName(reported.state()));
        }
    }

    private static MemberTransition.Event eventOf(MemberState reported) {
        return switch (reported) {
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
            boolean gone = next == MemberState.DEAD || next == MemberState.LEFT;
            // Without an address its share may be that of a successor at the same address.
            leases.setUnreachable(now, member.name(), gone && peer.hasAddress());
            views.onMemberChanged(now);
            actions.logMemberEvent(now, lowerCaseName(next), member.name(), reason);
        }
    }

    private static String lowerCaseName(MemberState state) {
        return state.name().toLowerCase(Locale.ROOT);
    }

    /** Announces to some peers that this manager shuts down, so that no peer declares it dead. */
    public void leave(long now) {
        leaving = true;
        raiseIncarnation(table.self().incarnation() + 1, MemberState.LEFT);
        for (Peer peer : table.randomAlive(random, 2 * FailureDetector.INDIRECT_PROBERS, null)) {
            sender.send(
                    now, peer, MembershipMessage.Kind.PING, detector.nextSequence(), peer.name());
        }
    }
}
