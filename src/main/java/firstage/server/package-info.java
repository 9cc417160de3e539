/**
 * The real workload manager. {@link firstage.server.ManagerServer} puts its peers round one
 * WorkloadScheduler, all on one I/O thread; a package per peer speaks that peer's protocol. Clients
 * and engines meet only in an {@link RequestExchange}.
 */
package firstage.server;
