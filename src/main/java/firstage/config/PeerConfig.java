package firstage.config;

import firstage.cells.CellPlan;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * What a manager's peers file says of it and its peers.
 *
 * @param fleet the fleet's name; datagrams of another fleet are dropped
 * @param name its own name, unlike that of any peer
 * @param zone its zone's name
 * @param weight of the traffic that it wants, sent to the others
 * @param listenAddress where its datagrams come in
 * @param probeInterval the ticks between two probes
 * @param peerAddresses each address at which a peer may ever be; in a fleet of cells those of its
 *     own cell, one a slot, its own among them
 * @param withdrawalMark the file beside the peers file that tells the next process that this one
 *     withdrew its word from a peer
 * @param cellPlacement its place in a fleet of cells, or null where the fleet is one
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
     * A manager's place in a fleet of cells.
     *
     * @param plan the cells
     * @param previousPlan the plan that this one replaces, or null
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
