package firstage.faulttest;

import firstage.emulator.RealTimeLoop;
import firstage.simulation.FleetPlan;
import firstage.simulation.RuleChecker;
import firstage.simulation.RuleChecker.ClientTry;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Clients, faults and process settings that a fault test has in addition to its plan's. */
public interface FaultTestExtension {
    /** An extension that adds nothing to the plan. */
    FaultTestExtension NONE = new FaultTestExtension() {};

    /**
     * The running test as its extension sees it. Methods that change the run must be called on the
     * loop's thread.
     */
    interface RunningTest {
        FleetPlan plan();

        /** Returns the seed for the extension's own random draws. */
        long seed();

        Path folder();

        RealTimeLoop loop();

        RuleChecker rules();

        /** Returns the ticks since traffic began; may be called from any thread. */
        long elapsed();

        InetSocketAddress managerAddress(int manager);

        /** Sends a signal to a manager's process. */
        void signal(int manager, String name);

        /** Stops a manager's process by SIGSTOP and continues it after {@code ticks}. */
        void pause(int manager, long ticks);

        /** Resets all connections between managers and an engine. */
        void resetConnections(int engine);

        /** Makes a manager's coordinator send nothing for {@code ticks}. */
        void silenceCoordinator(int manager, long ticks);

        /** Writes an event to the record of the run; {@code fields} are keys and values in turn. */
        void record(String event, Object... fields);
    }

    /** Returns additional environment variables of a manager's process. */
    default Map<String, String> environment(int manager) {
        return Map.of();
    }

    /** Starts the extension; called on the loop's thread when traffic begins. */
    default void begin(RunningTest test) {}

    /**
     * Returns the client try with this id, or null if the extension has none. Called on the loop's
     * thread.
     */
    default ClientTry tryById(String id) {
        return null;
    }

    /** Called on the loop's thread when a manager's process is paused until {@code until}. */
    default void onManagerPaused(int manager, long until) {}

    /**
     * Called on the loop's thread when a manager ends.
     *
     * @param killed whether its process is killed or ended unexpectedly, rather than by SIGTERM
     */
    default void onManagerEnding(int manager, boolean killed) {}

    /**
     * Returns the time after SIGTERM at which a manager that has not ended is killed, in ticks; 0
     * if it is given the time that it takes.
     */
    default long killAfterShutdownSignal() {
        return 0;
    }

    /** Called on the loop's thread when a restarted manager serves again. */
    default void onManagerRestarted(int manager) {}

    /** Waits until the extension's clients have finished; not called on the loop's thread. */
    default void awaitClients() {}

    /** Returns violations other than those that the rule checker found. */
    default List<String> violations() {
        return List.of();
    }
}
