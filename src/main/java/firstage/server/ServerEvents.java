package firstage.server;

import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
import firstage.policy.api.EndpointUpdate;
import firstage.policy.api.LoadReport;
import java.net.InetSocketAddress;
import java.util.List;

/** What the peers' packages tell the node. All calls come on the I/O thread. */
public interface ServerEvents {
    /** A batch was taken whole; {@code key} is null without one. */
    void taken(
            RequestExchange x,
            int group,
            int customer,
            String key,
            long estimate,
            int memoryMb,
            int tables);

    /**
     * How long this thread may have stood still before this moment; 0 where it surely ran, or
     * nobody knows.
     */
    long stoodStill();

    /** The client left, or gave up. */
    void left(RequestExchange x);

    /** The client is not there to be answered, and may be gone; or it asks again. */
    void away(RequestExchange x, boolean away);

    void noted(
            RequestExchange x,
            RequestExchange.Dispatch d,
            AttemptProgress.Kind kind,
            double amount);

    /**
     * A dispatch is over; {@code pages} only where it returned; the engine may hold it for {@code
     * rest} more.
     */
    void ended(
            RequestExchange x,
            RequestExchange.Dispatch d,
            AttemptOutcome how,
            long took,
            LoadReport report,
            List<byte[]> pages,
            long rest);

    void probed(int engine, AttemptOutcome how, LoadReport report);

    void listed(EndpointUpdate.Kind kind, List<Listed> engines);

    /** The list is as its coordinator has it, or can't be had any fresher: it may be acted on. */
    void listConfirmed();

    /** An engine as the coordinator lists it: its id as a number and where it listens. */
    record Listed(
            long id,
            InetSocketAddress address,
            int zone,
            int kind,
            int cell,
            EndpointUpdate.Lifecycle standing,
            double weight,
            long since) {}
}
