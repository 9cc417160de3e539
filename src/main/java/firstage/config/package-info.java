/**
 * Typed configuration. The platform's configuration and the users' settings are read here, once,
 * and translated into the program's own terms; {@link firstage.config.IdRegistry} maps ids of the
 * wire to small indices and back. The package makes no decisions and opens no sockets.
 */
package firstage.config;
