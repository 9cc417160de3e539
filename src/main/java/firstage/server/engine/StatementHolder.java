package firstage.server.engine;

import firstage.lifecycle.AttemptStateMachine.ReplyOrigin;
import firstage.util.Ticks;

/**
 * Knows which connections lead to the process that holds the statement of one attempt. The list may
 * name another process at the engine's address, or another one may have it before the list says so,
 * while the first one is cut off and still runs the statement. Only what the holder answers proves
 * anything of the statement.
 *
 * <p>An address belongs to one machine at a time. A connection therefore leads to the holder if the
 * holder answered a call that was written when the connection was already open. The holder is
 * recognised by the statement's own connection, by its knowledge of the statement, and by
 * connections that lead to it. Owned by the I/O thread; times are ticks.
 */
final class StatementHolder {
    /**
     * Time after the holder itself ended a connection within which a new connection leads to it, or
     * to its successor after its end: a machine that is cut off ends no connection, and its address
     * is not in use elsewhere this soon.
     */
    private static final long RECONNECT_PERIOD = Ticks.ofMillis(100);

    private static final long NEVER = Long.MIN_VALUE / 2;

    private EngineConnection statementConnection;

    /** Time at which the latest call that the holder answered was written. */
    private long answeredCallAt = NEVER;

    /** Time at which the holder ended a connection under a call. */
    private long endedConnectionAt = NEVER;

    /** Records the connection on which the statement is written. */
    void onStatementWritten(EngineConnection connection) {
        statementConnection = connection;
    }

    /**
     * Records an answer.
     *
     * @param knowsStatement whether only the holder gives such an answer
     */
    void onResponse(EngineConnection connection, boolean knowsStatement) {
        if (knowsStatement || isReachedBy(connection)) {
            answeredCallAt = Math.max(answeredCallAt, connection.callWrittenAt());
        }
    }

    /** Records that the other side ended a connection under a call. */
    void onConnectionEnded(long now, EngineConnection connection) {
        if (isReachedBy(connection)) {
            endedConnectionAt = now;
        }
    }

    /** Returns whether the connection leads to the process that holds the statement. */
    boolean isReachedBy(EngineConnection connection) {
        boolean reconnected =
                connection.openedAt >= endedConnectionAt
                        && connection.openedAt <= endedConnectionAt + RECONNECT_PERIOD;
        return connection == statementConnection
                || connection.openedAt <= answeredCallAt
                || reconnected;
    }

    /** Returns the origin of a reply on this connection. */
    ReplyOrigin originOf(EngineConnection connection) {
        return isReachedBy(connection) ? ReplyOrigin.HOLDER : ReplyOrigin.UNCERTAIN;
    }
}
