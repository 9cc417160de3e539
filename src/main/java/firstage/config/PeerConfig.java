package firstage.config;

import firstage.cells.CellPlan;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * What a manager is told of its peers: the fleet's name, its own name, zone and weight, where its
 * datagrams come in, how often it probes (tenths of a millisecond), and each address at which a
 * peer may ever be. {@code withdrawalMark}: the file beside it that tells the next life that this
 * one withdrew its word from somebody. {@code cellPlacement}: its place in a fleet of cells, or
 * null where the fleet is one.
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
     * {@code plan}, {@code previousPlan}: the cells, and those that they replace or null; {@code
     * cell}, {@code slot}: its own place; {@code peerAddresses} by cell and slot. {@link
     * PeerConfig#peerAddresses} are those of its own cell, all slots, its own among them.
     */
    public record CellPlacement(
            CellPlan plan,
            CellPlan previousPlan,
            int cell,
            int slot,
            List<List<InetSocketAddress>> addressesByCell) {}
}
