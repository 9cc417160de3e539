package firstage.membership;

import java.util.List;

/** Who is here: a number that only grows, a hash of what it says, the names in order. */
public record MembershipView(long number, long hash, List<String> memberNames) {}
