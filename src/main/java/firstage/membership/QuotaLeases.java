package firstage.membership;

import firstage.util.Ticks;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Who may use which part of the engines. Half of a manager's share, its floor, is its own for good.
 * The other half it uses while enough managers have lately given it their word; where a majority
 * has withdrawn that word, the others may use it, each the same fixed piece. Enough is what leaves
 * no majority without it, so any two such sets have a member in common; and that one, having given
 * its word, withdraws it only after a time longer than a word lasts, and gives it anew only after a
 * time longer than a withdrawal lasts. So the parts in use never pass the whole, in whatever order
 * messages are lost, late or doubled, and whoever is stopped or started anew.
 *
 * <p>Each word is reckoned from when the one who uses it asked, by its own clock; each wait from
 * when the one who gave it answered, by its own. Clocks must run alike to a twentieth; they need
 * not agree. A process that was stopped looks at its clock before it uses a word: {@link #share} is
 * to be asked before each dispatch. Times are tenths of a millisecond.
 */
public final class QuotaLeases {
    /** Of a manager's share that is its own for good: cut off from all, it still serves half. */
    static final double GUARANTEED_FRACTION = 0.5;

    /**
     * The least time that a word lasts: many probe rounds of a small fleet, so that loss alone
     * seldom ends it.
     */
    private static final long MIN_GRANT_DURATION = Ticks.ofSeconds(3);

    /** Rounds in which each is asked once: a word lasts so many. */
    private static final double GRANT_PROBE_ROUNDS = 1.5;

    /**
     * Clocks run alike to a twentieth; the rest is for what is between looking at a clock and
     * acting.
     */
    private static final double CLOCK_DRIFT_FACTOR = 1.05;

    private static final long WAIT_MARGIN = Ticks.ofMillis(150);
    private static final long NEVER = Long.MIN_VALUE / 4;

    /** Faults put back one at a time. */
    public enum InjectedDefect {
        NONE,
        NO_WITHDRAWAL_WAIT,
        PREVIOUS_INCARNATION_FORGOTTEN,
        MINORITY_SUFFICES,
        GRANT_TIMED_FROM_RESPONSE
    }

    /** How this manager holds another. */
    private static final class PeerGrant {
        private boolean unreachable;
        private long grantedAt = NEVER;
        private long withdrawnAt = NEVER;
    }

    private final int managers;
    private final double fullShare;
    private final int majority;
    private final int quorum;
    private final long grantDuration;
    private final long withdrawalWait;
    private final InjectedDefect defect;
    private final LeaseActions actions;
    private final Map<String, PeerGrant> peers = new HashMap<>();

    /** Until when each one's word to this manager counts. */
    private final Map<String, Long> grantExpiries = new HashMap<>();

    /** By member, who withdrew its word from it, and until when that counts. */
    private final Map<String, Map<String, Long>> withdrawalExpiries = new HashMap<>();

    private final boolean mayHaveWithdrawnBefore;
    private long startedAt = -1;
    private boolean storeRequested;
    private boolean withdrawalMarkStored;
    private double share = -1;
    private long shareUntil;

    /**
     * {@code managers}: how many managers there are by the settings; {@code period} between two
     * probes of one manager; {@code mayHaveWithdrawnBefore}: the life before may have withdrawn
     * words.
     */
    public QuotaLeases(
            int managers,
            long period,
            boolean mayHaveWithdrawnBefore,
            LeaseActions actions,
            InjectedDefect defect) {
        this(
                managers,
                1.0 / Math.max(1, managers),
                period,
                mayHaveWithdrawnBefore,
                actions,
                defect);
    }

    /**
     * In a fleet of cells: {@code managers} in this manager's cell, {@code fullShare} of each
     * engine that is its own. Words are among those of a cell only, so their length and their
     * majority do not grow with the fleet.
     */
    public QuotaLeases(
            int managers,
            double fullShare,
            long period,
            boolean mayHaveWithdrawnBefore,
            LeaseActions actions,
            InjectedDefect defect) {
        this.managers = Math.max(1, managers);
        this.fullShare = fullShare;
        this.mayHaveWithdrawnBefore =
                mayHaveWithdrawnBefore && defect != InjectedDefect.PREVIOUS_INCARNATION_FORGOTTEN;
        this.actions = actions;
        this.defect = defect;
        majority = this.managers / 2 + 1;
        quorum = this.managers - majority + 1;
        grantDuration =
                Math.max(MIN_GRANT_DURATION, (long) (GRANT_PROBE_ROUNDS * this.managers * period));
        withdrawalWait =
                defect == InjectedDefect.NO_WITHDRAWAL_WAIT
                        ? 0
                        : (long) (grantDuration * CLOCK_DRIFT_FACTOR) + WAIT_MARGIN;
    }

    private void recordStart(long now) {
        startedAt = startedAt < 0 ? now : startedAt;
    }

    /**
     * Whether so long after its start it may do what its life before may have done the opposite of.
     */
    private boolean pastStartupWait(long now) {
        return now - startedAt > withdrawalWait
                || defect == InjectedDefect.PREVIOUS_INCARNATION_FORGOTTEN;
    }

    private PeerGrant peer(String name) {
        return peers.computeIfAbsent(name, n -> new PeerGrant());
    }

    /** The membership's word on another: gone or left, or here. */
    public void setUnreachable(long now, String name, boolean unreachable) {
        recordStart(now);
        peer(name).unreachable = unreachable;
        share = -1;
    }

    /** What {@link LeaseActions#storeWithdrawalMark} was asked for is done. */
    public void onWithdrawalMarkStored() {
        withdrawalMarkStored = true;
    }

    /** Whether an answer to this member carries this manager's word; asked for each answer. */
    boolean grantTo(long now, String name) {
        recordStart(now);
        PeerGrant peer = peer(name);
        boolean gives =
                !peer.unreachable
                        && now - peer.withdrawnAt > withdrawalWait
                        && (!mayHaveWithdrawnBefore || pastStartupWait(now));
        peer.grantedAt = gives ? now : peer.grantedAt;
        return gives;
    }

    /** Whom this manager's word is withdrawn from; told with each answer. */
    List<String> withdrawGrants(long now) {
        recordStart(now);
        List<String> names = new ArrayList<>();
        peers.forEach(
                (name, peer) -> {
                    if (peer.unreachable
                            && now - peer.grantedAt > withdrawalWait
                            && pastStartupWait(now)) {
                        if (!storeRequested) {
                            storeRequested = true;
                            actions.storeWithdrawalMark();
                        }
                        if (withdrawalMarkStored) {
                            peer.withdrawnAt = now;
                            names.add(name);
                        }
                    }
                });
        return names;
    }

    /** An answer that came at {@code now} to what was asked at {@code requestedAt}. */
    void onResponse(
            long now,
            long requestedAt,
            String from,
            boolean grantsQuota,
            List<String> withdrawnGrants) {
        long until =
                (defect == InjectedDefect.GRANT_TIMED_FROM_RESPONSE ? now : requestedAt)
                        + grantDuration;
        if (grantsQuota) {
            grantExpiries.merge(from, until, Math::max);
        }
        for (String name : withdrawnGrants) {
            withdrawalExpiries
                    .computeIfAbsent(name, n -> new HashMap<>())
                    .merge(from, until, Math::max);
        }
        share = -1;
    }

    /** The part of each engine that this manager may use at this moment. */
    public double share(long now) {
        if (share < 0 || now >= shareUntil) {
            recompute(now);
        }
        return share;
    }

    private void recompute(long now) {
        shareUntil = Long.MAX_VALUE;
        grantExpiries.values().removeIf(until -> until <= now);
        grantExpiries.values().forEach(until -> shareUntil = Math.min(shareUntil, until));
        double fullShareOfEngine = fullShare;
        // Its own word counts for itself, and is never withdrawn.
        boolean fullShareGranted = grantExpiries.size() + 1 >= quorum;
        share = fullShareOfEngine * (fullShareGranted ? 1 : GUARANTEED_FRACTION);
        if (fullShareGranted) {
            withdrawalExpiries.forEach(
                    (name, expiries) -> {
                        expiries.values().removeIf(until -> until <= now);
                        expiries.values()
                                .forEach(until -> shareUntil = Math.min(shareUntil, until));
                        PeerGrant peer = peers.get(name);
                        boolean withdrawnByThisManager =
                                peer != null
                                        && peer.unreachable
                                        && now - peer.withdrawnAt < grantDuration;
                        if (withdrawnByThisManager) {
                            shareUntil = Math.min(shareUntil, peer.withdrawnAt + grantDuration);
                        }
                        if (expiries.size() + (withdrawnByThisManager ? 1 : 0)
                                >= (defect == InjectedDefect.MINORITY_SUFFICES ? 1 : majority)) {
                            share += fullShareOfEngine * (1 - GUARANTEED_FRACTION) / (managers - 1);
                        }
                    });
            withdrawalExpiries.values().removeIf(Map::isEmpty);
        }
    }
}
