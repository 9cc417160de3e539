package firstage.server;

import firstage.policy.api.EngineList;
import firstage.policy.api.Note;
import firstage.policy.api.Outcome;
import firstage.policy.api.Report;
import java.net.InetSocketAddress;
import java.util.List;

/** What the peers' packages tell the node. All calls come on the I/O thread. */
public interface Tidings {
    /** A batch was taken whole; {@code key} is null without one. */
    void taken(
            Exchange x,
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
    void left(Exchange x);

    /** The client is not there to be answered, and may be gone; or it asks again. */
    void away(Exchange x, boolean away);

    void noted(Exchange x, Exchange.Dispatch d, Note.Kind kind, double amount);

    /**
     * A dispatch is over; {@code pages} only where it returned; the engine may hold it for {@code
     * rest} more.
     */
    void ended(
            Exchange x,
            Exchange.Dispatch d,
            Outcome how,
            long took,
            Report report,
            List<byte[]> pages,
            long rest);

    void probed(int engine, Outcome how, Report report);

    void listed(EngineList.Kind kind, List<Listed> engines);

    /** The list is as its coordinator has it, or can't be had any fresher: it may be acted on. */
    void listConfirmed();

    /** An engine as the coordinator lists it: its id as a number and where it listens. */
    record Listed(
            long id,
            InetSocketAddress address,
            int zone,
            int kind,
            int cell,
            EngineList.Standing standing,
            double weight,
            long since) {}
}
