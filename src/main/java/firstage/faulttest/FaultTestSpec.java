package firstage.faulttest;

import firstage.simulation.FleetPlan;
import java.nio.file.Path;
import java.util.function.Consumer;

/**
 * What is to be run.
 *
 * @param plan the fleet, its traffic and the faults
 * @param seed of all random draws
 * @param folder where the record of the run is written
 * @param jar of the program under test
 * @param serveCommand the deployment's command line that starts one manager
 * @param withPeers whether each manager gets a peers file
 * @param progress receives a line of text now and then
 */
public record FaultTestSpec(
        FleetPlan plan,
        long seed,
        Path folder,
        Path jar,
        String serveCommand,
        boolean withPeers,
        Consumer<String> progress) {}
