package firstage.cli;

import firstage.config.ManagerConfig;
import firstage.server.membership.MembershipTransport;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * {@code zones}: an operator's order on a zone, sent to one manager of this machine and by it to
 * all.
 */
@Command(
        name = "zones",
        mixinStandardHelpOptions = true,
        description =
                "Has the fleet leave a zone, hold it in whatever its health, or go by its health"
                        + " again; docs/operators/zones.md.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:the manager took it and tells the others",
            "2:it can't be reached, or knows no such zone"
        })
final class ZonesCommand implements Callable<Integer> {
    /** The order that takes an earlier one back. */
    private static final String NO_ORDER = "none";

    /** What an operator may order, as it is typed. */
    private enum ZoneOrder {
        leave,
        hold,
        health
    }

    @Parameters(
            index = "0",
            paramLabel = "ADDRESS",
            description = "where a manager's datagrams come in: listen of its peers file")
    private String address;

    @Parameters(
            index = "1",
            paramLabel = "leave|hold|health",
            description = "what is wanted: ${COMPLETION-CANDIDATES}")
    private ZoneOrder wanted;

    @Parameters(index = "2", paramLabel = "ZONE", description = "its name in the settings")
    private String zone;

    /** Runs it; the exit code tells whether the manager took the order. */
    static int run(String[] args) {
        return CommandRunner.run(new ZonesCommand(), "zones", args);
    }

    @Override
    public Integer call() throws IOException {
        String order = wanted == ZoneOrder.health ? NO_ORDER : wanted.name();
        String response =
                ManagerClient.request(
                        ManagerConfig.parseAddress(address),
                        MembershipTransport.ZONE_ORDER_PREFIX + " " + order + " " + zone);
        if (response.equals(MembershipTransport.ZONE_ORDER_REJECTED)) {
            throw new IOException(
                    "the manager at "
                            + address
                            + " knows no zone '"
                            + zone
                            + "'; see areas in its settings");
        }
        System.out.println(
                response.replaceAll(
                        ".*(\"zones left\":\"[^\"]*\",\"zones ordered\":\"[^\"]*\").*", "$1"));
        return 0;
    }
}
