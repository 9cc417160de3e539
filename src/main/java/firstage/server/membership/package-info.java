/**
 * Carries the membership over UDP on the I/O thread; decides nothing. Loaded only where peers are
 * named.
 */
package firstage.server.membership;
