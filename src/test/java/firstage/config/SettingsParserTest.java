package firstage.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import firstage.policy.api.Deployment;
import org.junit.jupiter.api.Test;

/** Old shape and new are told apart by settings alone; a mix of them is refused, naming the key. */
class SettingsParserTest {
    private static Deployment read(String settings) {
        return SettingsParser.parse(new WireFields("POWER_ON " + settings));
    }

    @Test
    void withoutTheNewKeysTheShapeIsTheEarlierOne() {
        Deployment d = read("limits.probing=true deductions.probe=0.01");
        assertTrue(d.probesReportLoad());
        assertFalse(d.memoryOvercommitPages());
    }

    @Test
    void theNewShapeIsReadFromItsKeys() {
        Deployment d = read("report.via=off report.fields= family_info.out_of_memory=page");
        assertFalse(d.probesReportLoad());
        assertTrue(d.memoryOvercommitPages());
    }

    @Test
    void aMixOfShapesIsRefusedNamingTheKey() {
        MalformedLineException fault =
                assertThrows(
                        MalformedLineException.class,
                        () -> read("report.via=off report.fields=waiting"));
        assertTrue(fault.getMessage().startsWith("report.fields"));
    }

    @Test
    void anUnknownWordIsRefusedNamingTheKey() {
        MalformedLineException fault =
                assertThrows(
                        MalformedLineException.class, () -> read("family_info.out_of_memory=swap"));
        assertEquals(
                "family_info.out_of_memory = swap is none of [page, shrink, wait]",
                fault.getMessage());
    }
}
