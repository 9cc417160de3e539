/**
 * The clients' HTTP/1.1: {@link firstage.server.client.ClientHandler} accepts requests from clients
 * and answers each once. The names on the wire stand in {@code ClientProtocol}.
 */
package firstage.server.client;
