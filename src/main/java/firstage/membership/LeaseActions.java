package firstage.membership;

/**
 * Stores that this manager is about to withdraw words, so that its next life waits before it gives
 * any.
 */
public interface LeaseActions {
    /** To be answered by {@link #onWithdrawalMarkStored} once it is on the disk. */
    void storeWithdrawalMark();
}
