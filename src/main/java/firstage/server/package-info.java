/**
 * The real workload manager. {@link firstage.server.Node} puts its peers round one Brain, all on
 * one I/O thread; a package per peer speaks that peer's protocol. Clients and engines meet only in
 * an {@link Exchange}.
 */
package firstage.server;
