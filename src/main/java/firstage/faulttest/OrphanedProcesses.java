package firstage.faulttest;

import java.io.IOException;
import java.util.List;

/** What a yard that was killed left behind. */
public final class OrphanedProcesses {
    private OrphanedProcesses() {}

    /** Ends the processes that it had started, by id and time of start, and says which. */
    public static List<String> endAll() throws IOException {
        return ManagerProcesses.endOrphans(ManagerProcesses.processListFolder());
    }
}
