package firstage.server.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Parsing of engine responses that arrive whole, in pieces or malformed. */
class EngineResponseReaderTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Meter: queue:3\r\n\r\na\tb\nc",
                "HTTP/1.1 100 Continue\r\n\r\n"
                        + "HTTP/1.1 200 OK\n"
                        + "x-meter:queue:3\n"
                        + "Transfer-Encoding: chunked\n\n"
                        + "2;x=y\r\n"
                        + "a\t\r\n"
                        + "3\r\n"
                        + "b\n"
                        + "c\r\n"
                        + "0\r\n"
                        + "T: 1\r\n\r\n",
            })
    void read_responseInPieces_isComplete(String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        for (int size = 1; size <= bytes.length; size++) {
            EngineResponseReader reader = new EngineResponseReader();
            for (int offset = 0; offset < bytes.length; offset += size) {
                boolean last = offset + size >= bytes.length;
                assertThat(
                                reader.read(
                                        ByteBuffer.wrap(
                                                bytes,
                                                offset,
                                                Math.min(size, bytes.length - offset))))
                        .isEqualTo(last);
            }
            assertThat(reader.response(false).body())
                    .isEqualTo("a\tb\nc".getBytes(StandardCharsets.ISO_8859_1));
            assertThat(reader.response(false).status()).isEqualTo(200);
            assertThat(EngineProtocol.loadReport(reader.response(false)).queuedForMemory())
                    .isEqualTo(3);
        }
    }

    @Test
    void read_partialResponse_isNotComplete() throws IOException {
        EngineResponseReader reader = new EngineResponseReader();
        assertThat(
                        reader.read(
                                ByteBuffer.wrap(
                                        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab"
                                                .getBytes())))
                .isFalse();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "no status\r\n",
                "HTTP/1.1 x\r\n",
                "HTTP/1.1 200 OK\r\nno header\r\n",
                "HTTP/1.1 200 OK\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\nx"
            })
    void read_malformedResponse_throwsIoException(String text) {
        assertThatThrownBy(() -> new EngineResponseReader().read(ByteBuffer.wrap(text.getBytes())))
                .isInstanceOf(IOException.class);
    }
}
