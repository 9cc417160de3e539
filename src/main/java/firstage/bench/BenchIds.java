package firstage.bench;

import firstage.config.IdRegistry;

/** Registries of the small indices that one manager assigns to the simulator's ids. */
record BenchIds(
        IdRegistry<String> requests, IdRegistry<String> orderingKeys, IdRegistry<Long> engines) {
    BenchIds() {
        this(new IdRegistry<>(), new IdRegistry<>(), new IdRegistry<>());
    }
}
