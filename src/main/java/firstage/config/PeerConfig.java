package firstage.config;

import firstage.cells.CellPlan;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * Identity of a manager among its peers, and the peers' addresses, as its peers file gives them.
 *
 * @param fleet the fleet's name; datagrams of another fleet are ignored
 * @param name the manager's own name, unique among its peers
 * @param zone the name of its zone
 * @param weight the relative weight of the traffic that it wants, sent to its peers
 * @param listenAddress the address at which it receives datagrams
 * @param probeInterval the time between two probes, in ticks
 * @param peerAddresses every address at which a peer may ever be; in a fleet of cells those of its
 *     own cell, one for each slot, its own included
 * @param withdrawalMark the file beside the peers file that records, for the next process, that
 *     this one may have withdrawn a grant from a peer
 * @param cellPlacement its place in a fleet of cells, or null if the fleet has no cells
 */
public record PeerConfig(
        String fleet,
        String name,
        String zone,
        double weight,
        InetSocketAddress listenAddress,
        long probeInterval,
        List<InetSocketAddress> peerAddresses,
        Path withdrawalMark,
        CellPlacement cellPlacement) {
    /**
     * Place of a manager in a fleet of cells.
     *
     * @param plan the plan of the cells
     * @param previousPlan the plan that {@code plan} replaces, or null
     * @param cell the index of its own cell in the plan
     * @param slot the index of its own address in the cell
     * @param addressesByCell the managers' addresses by cell and slot
     */
    public record CellPlacement(
            CellPlan plan,
            CellPlan previousPlan,
            int cell,
            int slot,
            List<List<InetSocketAddress>> addressesByCell) {}
}
