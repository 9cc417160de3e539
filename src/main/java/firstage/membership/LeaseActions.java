package firstage.membership;

/**
 * Stores that this manager is about to withdraw grants, so that its next incarnation waits before
 * it grants any.
 */
public interface LeaseActions {
    /** To be answered by {@link QuotaLeases#onWithdrawalMarkStored} once it is on the disk. */
    void storeWithdrawalMark();
}
