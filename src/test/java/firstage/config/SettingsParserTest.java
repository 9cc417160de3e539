package firstage.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import firstage.policy.api.Deployment;
import org.junit.jupiter.api.Test;

/**
 * Tests that settings without the newer keys select the earlier report and memory modes, and that
 * contradictory or unknown values are rejected with the name of the key.
 */
class SettingsParserTest {
    private static Deployment read(String settings) {
        return SettingsParser.parse(new WireFields("POWER_ON " + settings));
    }

    @Test
    void parse_withoutTheNewerKeys_keepsTheEarlierModes() {
        Deployment deployment = read("limits.probing=true deductions.probe=0.01");
        assertTrue(deployment.probesReportLoad());
        assertFalse(deployment.memoryOvercommitPages());
    }

    @Test
    void parse_newerKeys_selectsTheNewerModes() {
        Deployment deployment =
                read("report.via=off report.fields= family_info.out_of_memory=page");
        assertFalse(deployment.probesReportLoad());
        assertTrue(deployment.memoryOvercommitPages());
    }

    @Test
    void parse_contradictoryKeys_isRefusedNamingTheKey() {
        InvalidInputException exception =
                assertThrows(
                        InvalidInputException.class,
                        () -> read("report.via=off report.fields=waiting"));
        assertTrue(exception.getMessage().startsWith("report.fields"));
    }

    @Test
    void parse_unknownValue_isRefusedNamingTheKey() {
        InvalidInputException exception =
                assertThrows(
                        InvalidInputException.class, () -> read("family_info.out_of_memory=swap"));
        assertEquals(
                "family_info.out_of_memory = swap is none of [page, shrink, wait]",
                exception.getMessage());
    }
}
