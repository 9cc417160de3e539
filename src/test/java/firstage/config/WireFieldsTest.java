package firstage.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firstage.util.Ticks;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests fields of lines and of JSON objects, and the wire's seconds. */
class WireFieldsTest {
    @Test
    void line_fieldsAfterTheFirstWord_areRead() {
        WireFields fields = new WireFields("WAKE i=3 nonce=77 in=0.25 enable=1 empty= odd");
        assertThat(fields.getInt("i", 0)).isEqualTo(3);
        assertThat(fields.getLong("nonce", 0)).isEqualTo(77);
        assertThat(fields.getTicks("in")).isEqualTo(Ticks.ofMillis(250));
        assertThat(fields.getBoolean("enable")).isTrue();
        assertThat(fields.getString("empty", "absent")).isEmpty();
        assertThat(fields.has("odd")).isFalse();
    }

    @Test
    void object_nestedValues_areHeldUnderDottedPaths() {
        WireFields fields =
                new WireFields(
                        Map.of(
                                "classes", List.of(Map.of("name", "a"), Map.of("name", "b")),
                                "areas", List.of("north, east", "south"),
                                "limits", Map.of("sockets", 9)));
        assertThat(fields.getInt(SettingsKeys.CLASS_COUNT, 0)).isEqualTo(2);
        assertThat(fields.getString(SettingsKeys.classField(1, SettingsKeys.CLASS_NAME), ""))
                .isEqualTo("b");
        assertThat(fields.getString("areas", "")).isEqualTo("north_ east,south");
        assertThat(fields.getInt("limits.sockets", 0)).isEqualTo(9);
    }

    @Test
    void require_missingOrUnreadable_namesTheField() {
        WireFields fields = new WireFields("X n=1.5 t=soon");
        assertThatThrownBy(() -> fields.require("none"))
                .isInstanceOf(InvalidInputException.class)
                .hasMessage("missing none");
        assertThatThrownBy(() -> fields.getLong("n", 0))
                .isInstanceOf(InvalidInputException.class)
                .hasMessage("n is not a whole number");
        assertThatThrownBy(() -> fields.getTicks("t"))
                .isInstanceOf(InvalidInputException.class)
                .hasMessage("t is not a number");
    }

    @Test
    void seconds_wholeTicks_areTheSameBothWays() {
        assertThat(WireFields.secondsToTicks(8.41225)).isEqualTo(84_122);
        assertThat(WireFields.secondsToTicks(0.3)).isEqualTo(3_000);
        assertThat(WireFields.formatSeconds(84_122)).isEqualTo("8.4122");
        assertThat(WireFields.formatSeconds(-5)).isEqualTo("-0.0005");
        assertThat(WireFields.formatSeconds(0)).isEqualTo("0.0000");
    }
}
