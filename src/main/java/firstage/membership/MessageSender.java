package firstage.membership;

import java.util.ArrayList;
import java.util.List;

/** Builds messages, attaches gossip about changed members to each, and sends them. */
final class MessageSender {
    /** Maximum number of unheard members that one message lists. */
    private static final int MAX_UNHEARD_NAMED = 8;

    private final String fleet;
    private final MemberTable table;
    private final ViewAgreement views;
    private final QuotaLeases leases;
    private final MembershipActions actions;
    private final MessageCodec codec;
    private final GossipQueue gossip = new GossipQueue();

    MessageSender(
            String fleet,
            MemberTable table,
            ViewAgreement views,
            QuotaLeases leases,
            MembershipActions actions,
            MessageCodec codec) {
        this.fleet = fleet;
        this.table = table;
        this.views = views;
        this.leases = leases;
        this.actions = actions;
        this.codec = codec;
    }

    /** Queues the changed record of a member for gossip. */
    void gossip(String name) {
        gossip.add(name);
    }

    /** Sends a message to a peer, at the address that its last message came from. */
    void send(long now, Peer to, MembershipMessage.Kind kind, long sequence, String target) {
        send(to.address(), newMessage(now, to, kind, sequence, target));
    }

    /** Sends a message to an address; {@code to} is the peer expected there, or null. */
    void sendTo(
            long now,
            int address,
            Peer to,
            MembershipMessage.Kind kind,
            long sequence,
            String target) {
        send(address, newMessage(now, to, kind, sequence, target));
    }

    /** Sends the records of all known members, in as many datagrams as needed. */
    void sendAllMembers(long now, Peer to, MembershipMessage.Kind kind) {
        List<Member> all = table.members();
        int recordsPerMessage = codec.maxMembers(actions.outgoingDigest(now).length);
        for (int from = 0; from < all.size(); from += recordsPerMessage) {
            List<Member> batch = all.subList(from, Math.min(all.size(), from + recordsPerMessage));
            send(to.address(), newMessage(now, to, kind, 0, "").withMembers(batch));
        }
    }

    private void send(int address, MembershipMessage message) {
        if (address >= 0) {
            actions.send(address, message.kind(), codec.encode(message));
        }
    }

    private MembershipMessage newMessage(
            long now, Peer to, MembershipMessage.Kind kind, long sequence, String target) {
        byte[] digest = actions.outgoingDigest(now);
        List<Member> records = recordsFor(to, digest.length);
        boolean isAck = kind == MembershipMessage.Kind.ACK;
        boolean grantsQuota = isAck && to != null && leases.tryGrant(now, to.name());
        Member self = table.self();
        MembershipView view = views.view();
        return new MembershipMessage(
                fleet,
                self.name(),
                self.incarnation(),
                kind,
                sequence,
                target,
                view.number(),
                view.hash(),
                to == null ? -1 : to.lastHeardAgo(now),
                grantsQuota,
                isAck ? leases.withdrawGrants(now) : List.of(),
                unheardMembers(now),
                records,
                digest);
    }

    private List<Member> recordsFor(Peer to, int digestBytes) {
        List<Member> records = new ArrayList<>(List.of(table.self()));
        if (to != null && to.state() != MemberState.ALIVE) {
            // A peer that is not alive receives its own record first, so that its next message can
            // refute it.
            records.add(to.member());
        }
        gossip.takeInto(
                records,
                codec.maxMembers(digestBytes) - records.size(),
                GossipQueue.sendsPerChange(table.peerCount()),
                name -> table.peer(name) == null ? table.self() : table.peer(name).member());
        return records;
    }

    /** Returns alive members from which other managers receive messages but this one does not. */
    private List<String> unheardMembers(long now) {
        List<String> names = new ArrayList<>();
        for (Peer peer : table.peers()) {
            if (peer.state() == MemberState.ALIVE
                    && peer.timeSinceHeard(now) > Peer.UNHEARD_AFTER
                    && peer.timeSinceIndirectlyHeard(now) < Peer.UNHEARD_AFTER
                    && names.size() < MAX_UNHEARD_NAMED) {
                names.add(peer.name());
            }
        }
        return names;
    }
}
