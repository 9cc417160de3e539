package firstage.overload;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import firstage.policy.api.DemandHistogram;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * What one manager tells of engines, as CBOR in the membership's digest: an array, its first item
 * the form's version, what a newer form adds at the end skipped. Empty where there is nothing to
 * tell, so that calm costs no byte.
 */
public final class OverloadDigest {
    private static final int VERSION = 1;

    /** So many engines fit beside the rest; the sickest of a zone's loss come by turns. */
    public static final int MOST = 24;

    /** Of a digest: half of a datagram and more is left to the membership. */
    private static final int BYTES = 560;

    private static final int WORD_BYTES = 14;
    private static final int ROW_BYTES = 26;
    private static final int LEAST_ROWS = 6;
    private static final int ROW_HEAD = 18;

    /** A thousandth of a core; with eight steps an octave a byte reaches four million. */
    private static final double LEAST = 0.001;

    private static final double STEPS = 8;
    private static final byte[] NOTHING = new byte[0];
    private static final CBORFactory CBOR = new CBORFactory();

    /**
     * Of one engine, by the id that all know: whether it is held closed, or was opened after that;
     * {@code ago}: tenths of a millisecond since it was last tried, or opened.
     */
    public record Word(long engine, boolean closed, long ago) {}

    private OverloadDigest() {}

    /** What is told: of engines, and the rows of the level, as many as there is room for. */
    public record Told(List<Word> words, List<LoadSheddingLevel.Row> rows) {
        static final Told NOTHING = new Told(List.of(), List.of());
    }

    /** So many rows are told beside these words. */
    public static int rows(int words) {
        return Math.max(LEAST_ROWS, (BYTES - Math.min(MOST, words) * WORD_BYTES) / ROW_BYTES);
    }

    public static byte[] write(List<Word> words, List<LoadSheddingLevel.Row> rows) {
        if (words.isEmpty() && rows.isEmpty()) {
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
            g.writeBinary(bytes(rows));
            g.writeEndArray();
        } catch (IOException fault) {
            throw new IllegalStateException("bytes in memory take all", fault);
        }
        return out.toByteArray();
    }

    /**
     * Each: name, stamp, sent, waits, runs, a bit for each band that was asked for, its zone, what
     * it sees of each, operators' orders, and those bands' figures.
     */
    private static byte[] bytes(List<LoadSheddingLevel.Row> rows) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(rows.size() * ROW_BYTES);
        for (LoadSheddingLevel.Row r : rows) {
            put(out, r.name());
            put(out, r.stamp());
            out.write(coarse(r.sent()));
            out.write(coarse(r.waits()));
            out.write(coarse(r.runs()));
            int asked = 0;
            for (int band = 0; band < DemandHistogram.BANDS; band++) {
                asked |= coarse(r.came()[band]) != 0 ? 1 << band : 0;
            }
            put(out, asked);
            out.write(r.zone());
            out.write(r.bad().length);
            out.write(r.orders().length);
            for (int share : r.bad()) {
                out.write(share);
            }
            for (int figure : r.orders()) {
                put(out, figure);
            }
            for (int band = 0; band < DemandHistogram.BANDS; band++) {
                if ((asked & 1 << band) != 0) {
                    out.write(coarse(r.came()[band]));
                }
            }
        }
        return out.toByteArray();
    }

    private static void put(ByteArrayOutputStream out, int number) {
        for (int shift = Integer.SIZE - Byte.SIZE; shift >= 0; shift -= Byte.SIZE) {
            out.write(number >>> shift);
        }
    }

    private static int number(byte[] in, int at) {
        int number = 0;
        for (int i = 0; i < Integer.BYTES; i++) {
            number = number << Byte.SIZE | in[at + i] & 0xFF;
        }
        return number;
    }

    private static List<LoadSheddingLevel.Row> rows(byte[] in) {
        List<LoadSheddingLevel.Row> rows = new ArrayList<>();
        int at = 0;
        while (in.length - at >= ROW_HEAD) {
            int asked = number(in, at + ROW_HEAD - Integer.BYTES - 3);
            int next = at + ROW_HEAD;
            int[] bad = new int[Byte.toUnsignedInt(in[next - 2])];
            int[] orders = new int[Byte.toUnsignedInt(in[next - 1])];
            if (in.length - next
                    < bad.length + orders.length * Integer.BYTES + Integer.bitCount(asked)) {
                return List.of();
            }
            for (int zone = 0; zone < bad.length; zone++) {
                bad[zone] = Byte.toUnsignedInt(in[next++]);
            }
            for (int i = 0; i < orders.length; i++) {
                orders[i] = number(in, next);
                next += Integer.BYTES;
            }
            double[] came = new double[DemandHistogram.BANDS];
            for (int band = 0; band < DemandHistogram.BANDS; band++) {
                came[band] = (asked & 1 << band) != 0 ? fine(in[next++]) : 0;
            }
            int figures = at + 2 * Integer.BYTES;
            rows.add(
                    new LoadSheddingLevel.Row(
                            number(in, at),
                            number(in, at + Integer.BYTES),
                            came,
                            fine(in[figures]),
                            fine(in[figures + 1]),
                            fine(in[figures + 2]),
                            Byte.toUnsignedInt(in[at + ROW_HEAD - 3]),
                            bad,
                            orders));
            at = next;
        }
        return rows;
    }

    /** A figure in one byte, in steps of an eighth of an octave; 0 for next to nothing. */
    private static byte coarse(double figure) {
        return (byte)
                (figure < LEAST
                        ? 0
                        : Math.min(
                                255,
                                1 + Math.round(STEPS * Math.log(figure / LEAST) / Math.log(2))));
    }

    private static double fine(byte coarse) {
        int step = Byte.toUnsignedInt(coarse);
        return step == 0 ? 0 : LEAST * Math.pow(2, (step - 1) / STEPS);
    }

    /**
     * What was told; nothing where it can't be read: then this manager goes by its own news alone.
     */
    public static Told read(byte[] bytes) {
        if (bytes.length == 0) {
            return Told.NOTHING;
        }
        List<Word> words = new ArrayList<>();
        try (JsonParser in = CBOR.createParser(bytes)) {
            if (in.nextToken() != JsonToken.START_ARRAY
                    || in.nextToken() != JsonToken.VALUE_NUMBER_INT
                    || in.nextToken() != JsonToken.START_ARRAY) {
                return Told.NOTHING;
            }
            while (in.nextToken() == JsonToken.VALUE_NUMBER_INT && words.size() < MOST) {
                long engine = in.getLongValue();
                JsonToken closed = in.nextToken();
                if (closed != JsonToken.VALUE_TRUE && closed != JsonToken.VALUE_FALSE
                        || in.nextToken() != JsonToken.VALUE_NUMBER_INT) {
                    return Told.NOTHING;
                }
                words.add(
                        new Word(
                                engine,
                                closed == JsonToken.VALUE_TRUE,
                                Math.max(0, in.getLongValue())));
            }
            // One of an older form tells no rows.
            boolean more = in.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT;
            return new Told(words, more ? rows(in.getBinaryValue()) : List.of());
        } catch (IOException spoilt) {
            return Told.NOTHING;
        }
    }
}
