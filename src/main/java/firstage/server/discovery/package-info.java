/** The list of engines: follows the coordinator's numbered events over TCP. */
package firstage.server.discovery;
