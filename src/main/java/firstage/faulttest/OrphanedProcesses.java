package firstage.faulttest;

import java.io.IOException;
import java.util.List;

/** Processes left behind by runs that were killed. */
public final class OrphanedProcesses {
    private OrphanedProcesses() {}

    /** Ends these processes, identified by id and start time, and returns a line for each. */
    public static List<String> endAll() throws IOException {
        return ManagerProcesses.endOrphans(ManagerProcesses.processListFolder());
    }
}
