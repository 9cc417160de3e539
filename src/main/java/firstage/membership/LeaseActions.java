package firstage.membership;

/**
 * Effects of the quota leases. The withdrawal mark is a file which records that this manager may
 * have withdrawn grants, so that its next incarnation waits before it grants any.
 */
public interface LeaseActions {
    /**
     * Stores the withdrawal mark. The implementation calls {@link
     * QuotaLeases#onWithdrawalMarkStored} once the mark is on disk.
     */
    void storeWithdrawalMark();
}
