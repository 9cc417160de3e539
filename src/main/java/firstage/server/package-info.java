/**
 * The workload manager that the {@code serve} command runs. {@link firstage.server.ManagerServer}
 * creates its components on one I/O thread, {@link firstage.server.SchedulerLoop} passes their
 * events to the scheduler, and {@link firstage.server.ShutdownSequence} ends the program.
 */
package firstage.server;
