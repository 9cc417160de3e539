package firstage.bench;

import firstage.config.IdRegistry;

/** The small indices that one manager has for the simulator's ids. */
record BenchIds(
        IdRegistry<String> requests, IdRegistry<String> orderingKeys, IdRegistry<Long> engines) {
    BenchIds() {
        this(new IdRegistry<>(), new IdRegistry<>(), new IdRegistry<>());
    }
}
