package firstage.server.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firstage.config.WireFields;
import firstage.policy.api.EndpointUpdate.Lifecycle;
import firstage.server.ServerEvents.DiscoveredEndpoint;
import firstage.server.TickClock;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Parsing of endpoints from binary records and from JSON. */
class EndpointParserTest {
    private final TickClock clock = new TickClock();
    private final EndpointParser parser =
            new EndpointParser(
                    clock,
                    new WireFields(
                            Map.of(
                                    "areas",
                                    List.of("east, old", "west"),
                                    "kinds",
                                    List.of("std"))));

    private static ByteBuffer record(int state, long startedAtMs) {
        return ByteBuffer.allocate(27)
                .putInt(0xC41F7A00)
                .put(new byte[] {10, 0, (byte) 200, 9})
                .putShort((short) 49_090)
                .put((byte) state)
                .put((byte) 1)
                .put((byte) 0)
                .putShort((short) 2)
                .putInt(4_500)
                .putLong(startedAtMs)
                .flip();
    }

    @Test
    void parse_recordAndJson_areEqual() throws IOException {
        DiscoveredEndpoint fromRecord = parser.parse(record(1, 0)).get(0);
        DiscoveredEndpoint fromJson =
                parser.parse(
                                List.of(
                                        Map.of(
                                                "instanceId",
                                                "s-c41f7a00",
                                                "hostPort",
                                                "10.0.200.9:49090",
                                                "zone",
                                                "west",
                                                "machineType",
                                                "std",
                                                "cell",
                                                "2",
                                                "lifecycle",
                                                "Terminating",
                                                "weight",
                                                "4.5",
                                                "startedAtMs",
                                                "0")))
                        .get(0);
        assertThat(fromRecord).isEqualTo(fromJson);
        assertThat(fromRecord.lifecycle()).isEqualTo(Lifecycle.DRAINING);
        assertThat(fromRecord.startedAt()).isZero();
    }

    @Test
    void parse_startTime_isOnTickClock() throws IOException {
        long startedAt =
                parser.parse(record(0, System.currentTimeMillis() - 3_000)).get(0).startedAt();
        assertThat(clock.now() - startedAt).isBetween(29_000L, 40_000L);
    }

    @Test
    void parse_partialRecordOrUnknownState_throwsIoException() {
        assertThatThrownBy(() -> parser.parse(ByteBuffer.allocate(26)))
                .isInstanceOf(IOException.class);
        assertThatThrownBy(() -> parser.parse(record(3, 0))).isInstanceOf(IOException.class);
    }

    @Test
    void parse_unknownZoneOrMachineType_isMinusOne() {
        DiscoveredEndpoint endpoint =
                parser.parse(
                                List.of(
                                        Map.of(
                                                "instanceId",
                                                "s-1",
                                                "hostPort",
                                                "10.0.0.1:1",
                                                "zone",
                                                "moon",
                                                "lifecycle",
                                                "Ready",
                                                "colour",
                                                "blue")))
                        .get(0);
        assertThat(endpoint.zone()).isEqualTo(-1);
        assertThat(endpoint.kind()).isEqualTo(-1);
    }
}
