/**
 * HTTP/1.1 server for the clients: {@link firstage.server.client.ClientHandler} accepts requests
 * and answers each once. {@code ClientProtocol} defines the names on the wire.
 */
package firstage.server.client;
