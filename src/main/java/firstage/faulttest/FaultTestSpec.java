package firstage.faulttest;

import firstage.simulation.FleetPlan;
import java.nio.file.Path;
import java.util.function.Consumer;

/**
 * Specification of a fault test.
 *
 * @param plan the fleet, its traffic and the faults
 * @param seed seed of all random draws
 * @param folder folder to which the record of the run is written
 * @param jar jar of the program under test
 * @param serveCommand the deployment's command line that starts one manager
 * @param withPeers whether each manager gets a peers file
 * @param progress receives lines of text on the progress of the run
 */
public record FaultTestSpec(
        FleetPlan plan,
        long seed,
        Path folder,
        Path jar,
        String serveCommand,
        boolean withPeers,
        Consumer<String> progress) {}
