package firstage.simulation;

import java.util.List;
import java.util.Map;

/**
 * What one run came to: its figures by name, and which rules broke. {@code happened}: events of its
 * calendar.
 */
public record SimulationResult(
        String choice,
        long seed,
        Map<String, Double> figures,
        List<String> broken,
        long batches,
        long happened) {}
