package firstage.net.members;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * What a manager is told of its peers: the fleet's name, its own name, zone and weight, where its datagrams come in,
 * how often
 * it probes (tenths of a millisecond), and each address at which a peer may ever be. {@code mark}: the file beside it
 * that
 * tells the next life that this one withdrew its word from somebody.
 */
public record PeerList(String fleet, String name, String zone, double weight, InetSocketAddress listen, long period,
                       List<InetSocketAddress> addresses, Path mark) {
}
