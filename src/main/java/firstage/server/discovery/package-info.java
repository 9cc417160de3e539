/**
 * Discovery of engines: follows the coordinator's numbered events over TCP and passes on the
 * endpoint list.
 */
package firstage.server.discovery;
