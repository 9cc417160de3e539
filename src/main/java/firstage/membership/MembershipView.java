package firstage.membership;

import java.util.List;

/**
 * The members that share the traffic.
 *
 * @param number version of the view; only increases
 * @param hash hash of the member names
 * @param memberNames the names in ascending order
 */
public record MembershipView(long number, long hash, List<String> memberNames) {}
