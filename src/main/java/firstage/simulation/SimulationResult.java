package firstage.simulation;

import java.util.List;
import java.util.Map;

/**
 * What one run came to: its figures by name, and which rules broke. {@code executedEvents}: events
 * of its calendar.
 */
public record SimulationResult(
        String policyName,
        long seed,
        Map<String, Double> figures,
        List<String> violations,
        long requests,
        long executedEvents) {}
