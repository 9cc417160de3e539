package firstage.simulation;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firstage.failover.FleetCoordinator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the names by which operators choose the policy of a simulation. */
class PolicyUnderTestTest {
    @ParameterizedTest
    @ValueSource(strings = {"", ":cold=settings", ":peers", ":peers=no-peers", ":bounds=4"})
    void of_nameOfEarlierVersions_meansTheScheduler(String variant) {
        PolicyUnderTest alias = PolicyUnderTest.of("brain" + variant);
        PolicyUnderTest scheduler = PolicyUnderTest.of("scheduler" + variant);
        assertThat(alias.name()).isEqualTo("brain" + variant);
        assertThat(scheduler.name()).isEqualTo("scheduler" + variant);
        assertThat(alias).usingRecursiveComparison().ignoringFields("name").isEqualTo(scheduler);
        assertThat(scheduler.baseline()).isNull();
    }

    @Test
    void of_variants_areParsed() {
        assertThat(PolicyUnderTest.of("scheduler:bounds=4").capacityFactor()).isEqualTo(4);
        assertThat(PolicyUnderTest.of("scheduler:cold=settings").warmUpBySettings()).isTrue();
        assertThat(PolicyUnderTest.of("scheduler:peers").coordinationDefects())
                .isEqualTo(FleetCoordinator.InjectedDefects.NONE);
        assertThat(PolicyUnderTest.of("two-choices").baseline())
                .isEqualTo(BaselinePolicy.Kind.TWO_CHOICES);
    }

    @ParameterizedTest
    @ValueSource(strings = {"brains", "scheduler:peers=no-such", "scheduler:bound=4", "best"})
    void of_unknownChoice_isRefusedWithAllChoices(String text) {
        assertThatThrownBy(() -> PolicyUnderTest.of(text))
                .isInstanceOf(InvalidPlanException.class)
                .hasMessageContaining("'" + text + "' is not a choice; choices are scheduler, ");
    }

    @ParameterizedTest
    @ValueSource(strings = {"scheduler:bounds=0", "brain:bounds=1001", "scheduler:bounds=many"})
    void of_invalidBounds_isRefusedWithAnExample(String text) {
        assertThatThrownBy(() -> PolicyUnderTest.of(text))
                .isInstanceOf(InvalidPlanException.class)
                .hasMessageContaining("such as scheduler:bounds=4");
    }
}
