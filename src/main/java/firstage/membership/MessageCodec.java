package firstage.membership;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A message as CBOR (RFC 8949): one array, its first item the form's version, further items at the
 * end skipped, so that a newer program may tell more. What does not fit into a datagram is left
 * out: entries last, the oldest rumours first kept.
 */
public final class MessageCodec {
    /** The most that goes into one datagram: under the least MTU of IPv6 with its heads. */
    public static final int MOST = 1_200;

    private static final int VERSION = 1;
    private static final int HEAD = 200;
    private static final int MOST_NAME = 64;
    private static final int MOST_NAMES = 64;
    private static final int MOST_ENTRIES = 64;
    private static final int ENTRY = 48;
    private final CBORFactory cbor = new CBORFactory();
    private final int most;

    /** {@code most}: bytes a datagram may hold. */
    public MessageCodec(int most) {
        this.most = most;
    }

    /** What is wrong with a datagram. */
    public static final class Unusable extends Exception {
        private static final long serialVersionUID = 1;

        Unusable(String what) {
            super(what, null, false, false);
        }
    }

    /** How many entries like these go into one datagram beside the rest. */
    public int room(int digest) {
        return Math.max(1, (most - HEAD - digest) / ENTRY);
    }

    /** The bytes, with as many entries as fit. */
    public byte[] write(MembershipMessage m) {
        for (int entries = Math.min(m.entries().size(), MOST_ENTRIES); ; entries--) {
            byte[] bytes = write(m, entries);
            if (bytes.length <= most || entries == 0) {
                return bytes;
            }
        }
    }

    private byte[] write(MembershipMessage m, int entries) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        try (JsonGenerator g = cbor.createGenerator(out)) {
            g.writeStartArray();
            g.writeNumber(VERSION);
            g.writeString(m.fleet());
            g.writeString(m.from());
            g.writeNumber(m.incarnation());
            g.writeNumber(m.kind().ordinal());
            g.writeNumber(m.seq());
            g.writeString(m.target());
            g.writeNumber(m.view());
            g.writeNumber(m.hash());
            g.writeNumber(m.heardAgo());
            g.writeBoolean(m.grants());
            names(g, m.lent());
            names(g, m.unheard());
            g.writeStartArray();
            for (Member e : m.entries().subList(0, entries)) {
                g.writeStartArray();
                g.writeString(e.name());
                g.writeString(e.zone());
                g.writeNumber(e.incarnation());
                g.writeNumber(e.standing().ordinal());
                g.writeString(e.version());
                g.writeNumber((float) e.weight());
                g.writeEndArray();
            }
            g.writeEndArray();
            g.writeBinary(m.digest());
            g.writeEndArray();
        } catch (IOException fault) {
            throw new IllegalStateException("bytes in memory take all", fault);
        }
        return out.toByteArray();
    }

    private static void names(JsonGenerator g, List<String> names) throws IOException {
        g.writeStartArray();
        for (String name : names.subList(0, Math.min(MOST_NAMES, names.size()))) {
            g.writeString(name);
        }
        g.writeEndArray();
    }

    /**
     * Reads it; whatever is not whole and in form is refused with its cause in two or three words.
     */
    public MembershipMessage read(byte[] bytes) throws Unusable {
        if (bytes.length > most) {
            throw new Unusable("too long");
        }
        try (JsonParser in = cbor.createParser(bytes)) {
            need(in.nextToken() == JsonToken.START_ARRAY);
            need(in.nextToken() == JsonToken.VALUE_NUMBER_INT);
            if (in.getIntValue() < VERSION) {
                throw new Unusable("older form");
            }
            String fleet = text(in);
            String from = text(in);
            long incarnation = whole(in);
            int kind = (int) whole(in);
            need(kind >= 0 && kind < MembershipMessage.Kind.values().length);
            long seq = whole(in);
            String target = text(in);
            long view = whole(in);
            long hash = whole(in);
            long heardAgo = whole(in);
            JsonToken grants = in.nextToken();
            need(grants == JsonToken.VALUE_TRUE || grants == JsonToken.VALUE_FALSE);
            List<String> lent = names(in);
            List<String> unheard = names(in);
            List<Member> entries = entries(in);
            need(in.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT);
            byte[] digest = in.getBinaryValue();
            // What a newer form adds stands here; the array must end all the same.
            JsonToken more = in.nextToken();
            while (more != JsonToken.END_ARRAY) {
                need(more != null);
                in.skipChildren();
                more = in.nextToken();
            }
            need(in.nextToken() == null && !from.isEmpty() && incarnation > 0);
            return new MembershipMessage(
                    fleet,
                    from,
                    incarnation,
                    MembershipMessage.Kind.values()[kind],
                    seq,
                    target,
                    view,
                    hash,
                    heardAgo,
                    grants == JsonToken.VALUE_TRUE,
                    lent,
                    unheard,
                    entries,
                    digest);
        } catch (IOException fault) {
            throw new Unusable("spoilt");
        }
    }

    private static void need(boolean holds) throws Unusable {
        if (!holds) {
            throw new Unusable("spoilt");
        }
    }

    private static String text(JsonParser in) throws IOException, Unusable {
        need(in.nextToken() == JsonToken.VALUE_STRING);
        String text = in.getText();
        need(text.length() <= MOST_NAME);
        return text;
    }

    private static long whole(JsonParser in) throws IOException, Unusable {
        need(in.nextToken() == JsonToken.VALUE_NUMBER_INT);
        return in.getLongValue();
    }

    private static List<String> names(JsonParser in) throws IOException, Unusable {
        need(in.nextToken() == JsonToken.START_ARRAY);
        List<String> names = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            need(
                    in.currentToken() == JsonToken.VALUE_STRING
                            && names.size() < MOST_NAMES
                            && in.getText().length() <= MOST_NAME);
            names.add(in.getText());
        }
        return names;
    }

    private static List<Member> entries(JsonParser in) throws IOException, Unusable {
        need(in.nextToken() == JsonToken.START_ARRAY);
        List<Member> entries = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            need(in.currentToken() == JsonToken.START_ARRAY && entries.size() < MOST_ENTRIES);
            String name = text(in);
            String zone = text(in);
            long incarnation = whole(in);
            int standing = (int) whole(in);
            need(
                    standing >= 0
                            && standing < MemberState.values().length
                            && !name.isEmpty()
                            && incarnation > 0);
            String version = text(in);
            need(in.nextToken().isNumeric());
            double weight = in.getDoubleValue();
            need(weight >= 0 && weight <= 1_000);
            entries.add(
                    new Member(
                            name,
                            zone,
                            incarnation,
                            MemberState.values()[standing],
                            version,
                            weight));
            need(in.nextToken() == JsonToken.END_ARRAY);
        }
        return entries;
    }
}
