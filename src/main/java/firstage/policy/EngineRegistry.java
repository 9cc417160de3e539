package firstage.policy;

import firstage.policy.api.Deployment;
import firstage.policy.api.EndpointUpdate.Lifecycle;
import firstage.policy.api.PolicyActions;
import firstage.policy.state.EngineState;
import firstage.util.Ticks;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Registry of the engines known to this manager, in the order in which they became known. */
final class EngineRegistry {
    /** Time for which an engine is kept after it left the list; it may return, but rarely does. */
    private static final long RETENTION_AFTER_LEAVING = Ticks.ofSeconds(60);

    private final Map<Integer, EngineState> engines = new LinkedHashMap<>();
    private final Deployment.Rules rules;

    EngineRegistry(Deployment.Rules rules) {
        this.rules = rules;
    }

    /** Returns all known engines, including those that left and are still remembered. */
    Collection<EngineState> all() {
        return engines.values();
    }

    boolean contains(int engineId) {
        return engines.containsKey(engineId);
    }

    /** Returns the engine with this id, which is added if it is not known. */
    EngineState getOrCreate(int engineId) {
        return engines.computeIfAbsent(
                engineId,
                id ->
                        new EngineState(
                                id,
                                OutlierDetector.INITIAL_BACKOFF,
                                SlowStartBudget.newWorkWindow(rules)));
    }

    /** Marks all engines as gone, before the entries of a complete endpoint list are applied. */
    void markAllGone() {
        engines.values().forEach(engine -> engine.lifecycle = Lifecycle.GONE);
    }

    /** Removes and releases the engines that left long ago and have no attempt in flight. */
    void releaseGone(long now, PolicyActions actions) {
        List<Integer> gone =
                engines.keySet().stream()
                        .filter(id -> getOrCreate(id).goneFor(now) > RETENTION_AFTER_LEAVING)
                        .toList();
        gone.forEach(engines::remove);
        gone.forEach(actions::releaseEngine);
    }
}
