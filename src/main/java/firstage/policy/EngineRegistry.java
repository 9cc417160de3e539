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

/** The engines that this manager knows, in the order in which it met them. */
final class EngineRegistry {
    /** How long an engine is remembered after it left: it may come back, and mostly does not. */
    private static final long RETENTION_AFTER_LEAVING = Ticks.ofSeconds(60);

    private final Map<Integer, EngineState> engines = new LinkedHashMap<>();
    private final Deployment.Rules rules;

    EngineRegistry(Deployment.Rules rules) {
        this.rules = rules;
    }

    /** All known engines, also those that have left and are still remembered. */
    Collection<EngineState> all() {
        return engines.values();
    }

    boolean contains(int engineId) {
        return engines.containsKey(engineId);
    }

    /** The engine of this id; a new one where it was not known. */
    EngineState get(int engineId) {
        return engines.computeIfAbsent(
                engineId,
                id ->
                        new EngineState(
                                id,
                                OutlierDetector.INITIAL_BACKOFF,
                                SlowStartBudget.newWorkWindow(rules)));
    }

    /** Before a full endpoint list is applied: what it does not name has left. */
    void markAllGone() {
        engines.values().forEach(engine -> engine.lifecycle = Lifecycle.GONE);
    }

    /** Forgets the engines that left long ago and have no attempt in flight. */
    void releaseGone(long now, PolicyActions actions) {
        List<Integer> gone =
                engines.keySet().stream()
                        .filter(id -> get(id).goneFor(now) > RETENTION_AFTER_LEAVING)
                        .toList();
        gone.forEach(engines::remove);
        gone.forEach(actions::releaseEngine);
    }
}
