package firstage.membership;

import java.util.List;

/** The members that count: a number that only grows, a hash of the names, the names in order. */
public record MembershipView(long number, long hash, List<String> memberNames) {}
