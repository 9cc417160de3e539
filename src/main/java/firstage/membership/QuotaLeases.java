package firstage.membership;

import firstage.util.Ticks;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which part of each engine a manager may use. Half of its share is guaranteed. The other half it
 * uses while a quorum of managers has granted it lately; where a majority has withdrawn its grants
 * from a member, the others may use that member's half, each the same piece. The quorum leaves no
 * majority without it, so any quorum and any majority have a manager in common; and that one,
 * having granted, withdraws only after a time longer than a grant lasts, and grants anew only after
 * a time longer than a withdrawal lasts.
 *
 * <p>Invariant: the parts in use never exceed the whole, in whatever order messages are lost, late
 * or doubled, and whoever is paused or restarted.
 *
 * <p>A grant is timed from when its user asked for it, by the user's clock; each wait from when the
 * granter answered, by the granter's clock. Clocks must run alike to a twentieth; they need not
 * agree. {@link #share} is to be asked before each attempt, since a paused process must check its
 * clock before it uses a grant. Times are in ticks.
 */
public final class QuotaLeases {
    /** Of a manager's share: cut off from all, it still serves half. */
    static final double GUARANTEED_FRACTION = 0.5;

    /** Many probe rounds of a small fleet, so that loss alone seldom ends a grant. */
    private static final long MIN_GRANT_DURATION = Ticks.ofSeconds(3);

    /** A grant lasts so many rounds in which each manager is probed once. */
    private static final double GRANT_PROBE_ROUNDS = 1.5;

    /** Clocks run alike to a twentieth. */
    private static final double CLOCK_DRIFT_FACTOR = 1.05;

    /** For the time between reading a clock and acting. */
    private static final long WAIT_MARGIN = Ticks.ofMillis(150);

    private static final long NEVER = Long.MIN_VALUE / 4;

    /** Defects that tests put in one at a time, to show that they are found. */
    public enum InjectedDefect {
        NONE,
        NO_WITHDRAWAL_WAIT,
        PREVIOUS_INCARNATION_FORGOTTEN,
        MINORITY_SUFFICES,
        GRANT_TIMED_FROM_RESPONSE
    }

    /** This manager's grant to another. */
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

    /** By manager, until when its grant to this one counts. */
    private final Map<String, Long> grantExpiries = new HashMap<>();

    /** By member, who withdrew its grant from it, and until when that counts. */
    private final Map<String, Map<String, Long>> withdrawalExpiries = new HashMap<>();

    private final boolean mayHaveWithdrawnBefore;
    private long startedAt = -1;
    private boolean storeRequested;
    private boolean withdrawalMarkStored;
    private double share = -1;
    private long shareUntil;

    /**
     * {@code managers}: how many managers there are by the settings; {@code period} between two
     * probes of one manager; {@code mayHaveWithdrawnBefore}: a previous incarnation may have
     * withdrawn grants.
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
     * engine that is its own. Grants are among those of a cell only, so their duration and their
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
     * Whether it is so long after its start that what its previous incarnation granted or withdrew
     * has expired.
     */
    private boolean pastStartupWait(long now) {
        return now - startedAt > withdrawalWait
                || defect == InjectedDefect.PREVIOUS_INCARNATION_FORGOTTEN;
    }

    private PeerGrant peer(String name) {
        return peers.computeIfAbsent(name, n -> new PeerGrant());
    }

    /** What the membership says of another: dead or left, or alive. */
    public void setUnreachable(long now, String name, boolean unreachable) {
        recordStart(now);
        peer(name).unreachable = unreachable;
        share = -1;
    }

    /** What {@link LeaseActions#storeWithdrawalMark} was asked for is done. */
    public void onWithdrawalMarkStored() {
        withdrawalMarkStored = true;
    }

    /**
     * Whether an answer to this member carries this manager's grant; asked for each answer, and
     * records the grant.
     */
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

    /** The members that this manager's grant is withdrawn from; sent with each answer. */
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

    /** The part of each engine that this manager may use now, from 0 to 1. */
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
        // Its own grant counts for itself, and is never withdrawn.
        boolean fullShareGranted = grantExpiries.size() + 1 >= quorum;
        share = fullShare * (fullShareGranted ? 1 : GUARANTEED_FRACTION);
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
                            share += fullShare * (1 - GUARANTEED_FRACTION) / (managers - 1);
                        }
                    });
            withdrawalExpiries.values().removeIf(Map::isEmpty);
        }
    }
}
