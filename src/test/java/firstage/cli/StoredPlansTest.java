package firstage.cli;

import static org.assertj.core.api.Assertions.assertThat;

import firstage.policy.api.TrafficClass.Effect;
import firstage.policy.api.TrafficClass.Scope;
import firstage.scale.ScalePlan;
import firstage.simulation.FleetPlan;
import firstage.simulation.FleetPlanReader;
import firstage.simulation.Range;
import firstage.util.Ticks;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests that plans for simulation, fault tests and scale tests that were written for earlier
 * versions are still read with the same values.
 */
class StoredPlansTest {
    private static String stored(String name) throws IOException {
        return Files.readString(Path.of("src", "test", "resources", "stored", name));
    }

    @Test
    void read_storedFleetPlan_givesFleetAndTraffic() throws IOException {
        FleetPlan plan = FleetPlanReader.read(stored("fleet.toml"));
        assertThat(plan.name()).isEqualTo("shop");
        assertThat(plan.length()).isEqualTo(Ticks.ofSeconds(60));
        assertThat(plan.managers())
                .isEqualTo(
                        new FleetPlan.Managers(
                                3,
                                3,
                                0,
                                1,
                                0,
                                new Range(Ticks.ofSeconds(1), Ticks.ofSeconds(3)),
                                true,
                                true,
                                false,
                                6,
                                new Range(Ticks.ofMillis(500), Ticks.ofMillis(1_500))));
        assertThat(plan.engines().count()).isEqualTo(7);
        assertThat(plan.engines().cores()).isEqualTo(8);
        assertThat(plan.engines().memoryMb()).isEqualTo(16_384);
        assertThat(plan.clients().retries()).isEqualTo(2);
        assertThat(plan.traffic())
                .isEqualTo(new FleetPlan.Traffic("steady", 57, 0.2, 40, 0.8, 20, 0.7));
        assertThat(plan.tenants())
                .containsExactly(
                        new FleetPlan.TenantPlan("large", 0.6),
                        new FleetPlan.TenantPlan("small", 0.4));
    }

    @Test
    void read_storedFleetPlan_givesClassesAndFaults() throws IOException {
        FleetPlan plan = FleetPlanReader.read(stored("fleet.toml"));
        assertThat(plan.trafficClasses())
                .extracting(FleetPlan.TrafficClassPlan::name)
                .containsExactly("lookup", "report", "log-load");
        assertThat(plan.trafficClasses().get(2))
                .isEqualTo(
                        new FleetPlan.TrafficClassPlan(
                                "log-load",
                                0.06,
                                Ticks.ofSeconds(4),
                                0.8,
                                0.55,
                                2,
                                900,
                                Ticks.ofSeconds(4),
                                3,
                                Ticks.ofSeconds(25),
                                8,
                                0.5,
                                Effect.NON_IDEMPOTENT,
                                Scope.ALL,
                                Ticks.ofSeconds(5),
                                true,
                                true,
                                false,
                                0,
                                1,
                                0.4));
        assertThat(plan.disturbances())
                .containsExactly(
                        new FleetPlan.Disturbance(
                                FleetPlan.Disturbance.Kind.CRASH,
                                Ticks.ofSeconds(15),
                                Ticks.ofSeconds(12),
                                0.15,
                                1,
                                0.01,
                                0),
                        new FleetPlan.Disturbance(
                                FleetPlan.Disturbance.Kind.RESTART,
                                Ticks.ofSeconds(35),
                                Ticks.ofSeconds(3),
                                1,
                                1,
                                0.01,
                                0));
    }

    @Test
    void read_storedFaultTestPlan_givesFaultsAndBounds() throws IOException {
        FleetPlan plan = FleetPlanReader.read(stored("fault-test.toml"));
        assertThat(plan.name()).isEqualTo("zone-cut");
        assertThat(plan.zones()).containsExactly("north", "south");
        assertThat(plan.managers().discoveryDelay())
                .isEqualTo(new Range(Ticks.ofMillis(300), Ticks.ofMillis(1_500)));
        assertThat(plan.faults())
                .hasSize(3)
                .allSatisfy(
                        fault -> {
                            assertThat(fault.kind()).isEqualTo(FleetPlan.Fault.Kind.CUT);
                            assertThat(fault.at()).isEqualTo(Ticks.ofSeconds(5));
                            assertThat(fault.length()).isEqualTo(Ticks.ofSeconds(8));
                            assertThat(fault.oneWay()).isFalse();
                        });
        assertThat(plan.faults())
                .extracting(fault -> fault.source() + " / " + fault.target())
                .containsExactly(
                        "managers of north / engines of south",
                        "managers of south / engines of north",
                        "managers of north / managers of south");
        assertThat(plan.expectations())
                .containsExactly(new FleetPlan.Expectation(95, "quiet after s", 0, 8));
    }

    @Test
    void read_storedScalePlan_givesManagersAndEvents() throws IOException {
        ScalePlan plan = ScalePlan.read(stored("scale.toml"));
        assertThat(plan)
                .isEqualTo(
                        new ScalePlan(
                                "small",
                                Ticks.ofSeconds(8),
                                Ticks.ofSeconds(6),
                                List.of("north", "south"),
                                96,
                                4,
                                25,
                                2,
                                430,
                                50,
                                Ticks.ofMillis(200),
                                List.of(),
                                List.of(
                                        new ScalePlan.Event(
                                                ScalePlan.Kind.LIST, Ticks.ofMillis(500), 17),
                                        new ScalePlan.Event(
                                                ScalePlan.Kind.KILL, Ticks.ofSeconds(1), 21))));
        assertThat(plan.cellPlan().cells())
                .extracting(cell -> cell.name() + " " + cell.zone() + " " + cell.slots())
                .containsExactly("c0 north 25", "c1 south 25", "c2 north 25", "c3 south 25");
    }
}
