package firstage.simulation;

import java.util.List;
import java.util.Map;

/**
 * The result of one run.
 *
 * @param figures the figures of the run by name
 * @param violations descriptions of the first rule violations
 * @param requests the number of requests, each counted once for all its tries
 * @param executedEvents the number of events of the simulation
 */
public record SimulationResult(
        String policyName,
        long seed,
        Map<String, Double> figures,
        List<String> violations,
        long requests,
        long executedEvents) {}
