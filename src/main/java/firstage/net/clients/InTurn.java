package firstage.net.clients;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * The first read of a new connection finds nothing: what is there is read when the selector tells of it. A connection
 * that is handed over would else be read before those that have waited longer, and a batch that came
 * on one of them be overtaken by the next of its key.
 */
final class InTurn extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private boolean told;

    InTurn(StreamSourceConduit next) {
        super(next);
    }

    @Override
    public int read(ByteBuffer to) throws IOException {
        if (!told) {
            told = true;
            return 0;
        }
        return super.read(to);
    }
}
