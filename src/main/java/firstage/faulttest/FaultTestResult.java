package firstage.faulttest;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Result of a fault test.
 *
 * @param figures values by name, in the order in which they are printed
 * @param violations broken rules and processes that ended unexpectedly
 * @param missedExpectations figures outside the plan's bounds
 * @param voidReason reason why the run is void; empty if it is valid
 */
public record FaultTestResult(
        Map<String, Double> figures,
        List<String> violations,
        List<String> missedExpectations,
        Optional<String> voidReason) {
    /**
     * Returns {@code void}, {@code broken}, {@code missed} or {@code kept}. {@code void} overrides
     * the others: a run on an overloaded machine does not show whether all rules are kept.
     */
    public String verdict() {
        if (voidReason.isPresent()) {
            return "void";
        }
        if (!violations.isEmpty()) {
            return "broken";
        }
        return missedExpectations.isEmpty() ? "kept" : "missed";
    }
}
