/** The server side: takes batches from clients over HTTP/1.1 and answers each once. */
package firstage.server.client;
