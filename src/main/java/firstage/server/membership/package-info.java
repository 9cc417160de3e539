/**
 * Transport of the membership: UDP on the I/O thread, without decisions of its own. Loaded only if
 * peers are configured.
 */
package firstage.server.membership;
