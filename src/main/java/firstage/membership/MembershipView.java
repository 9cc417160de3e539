package firstage.membership;

import java.util.List;

/**
 * The alive members that are not held out for flapping, under a number on which managers with the
 * same members agree.
 *
 * @param number version of the view; only increases
 * @param hash hash of the member names
 * @param memberNames the names in ascending order
 */
public record MembershipView(long number, long hash, List<String> memberNames) {}
