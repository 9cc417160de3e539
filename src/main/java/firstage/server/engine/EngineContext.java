package firstage.server.engine;

import firstage.server.ActionGuard;
import firstage.server.Counters;
import firstage.server.ServerEvents;
import firstage.server.TickClock;
import java.nio.ByteBuffer;
import org.xnio.XnioIoThread;

/**
 * Services and limits shared by all calls to engines.
 *
 * @param readBuffer buffer shared by all connections; empty between events
 * @param connectTimeoutMs time within which a new connection has to be established
 * @param maxIdleTime time in ticks after which an idle connection is closed
 * @param attemptsMayOverlap whether a request may have several attempts at a time
 */
record EngineContext(
        XnioIoThread io,
        TickClock clock,
        Counters counters,
        ServerEvents events,
        ActionGuard guard,
        ByteBuffer readBuffer,
        long connectTimeoutMs,
        long maxIdleTime,
        boolean attemptsMayOverlap) {}
