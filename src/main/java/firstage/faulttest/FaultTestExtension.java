package firstage.faulttest;

import firstage.emulator.RealTimeLoop;
import firstage.simulation.FleetPlan;
import firstage.simulation.RuleChecker;
import firstage.simulation.RuleChecker.ClientTry;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Clients, faults and settings of processes that a fault test has beside its plan's. */
public interface FaultTestExtension {
    /** Nothing beside the plan. */
    FaultTestExtension NONE = new FaultTestExtension() {};

    /** What a running test gives to its extension; called on the loop's thread. */
    interface RunningTest {
        FleetPlan plan();

        /** Seeds the extension's own draws. */
        long seed();

        Path folder();

        RealTimeLoop loop();

        RuleChecker rules();

        /** Ticks since the run began; from any thread. */
        long elapsed();

        InetSocketAddress managerAddress(int manager);

        /** Sends a signal to a manager's process. */
        void signal(int manager, String name);

        /** Stops a manager's process for so many ticks. */
        void pause(int manager, long ticks);

        /** Resets all connections between managers and an engine. */
        void resetConnections(int engine);

        /** Makes a manager's coordinator silent for so many ticks. */
        void silenceCoordinator(int manager, long ticks);

        /** Writes a line to the record of the run; keys and values in turn. */
        void record(String event, Object... fields);
    }

    /** Variables of a manager's process. */
    default Map<String, String> environment(int manager) {
        return Map.of();
    }

    /** The run begins: on the loop's thread. */
    default void begin(RunningTest test) {}

    /** The extension's try with this id; null where it has none. On the loop's thread. */
    default ClientTry tryById(String id) {
        return null;
    }

    /** A manager's process stands still until then; on the loop's thread. */
    default void onManagerPaused(int manager, long until) {}

    /** A manager's process was killed, or is told to end. */
    default void onManagerEnding(int manager, boolean killed) {}

    /** A manager's process serves again. */
    default void onManagerUp(int manager) {}

    /** Waits for its clients; from another thread than the loop's. */
    default void awaitEnd() {}

    /** What broke beside the checker's rules. */
    default List<String> violations() {
        return List.of();
    }
}
