package firstage.server.engine;

import firstage.server.ActionGuard;
import firstage.server.Counters;
import firstage.server.ServerEvents;
import firstage.server.TickClock;
import java.nio.ByteBuffer;
import org.xnio.XnioIoThread;

/**
 * What all calls to engines share.
 *
 * @param readBuffer one buffer for all connections, empty between events
 * @param connectTimeoutMs for a connection to be established
 * @param maxIdle ticks after which an idle connection is closed
 */
record EngineContext(
        XnioIoThread io,
        TickClock clock,
        Counters counters,
        ServerEvents events,
        ActionGuard guard,
        ByteBuffer readBuffer,
        long connectTimeoutMs,
        long maxIdle) {}
