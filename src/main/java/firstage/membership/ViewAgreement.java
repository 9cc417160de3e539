package firstage.membership;

import firstage.util.Ticks;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * Derives this manager's view: the alive members that are not held out for flapping. A new view is
 * made once the members have not changed for a short time, or at the latest after a maximum delay.
 * Managers with the same members agree on the number of the view: each takes the highest number
 * that peers report for the same hash if it exceeds all numbers known for other hashes, or else one
 * more than the highest of those.
 */
final class ViewAgreement {
    /** Time without a change before a view is made, so that a failed zone leaves in one view. */
    private static final long QUIET_TIME = Ticks.ofMillis(250);

    /** Maximum delay of a view while members keep changing. */
    private static final long MAX_DELAY = Ticks.ofMillis(800);

    private final MemberTable table;
    private final MembershipActions actions;
    private MembershipView view;
    private long changedSince = -1;
    private long changedAt;

    ViewAgreement(MemberTable table, MembershipActions actions) {
        this.table = table;
        this.actions = actions;
        List<String> names = List.of(table.self().name());
        view = new MembershipView(0, hash(names), names);
    }

    MembershipView view() {
        return view;
    }

    /** Records that a member changed its state. */
    void onMemberChanged(long now) {
        changedSince = changedSince < 0 ? now : changedSince;
        changedAt = now;
    }

    /** Returns whether all members of the view report the same view. */
    boolean isAgreed() {
        return view.memberNames().stream()
                .filter(name -> !name.equals(table.self().name()))
                .map(table::peer)
                .allMatch(p -> p.viewHash() == view.hash() && p.viewNumber() == view.number());
    }

    /** Adopts the number of a peer's view that has the same members and a higher number. */
    void onPeerView(long number, long hash) {
        if (number > view.number() && hash == view.hash()) {
            view = new MembershipView(number, view.hash(), view.memberNames());
        }
    }

    /**
     * Makes a new view once the members have not changed for the quiet time, or after the maximum
     * delay.
     */
    void update(long now) {
        endHoldDowns(now);
        if (changedSince < 0 || now - changedAt < QUIET_TIME && now - changedSince < MAX_DELAY) {
            return;
        }
        changedSince = -1;
        List<String> names = new ArrayList<>(List.of(table.self().name()));
        for (Peer peer : table.peers()) {
            if (peer.state() == MemberState.ALIVE && !peer.damping().isHeldOut(now)) {
                names.add(peer.name());
            }
        }
        Collections.sort(names);
        long hash = hash(names);
        if (hash != view.hash()) {
            view = new MembershipView(nextNumber(hash), hash, List.copyOf(names));
            actions.viewChanged(now, view);
        }
    }

    private void endHoldDowns(long now) {
        boolean ended = false;
        for (Peer peer : table.peers()) {
            ended |= peer.damping().endIfExpired(now);
        }
        if (ended) {
            onMemberChanged(now);
        }
    }

    private long nextNumber(long hash) {
        long highestOther = view.number();
        long highestSame = 0;
        for (Peer peer : table.peers()) {
            if (peer.viewHash() == hash) {
                highestSame = Math.max(highestSame, peer.viewNumber());
            } else {
                highestOther = Math.max(highestOther, peer.viewNumber());
            }
        }
        return highestSame > highestOther ? highestSame : highestOther + 1;
    }

    private static long hash(Collection<String> names) {
        return LongHashFunction.xx3().hashChars(String.join(",", names));
    }
}
