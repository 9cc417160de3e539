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
 * What one manager reports of engines and load, as CBOR in the digest of membership messages: an
 * array, its first item the version of the form; items that a newer form adds at the end are
 * skipped. Empty where there is nothing to report.
 */
public final class OverloadDigest {
    private static final int VERSION = 1;

    /** Engines in one digest; more go by turns. */
    public static final int MAX_REPORTS = 24;

    /** Of a digest; the rest of a datagram is left to the membership. */
    private static final int MAX_BYTES = 560;

    private static final int REPORT_BYTES = 14;
    private static final int ROW_BYTES = 26;
    private static final int MIN_ROWS = 6;
    private static final int ROW_HEADER_BYTES = 18;

    /** A thousandth of a core; with eight steps an octave a byte reaches four million. */
    private static final double SMALLEST_FIGURE = 0.001;

    private static final double STEPS_PER_OCTAVE = 8;
    private static final byte[] NO_BYTES = new byte[0];
    private static final CBORFactory CBOR = new CBORFactory();

    /**
     * Of one engine, by its id: whether it is ejected, or was readmitted after that; {@code age}:
     * ticks since the last attempt, or since the readmission.
     */
    public record EngineReport(long engine, boolean ejected, long age) {}

    private OverloadDigest() {}

    /** Reports on engines, and load rows, as many as there is room for. */
    public record Contents(List<EngineReport> reports, List<LoadRow> rows) {
        static final Contents EMPTY = new Contents(List.of(), List.of());
    }

    /** How many rows fit beside so many reports. */
    public static int rows(int reports) {
        return Math.max(
                MIN_ROWS, (MAX_BYTES - Math.min(MAX_REPORTS, reports) * REPORT_BYTES) / ROW_BYTES);
    }

    /** The bytes, with as many reports as fit. */
    public static byte[] encode(List<EngineReport> reports, List<LoadRow> rows) {
        if (reports.isEmpty() && rows.isEmpty()) {
            return NO_BYTES;
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream(128);
        try (JsonGenerator generator = CBOR.createGenerator(out)) {
            generator.writeStartArray();
            generator.writeNumber(VERSION);
            generator.writeStartArray();
            for (EngineReport report : reports.subList(0, Math.min(MAX_REPORTS, reports.size()))) {
                generator.writeNumber(report.engine);
                generator.writeBoolean(report.ejected);
                generator.writeNumber(report.age);
            }
            generator.writeEndArray();
            generator.writeBinary(encodeRows(rows));
            generator.writeEndArray();
        } catch (IOException fault) {
            throw new IllegalStateException("bytes in memory take all", fault);
        }
        return out.toByteArray();
    }

    /**
     * Each: manager, timestamp, start rate, queued work, threads, a bit for each band with
     * arrivals, zone, reports on zones, orders, and the arrival rates of those bands.
     */
    private static byte[] encodeRows(List<LoadRow> rows) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(rows.size() * ROW_BYTES);
        for (LoadRow row : rows) {
            writeInt(out, row.managerHash());
            writeInt(out, row.timestamp());
            out.write(quantize(row.startRate()));
            out.write(quantize(row.queuedWork()));
            out.write(quantize(row.runningThreads()));
            int asked = 0;
            for (int band = 0; band < DemandHistogram.BANDS; band++) {
                asked |= quantize(row.arrivalRates()[band]) != 0 ? 1 << band : 0;
            }
            writeInt(out, asked);
            out.write(row.zone());
            out.write(row.ejectedPercent().length);
            out.write(row.zoneOrders().length);
            for (int share : row.ejectedPercent()) {
                out.write(share);
            }
            for (int figure : row.zoneOrders()) {
                writeInt(out, figure);
            }
            for (int band = 0; band < DemandHistogram.BANDS; band++) {
                if ((asked & 1 << band) != 0) {
                    out.write(quantize(row.arrivalRates()[band]));
                }
            }
        }
        return out.toByteArray();
    }

    private static void writeInt(ByteArrayOutputStream out, int number) {
        for (int shift = Integer.SIZE - Byte.SIZE; shift >= 0; shift -= Byte.SIZE) {
            out.write(number >>> shift);
        }
    }

    private static int readInt(byte[] in, int at) {
        int number = 0;
        for (int i = 0; i < Integer.BYTES; i++) {
            number = number << Byte.SIZE | in[at + i] & 0xFF;
        }
        return number;
    }

    private static List<LoadRow> rows(byte[] in) {
        List<LoadRow> rows = new ArrayList<>();
        int at = 0;
        while (in.length - at >= ROW_HEADER_BYTES) {
            int asked = readInt(in, at + ROW_HEADER_BYTES - Integer.BYTES - 3);
            int next = at + ROW_HEADER_BYTES;
            int[] ejectedPercent = new int[Byte.toUnsignedInt(in[next - 2])];
            int[] zoneOrders = new int[Byte.toUnsignedInt(in[next - 1])];
            if (in.length - next
                    < ejectedPercent.length
                            + zoneOrders.length * Integer.BYTES
                            + Integer.bitCount(asked)) {
                return List.of();
            }
            for (int zone = 0; zone < ejectedPercent.length; zone++) {
                ejectedPercent[zone] = Byte.toUnsignedInt(in[next++]);
            }
            for (int i = 0; i < zoneOrders.length; i++) {
                zoneOrders[i] = readInt(in, next);
                next += Integer.BYTES;
            }
            double[] arrivalRates = new double[DemandHistogram.BANDS];
            for (int band = 0; band < DemandHistogram.BANDS; band++) {
                arrivalRates[band] = (asked & 1 << band) != 0 ? dequantize(in[next++]) : 0;
            }
            int figures = at + 2 * Integer.BYTES;
            rows.add(
                    new LoadRow(
                            readInt(in, at),
                            readInt(in, at + Integer.BYTES),
                            arrivalRates,
                            dequantize(in[figures]),
                            dequantize(in[figures + 1]),
                            dequantize(in[figures + 2]),
                            Byte.toUnsignedInt(in[at + ROW_HEADER_BYTES - 3]),
                            ejectedPercent,
                            zoneOrders));
            at = next;
        }
        return rows;
    }

    /** A figure in one byte, in steps of an eighth of an octave; 0 for next to nothing. */
    private static byte quantize(double figure) {
        return (byte)
                (figure < SMALLEST_FIGURE
                        ? 0
                        : Math.min(
                                255,
                                1
                                        + Math.round(
                                                STEPS_PER_OCTAVE
                                                        * Math.log(figure / SMALLEST_FIGURE)
                                                        / Math.log(2))));
    }

    private static double dequantize(byte coarse) {
        int step = Byte.toUnsignedInt(coarse);
        return step == 0 ? 0 : SMALLEST_FIGURE * Math.pow(2, (step - 1) / STEPS_PER_OCTAVE);
    }

    /** The contents, empty where the bytes can't be read. */
    public static Contents decode(byte[] bytes) {
        if (bytes.length == 0) {
            return Contents.EMPTY;
        }
        List<EngineReport> reports = new ArrayList<>();
        try (JsonParser in = CBOR.createParser(bytes)) {
            if (in.nextToken() != JsonToken.START_ARRAY
                    || in.nextToken() != JsonToken.VALUE_NUMBER_INT
                    || in.nextToken() != JsonToken.START_ARRAY) {
                return Contents.EMPTY;
            }
            while (in.nextToken() == JsonToken.VALUE_NUMBER_INT && reports.size() < MAX_REPORTS) {
                long engine = in.getLongValue();
                JsonToken ejected = in.nextToken();
                if (ejected != JsonToken.VALUE_TRUE && ejected != JsonToken.VALUE_FALSE
                        || in.nextToken() != JsonToken.VALUE_NUMBER_INT) {
                    return Contents.EMPTY;
                }
                reports.add(
                        new EngineReport(
                                engine,
                                ejected == JsonToken.VALUE_TRUE,
                                Math.max(0, in.getLongValue())));
            }
            // An older form has no rows.
            boolean more = in.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT;
            return new Contents(reports, more ? rows(in.getBinaryValue()) : List.of());
        } catch (IOException spoilt) {
            return Contents.EMPTY;
        }
    }
}
