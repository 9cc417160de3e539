package firstage.soak;

import static org.assertj.core.api.Assertions.assertThat;

import firstage.fixtures.SystemCallFaults;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.DisabledIfSystemProperty;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/**
 * Runs many managers under overlapping faults drawn from seeds: nothing may be sent for a client
 * that left, and every other request must get one final answer. A longer soak is run by hand:
 * {@code mvn -B verify -Dit.test=FaultSoakIT -Dsoak.first=1 -Dsoak.count=50 -Dsoak.managers=16}.
 */
class FaultSoakIT {
    private static final long FIRST_SEED = Long.getLong("soak.first", 1);
    private static final int SEEDS = Integer.getInteger("soak.count", 3);
    private static final int MANAGERS = Integer.getInteger("soak.managers", 10);
    private static final Path RECORDS = Path.of("target", "soak");

    /**
     * Guards against requests that are sent to engines after their clients left, whose connections
     * are closed without an answer, or that are never answered, under any fault.
     */
    @Test
    @DisabledIfSystemProperty(named = "soak.defect", matches = ".+")
    void seeds_overlappingFaults_noViolation() throws IOException {
        assertNoViolation("seed-", FaultSoak::play);
    }

    /**
     * Guards against clients that come again as soon as they are refused, and so keep a manager's
     * I/O thread from all others, beside the faults of the same seeds.
     */
    @Test
    @DisabledIfSystemProperty(named = "soak.defect", matches = ".+")
    void seeds_overlappingFaultsAndInvalidCallers_noViolation() throws IOException {
        assertNoViolation("callers-seed-", FaultSoak::playWithInvalidCallers);
    }

    /** Runs the soak of a seed with a number of managers; its records go to the folder. */
    private interface Soak {
        FaultSoak.Report play(long seed, int managers, Path folder) throws IOException;
    }

    private static void assertNoViolation(String folderPrefix, Soak soak) throws IOException {
        if (!SystemCallFaults.available()) {
            System.out.println("soak: PARTIAL: no C compiler, no system call fails");
        }
        List<String> violations = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            FaultSoak.Report report =
                    soak.play(seed, MANAGERS, RECORDS.resolve(folderPrefix + seed));
            System.out.printf(
                    "soak: seed=%d requests=%d departures=%d refusedSends=%d violations=%d"
                            + " void=%s faults=%s%n",
                    seed,
                    report.requests(),
                    report.departures(),
                    report.refusedSends(),
                    report.violations().size(),
                    report.result().voidReason().orElse("no"),
                    report.faults());
            for (String violation : report.violations()) {
                System.out.println("soak: seed=" + seed + " violation: " + violation);
                violations.add("seed " + seed + ": " + violation);
            }
        }
        assertThat(violations).isEmpty();
    }

    /**
     * Verifies that the soak finds a known defect, without which a passing soak would prove
     * nothing; run by hand with {@code -Dsoak.defect=GUARD_OFF}.
     */
    @Test
    @EnabledIfSystemProperty(named = "soak.defect", matches = ".+")
    void seededDefect_isFound() throws IOException {
        SeededDefect defect = SeededDefect.valueOf(System.getProperty("soak.defect"));
        String serveCommand = defect.serveCommand(RECORDS.resolve("defect-" + defect));
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            FaultSoak.Report report =
                    FaultSoak.play(
                            seed,
                            MANAGERS,
                            RECORDS.resolve("defect-" + defect + "-seed-" + seed),
                            serveCommand);
            System.out.println(
                    "soak: defect=" + defect + " seed=" + seed + " " + report.violations());
            if (!report.violations().isEmpty()) {
                return;
            }
        }
        throw new AssertionError(defect + " not found within " + SEEDS + " seeds");
    }
}
