/**
 * The workload manager that {@code serve} runs. {@link firstage.server.ManagerServer} puts its
 * parts together on one I/O thread, {@link firstage.server.SchedulerLoop} brings their events to
 * the scheduler, and {@link firstage.server.ShutdownSequence} ends it.
 */
package firstage.server;
