package firstage.membership;

import firstage.util.Ticks;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Computes the fraction of each engine that this manager may use. Half of a manager's share is
 * guaranteed. It may use the other half while a quorum of managers has recently granted it. After a
 * majority has withdrawn its grants from a member, the other managers may use that member's second
 * half in equal pieces. Any quorum and any majority have at least one manager in common, because
 * the managers outside a quorum are too few for a majority. The grant and the withdrawal of that
 * manager are never valid at the same time: it withdraws only after a time longer than a grant
 * lasts, and grants again only after a time longer than a withdrawal lasts.
 *
 * <p>Invariant: the fractions of an engine that are in use never add up to more than 1, even if
 * messages are lost, late, reordered or duplicated and managers are paused or restarted.
 *
 * <p>The receiver of a grant measures its duration from the request, by its own clock. The granter
 * measures each wait from its response, by its own clock. The rates of clocks must agree within 5
 * %; the times that they show need not agree. {@link #share} must be called before each attempt,
 * since a paused process must check its clock before it uses a grant. Times are in ticks.
 */
public final class QuotaLeases {
    /** Fraction of its share that a manager may use even while it is isolated. */
    static final double GUARANTEED_FRACTION = 0.5;

    /**
     * Minimum duration of a grant: many probe rounds of a small fleet, so that message loss alone
     * seldom ends a grant.
     */
    private static final long MIN_GRANT_DURATION = Ticks.ofSeconds(3);

    /** Duration of a grant in probe rounds; a round probes each manager once. */
    private static final double GRANT_PROBE_ROUNDS = 1.5;

    /** Maximum ratio between the rates of two clocks. */
    private static final double CLOCK_DRIFT_FACTOR = 1.05;

    /** Margin added to a wait for the time between reading a clock and acting. */
    private static final long WAIT_MARGIN = Ticks.ofMillis(150);

    private static final long NEVER = Long.MIN_VALUE / 4;

    /** Defects that tests inject one at a time, to prove that the checks detect them. */
    public enum InjectedDefect {
        NONE,
        NO_WITHDRAWAL_WAIT,
        PREVIOUS_INCARNATION_FORGOTTEN,
        MINORITY_SUFFICES,
        GRANT_TIMED_FROM_RESPONSE
    }

    /** This manager's grant to another manager and its withdrawal. */
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
    private final Map<String, PeerGrant> peerGrants = new HashMap<>();

    /** Time until which each manager's grant to this manager is valid, by granting manager. */
    private final Map<String, Long> grantExpiries = new HashMap<>();

    /**
     * Time until which a withdrawal is valid, by the member that lost the grant and then by the
     * manager that withdrew it.
     */
    private final Map<String, Map<String, Long>> withdrawalExpiries = new HashMap<>();

    private final boolean mayHaveWithdrawnBefore;
    private long startedAt = -1;
    private boolean storeRequested;
    private boolean withdrawalMarkStored;

    /** Cached result of {@link #share}, valid until {@code shareUntil}; negative if outdated. */
    private double share = -1;

    private long shareUntil;

    /**
     * Creates the leases of a manager in a fleet without cells.
     *
     * @param managers configured number of managers
     * @param period interval between two probes by one manager, in ticks
     * @param mayHaveWithdrawnBefore whether a previous incarnation may have withdrawn grants
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
     * Creates the leases of a manager in a fleet of cells. Only managers of the same cell exchange
     * grants, so the duration of a grant and the size of a majority do not grow with the fleet.
     *
     * @param managers number of managers in this manager's cell
     * @param fullShare this manager's full share of each engine
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
     * Returns whether all grants and withdrawals of the previous incarnation have expired since the
     * start.
     */
    private boolean pastStartupWait(long now) {
        return now - startedAt > withdrawalWait
                || defect == InjectedDefect.PREVIOUS_INCARNATION_FORGOTTEN;
    }

    private PeerGrant peerGrant(String name) {
        return peerGrants.computeIfAbsent(name, n -> new PeerGrant());
    }

    /** Records whether the membership considers another manager unreachable: dead or left. */
    public void setUnreachable(long now, String name, boolean unreachable) {
        recordStart(now);
        peerGrant(name).unreachable = unreachable;
        share = -1;
    }

    /**
     * Records that a manager of another name has replaced one at its address, and so has its share.
     * The successor is granted nothing while a withdrawal from its predecessor may be in use, and
     * of both only one counts as a manager that grants and withdraws.
     */
    void onReplaced(String predecessor, String successor) {
        PeerGrant earlier = peerGrants.remove(predecessor);
        if (earlier != null) {
            PeerGrant later = peerGrant(successor);
            later.grantedAt = Math.max(later.grantedAt, earlier.grantedAt);
            later.withdrawnAt = Math.max(later.withdrawnAt, earlier.withdrawnAt);
        }
        grantExpiries.remove(predecessor);
        withdrawalExpiries.remove(predecessor);
        withdrawalExpiries.values().forEach(expiries -> expiries.remove(predecessor));
        share = -1;
    }

    /** Records that the mark requested by {@link LeaseActions#storeWithdrawalMark} is stored. */
    public void onWithdrawalMarkStored() {
        withdrawalMarkStored = true;
    }

    /**
     * Returns whether the ack that is about to be sent to this member carries a grant, and records
     * the grant. To be called once for each ack.
     */
    boolean tryGrant(long now, String name) {
        recordStart(now);
        PeerGrant peer = peerGrant(name);
        boolean grants =
                !peer.unreachable
                        && now - peer.withdrawnAt > withdrawalWait
                        && (!mayHaveWithdrawnBefore || pastStartupWait(now));
        peer.grantedAt = grants ? now : peer.grantedAt;
        return grants;
    }

    /**
     * Withdraws this manager's grants from unreachable members, once that is allowed and the
     * withdrawal mark is stored. Returns these members, which are sent with each ack.
     */
    List<String> withdrawGrants(long now) {
        recordStart(now);
        List<String> names = new ArrayList<>();
        peerGrants.forEach(
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

    /** Handles an ack, received at {@code now}, to a ping that was sent at {@code requestedAt}. */
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

    /** Returns the fraction, from 0 to 1, of each engine that this manager may use now. */
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
        // This manager always grants its own share, hence the 1.
        boolean fullShareGranted = grantExpiries.size() + 1 >= quorum;
        share = fullShare * (fullShareGranted ? 1 : GUARANTEED_FRACTION);
        if (fullShareGranted) {
            withdrawalExpiries.forEach(
                    (name, expiries) -> {
                        expiries.values().removeIf(until -> until <= now);
                        expiries.values()
                                .forEach(until -> shareUntil = Math.min(shareUntil, until));
                        PeerGrant peer = peerGrants.get(name);
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
