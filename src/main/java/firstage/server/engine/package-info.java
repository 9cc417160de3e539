/**
 * HTTP/1.1 client for the engines: a pool of connections to each engine, which carry one call at a
 * time each, and the calls that make up an attempt. {@code EngineProtocol} defines the names on the
 * wire.
 */
package firstage.server.engine;
