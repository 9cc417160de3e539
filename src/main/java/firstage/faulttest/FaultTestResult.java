package firstage.faulttest;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What a run showed.
 *
 * @param figures by name, in the order in which they are printed
 * @param violations broken rules and processes that ended unexpectedly
 * @param missedExpectations figures outside the plan's bounds
 * @param voidReason why the run proves nothing; empty if it counts
 */
public record FaultTestResult(
        Map<String, Double> figures,
        List<String> violations,
        List<String> missedExpectations,
        Optional<String> voidReason) {
    /**
     * {@code void}, {@code broken}, {@code missed} or {@code kept}. A void run counts as nothing
     * else: a machine without time can't prove that all rules were kept.
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
