package firstage.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/** This manager's own member record and its peers, by name and by address. */
final class MemberTable {
    private final TreeMap<String, Peer> peers = new TreeMap<>();

    /** Name of the peer that last sent a message from each address, by index of the address. */
    private final String[] nameByAddress;

    private Member self;

    MemberTable(Member self, int addressCount) {
        this.self = self;
        nameByAddress = new String[addressCount];
    }

    Member self() {
        return self;
    }

    void updateSelf(Member next) {
        self = next;
    }

    /** Returns the peer of this name, or null. */
    Peer peer(String name) {
        return peers.get(name);
    }

    Collection<Peer> peers() {
        return peers.values();
    }

    List<String> peerNames() {
        return new ArrayList<>(peers.keySet());
    }

    int peerCount() {
        return peers.size();
    }

    Peer add(Member member) {
        Peer peer = new Peer(member);
        peers.put(member.name(), peer);
        return peer;
    }

    void recordAddress(int address, String name) {
        nameByAddress[address] = name;
    }

    /** Returns the peer that last sent a message from an address, or null. */
    Peer peerAt(int address) {
        return nameByAddress[address] == null ? null : peers.get(nameByAddress[address]);
    }

    int addressCount() {
        return nameByAddress.length;
    }

    /** Returns the records of all known members, this manager first. */
    List<Member> members() {
        List<Member> all = new ArrayList<>(List.of(self));
        peers.values().forEach(peer -> all.add(peer.member()));
        return all;
    }

    /**
     * Returns up to {@code count} random alive peers with known addresses, other than the peer
     * named {@code except}.
     */
    List<Peer> randomAlive(RandomGenerator random, int count, String except) {
        List<Peer> candidates =
                new ArrayList<>(
                        peers.values().stream()
                                .filter(p -> p.state() == MemberState.ALIVE && p.hasAddress())
                                .filter(p -> !p.name().equals(except))
                                .toList());
        List<Peer> chosen = new ArrayList<>();
        while (chosen.size() < count && !candidates.isEmpty()) {
            chosen.add(candidates.remove(random.nextInt(candidates.size())));
        }
        return chosen;
    }
}
