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
 * Encodes and decodes a manager's reports on engines and load, which travel as CBOR in the digest
 * of membership messages: an array whose first item is the format version. Items that a newer
 * format adds at the end are skipped. The digest is empty if there is nothing to report.
 */
public final class OverloadDigest {
    private static final int VERSION = 1;

    /** Maximum number of engine reports in one digest; more are sent in turn. */
    public static final int MAX_REPORTS = 24;

    /** Target size of a digest in bytes; the rest of a datagram is left to the membership. */
    private static final int MAX_BYTES = 560;

    private static final int REPORT_BYTES = 14;
    private static final int ROW_BYTES = 26;
    private static final int MIN_ROWS = 6;
    private static final int ROW_HEADER_BYTES = 18;

    /**
     * Smallest encoded value other than 0: a thousandth of a core. With eight steps per factor of
     * two the largest value in a byte is almost four million.
     */
    private static final double SMALLEST_VALUE = 0.001;

    private static final double STEPS_PER_OCTAVE = 8;
    private static final byte[] NO_BYTES = new byte[0];
    private static final CBORFactory CBOR = new CBORFactory();

    /**
     * Report on an engine that is ejected or was recently readmitted.
     *
     * @param engine id of the engine
     * @param ejected whether the engine is ejected; false after a readmission
     * @param age ticks since the last attempt on the ejected engine, or since the readmission
     */
    public record EngineReport(long engine, boolean ejected, long age) {}

    private OverloadDigest() {}

    /** Decoded contents of a digest. */
    public record Contents(List<EngineReport> reports, List<LoadRow> rows) {
        static final Contents EMPTY = new Contents(List.of(), List.of());
    }

    /** Returns how many load rows fit beside this number of engine reports. */
    public static int maxRows(int reports) {
        return Math.max(
                MIN_ROWS, (MAX_BYTES - Math.min(MAX_REPORTS, reports) * REPORT_BYTES) / ROW_BYTES);
    }

    /** Encodes the rows and up to {@link #MAX_REPORTS} reports; empty if there are none. */
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
        } catch (IOException exception) {
            throw new IllegalStateException("can't encode an overload digest in memory", exception);
        }
        return out.toByteArray();
    }

    /**
     * Encodes rows one after the other. Each row consists of the manager's hash, timestamp, start
     * rate, queued work, running threads, a bit mask of the bands with arrivals, the zone, the
     * counts of ejection percentages and of zone orders, these two lists, and the arrival rates of
     * the bands in the mask.
     */
    private static byte[] encodeRows(List<LoadRow> rows) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(rows.size() * ROW_BYTES);
        for (LoadRow row : rows) {
            writeInt(out, row.managerHash());
            writeInt(out, row.timestamp());
            out.write(quantize(row.startRate()));
            out.write(quantize(row.queuedWork()));
            out.write(quantize(row.runningThreads()));
            int bandMask = 0;
            for (int band = 0; band < DemandHistogram.BANDS; band++) {
                bandMask |= quantize(row.arrivalRates()[band]) != 0 ? 1 << band : 0;
            }
            writeInt(out, bandMask);
            out.write(row.zone());
            out.write(row.ejectedPercent().length);
            out.write(row.zoneOrders().length);
            for (int percent : row.ejectedPercent()) {
                out.write(percent);
            }
            for (int item : row.zoneOrders()) {
                writeInt(out, item);
            }
            for (int band = 0; band < DemandHistogram.BANDS; band++) {
                if ((bandMask & 1 << band) != 0) {
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

    private static List<LoadRow> decodeRows(byte[] in) {
        List<LoadRow> rows = new ArrayList<>();
        int at = 0;
        while (in.length - at >= ROW_HEADER_BYTES) {
            int bandMask = readInt(in, at + ROW_HEADER_BYTES - Integer.BYTES - 3);
            int next = at + ROW_HEADER_BYTES;
            int[] ejectedPercent = new int[Byte.toUnsignedInt(in[next - 2])];
            int[] zoneOrders = new int[Byte.toUnsignedInt(in[next - 1])];
            if (in.length - next
                    < ejectedPercent.length
                            + zoneOrders.length * Integer.BYTES
                            + Integer.bitCount(bandMask)) {
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
                arrivalRates[band] = (bandMask & 1 << band) != 0 ? dequantize(in[next++]) : 0;
            }
            int valuesAt = at + 2 * Integer.BYTES;
            rows.add(
                    new LoadRow(
                            readInt(in, at),
                            readInt(in, at + Integer.BYTES),
                            arrivalRates,
                            dequantize(in[valuesAt]),
                            dequantize(in[valuesAt + 1]),
                            dequantize(in[valuesAt + 2]),
                            Byte.toUnsignedInt(in[at + ROW_HEADER_BYTES - 3]),
                            ejectedPercent,
                            zoneOrders));
            at = next;
        }
        return rows;
    }

    /** Encodes a value in one byte in steps of an eighth of an octave; 0 for negligible values. */
    private static byte quantize(double value) {
        return (byte)
                (value < SMALLEST_VALUE
                        ? 0
                        : Math.min(
                                255,
                                1
                                        + Math.round(
                                                STEPS_PER_OCTAVE
                                                        * Math.log(value / SMALLEST_VALUE)
                                                        / Math.log(2))));
    }

    private static double dequantize(byte quantized) {
        int step = Byte.toUnsignedInt(quantized);
        return step == 0 ? 0 : SMALLEST_VALUE * Math.pow(2, (step - 1) / STEPS_PER_OCTAVE);
    }

    /** Decodes a digest; returns empty contents if the bytes are malformed. */
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
            // An older format has no rows.
            boolean hasRows = in.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT;
            return new Contents(reports, hasRows ? decodeRows(in.getBinaryValue()) : List.of());
        } catch (IOException malformed) {
            return Contents.EMPTY;
        }
    }
}
