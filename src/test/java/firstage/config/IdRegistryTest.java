package firstage.config;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests that ids get small indices and that a released index is assigned again. */
class IdRegistryTest {
    private final IdRegistry<String> registry = new IdRegistry<>();

    @Test
    void indexFor_knownId_staysTheSame() {
        assertThat(registry.indexFor("a")).isZero();
        assertThat(registry.indexFor("b")).isEqualTo(1);
        assertThat(registry.indexFor("a")).isZero();
        assertThat(registry.idOf(1)).isEqualTo("b");
        assertThat(registry.findIndex("c")).isEqualTo(-1);
    }

    @Test
    void release_freedIndex_goesToTheNextId() {
        registry.indexFor("a");
        registry.indexFor("b");
        registry.release(0);
        assertThat(registry.size()).isEqualTo(1);
        assertThat(registry.findIndex("a")).isEqualTo(-1);
        assertThat(registry.indexFor("c")).isZero();
        assertThat(registry.idOf(0)).isEqualTo("c");
    }
}
