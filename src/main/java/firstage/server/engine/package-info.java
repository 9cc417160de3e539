/**
 * The client side of the engines' HTTP/1.1: one call at a time on a connection, the connections to
 * each engine, and the calls of attempts. The names on the wire stand in {@code EngineProtocol}.
 */
package firstage.server.engine;
