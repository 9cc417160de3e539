package firstage.overload;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * What one manager tells of engines, as CBOR in the membership's digest: an array, its first item the form's version,
 * what a
 * newer form adds at the end skipped. Empty where there is nothing to tell, so that calm costs no byte.
 */
public final class Words {
    private static final int VERSION = 1;
    /** So many engines fit beside the rest; the sickest of a zone's loss come by turns. */
    public static final int MOST = 24;
    private static final byte[] NOTHING = new byte[0];
    private static final CBORFactory CBOR = new CBORFactory();

    /**
     * Of one engine, by the id that all know: whether it is held closed, or was opened after that; {@code ago}:
     * tenths of a
     * millisecond since it was last tried, or opened.
     */
    public record Word(long engine, boolean closed, long ago) {
    }

    private Words() {
    }

    public static byte[] write(List<Word> words) {
        if (words.isEmpty()) {
            return NOTHING;
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream(128);
        try (JsonGenerator g = CBOR.createGenerator(out)) {
            g.writeStartArray();
            g.writeNumber(VERSION);
            g.writeStartArray();
            for (Word w : words.subList(0, Math.min(MOST, words.size()))) {
                g.writeNumber(w.engine);
                g.writeBoolean(w.closed);
                g.writeNumber(w.ago);
            }
            g.writeEndArray();
            g.writeEndArray();
        } catch (IOException fault) {
            throw new IllegalStateException("bytes in memory take all", fault);
        }
        return out.toByteArray();
    }

    /** What was told; nothing where it can't be read: then this manager goes by its own news alone. */
    public static List<Word> read(byte[] bytes) {
        List<Word> words = new ArrayList<>();
        if (bytes.length == 0) {
            return words;
        }
        try (JsonParser in = CBOR.createParser(bytes)) {
            if (in.nextToken() != JsonToken.START_ARRAY || in.nextToken() != JsonToken.VALUE_NUMBER_INT
                    || in.nextToken() != JsonToken.START_ARRAY) {
                return List.of();
            }
            while (in.nextToken() == JsonToken.VALUE_NUMBER_INT && words.size() < MOST) {
                long engine = in.getLongValue();
                JsonToken closed = in.nextToken();
                if (closed != JsonToken.VALUE_TRUE && closed != JsonToken.VALUE_FALSE
                        || in.nextToken() != JsonToken.VALUE_NUMBER_INT) {
                    return List.of();
                }
                words.add(new Word(engine, closed == JsonToken.VALUE_TRUE, Math.max(0, in.getLongValue())));
            }
            return words;
        } catch (IOException spoilt) {
            return List.of();
        }
    }
}
