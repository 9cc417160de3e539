/**
 * Typed configuration: the platform's configuration and the users' settings are read here, once,
 * and mapped to the program's own terms. Also ids of the wire to small indices and back. No
 * decisions, no sockets.
 */
package firstage.config;
