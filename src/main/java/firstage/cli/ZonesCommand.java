package firstage.cli;

import firstage.config.ManagerConfig;
import firstage.server.membership.MembershipTransport;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * {@code zones}: sends an operator's order for a zone to one manager on this machine, which passes
 * it on to all.
 */
@Command(
        name = "zones",
        mixinStandardHelpOptions = true,
        description =
                "Orders the fleet to leave a zone, to hold it in use regardless of its health, or"
                        + " to decide by its health again; docs/operators/zones.md.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:the manager accepted the order and passes it on",
            "2:the manager can't be reached, or knows no such zone"
        })
final class ZonesCommand implements Callable<Integer> {
    /** Order that revokes an earlier one. */
    private static final String NO_ORDER = "none";

    /** Orders as an operator types them. */
    private enum ZoneOrder {
        leave,
        hold,
        health
    }

    @Parameters(
            index = "0",
            paramLabel = "ADDRESS",
            description = "address of a manager's datagrams: listen in its peers file")
    private String address;

    @Parameters(
            index = "1",
            paramLabel = "leave|hold|health",
            description = "the order: ${COMPLETION-CANDIDATES}")
    private ZoneOrder requestedOrder;

    @Parameters(index = "2", paramLabel = "ZONE", description = "name of the zone in the settings")
    private String zone;

    /**
     * Runs the command and returns the exit code, which indicates whether the manager accepted the
     * order.
     */
    static int run(String[] args) {
        return CommandRunner.run(new ZonesCommand(), "zones", args);
    }

    @Override
    public Integer call() throws IOException {
        String order = requestedOrder == ZoneOrder.health ? NO_ORDER : requestedOrder.name();
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
