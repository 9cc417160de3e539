/**
 * The client side: calls to engines over HTTP/1.1, one at a time on a connection, and a dispatch's
 * life there.
 */
package firstage.server.engine;
