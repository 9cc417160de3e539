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
 * Encodes and decodes messages as CBOR (RFC 8949): one array whose first item is the format
 * version. Items that a newer format adds at the end are skipped. Member records at the end of the
 * list are left out if they do not fit into a datagram.
 */
public final class MessageCodec {
    /** Maximum payload of a datagram; with the headers it stays below the minimum MTU of IPv6. */
    public static final int MAX_DATAGRAM_BYTES = 1_200;

    private static final int VERSION = 1;
    private static final int HEADER_BYTES = 200;
    private static final int MAX_NAME_LENGTH = 64;
    private static final int MAX_NAMES = 64;
    private static final int MAX_MEMBERS = 64;
    private static final int MEMBER_BYTES = 48;
    private final CBORFactory cbor = new CBORFactory();
    private final int maxBytes;

    /** Creates a codec for datagrams of up to {@code maxBytes}. */
    public MessageCodec(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Thrown for a datagram that is not a valid message. The exception's message is the short
     * reason under which the rejection is counted.
     */
    public static final class MalformedMessageException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedMessageException(String reason) {
            super(reason, null, false, false);
        }
    }

    /**
     * Returns an estimate, at least 1, of how many member records fit into one datagram beside a
     * digest of this size.
     */
    public int maxMembers(int digestBytes) {
        return Math.max(1, (maxBytes - HEADER_BYTES - digestBytes) / MEMBER_BYTES);
    }

    /** Encodes a message with as many member records as fit. */
    public byte[] encode(MembershipMessage message) {
        for (int memberCount = Math.min(message.members().size(), MAX_MEMBERS); ; memberCount--) {
            byte[] bytes = encode(message, memberCount);
            if (bytes.length <= maxBytes || memberCount == 0) {
                return bytes;
            }
        }
    }

    private byte[] encode(MembershipMessage message, int memberCount) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        try (JsonGenerator generator = cbor.createGenerator(out)) {
            generator.writeStartArray();
            generator.writeNumber(VERSION);
            generator.writeString(message.fleet());
            generator.writeString(message.from());
            generator.writeNumber(message.incarnation());
            generator.writeNumber(message.kind().ordinal());
            generator.writeNumber(message.sequence());
            generator.writeString(message.target());
            generator.writeNumber(message.viewNumber());
            generator.writeNumber(message.viewHash());
            generator.writeNumber(message.lastHeardAgo());
            generator.writeBoolean(message.grantsQuota());
            writeNames(generator, message.withdrawnGrants());
            writeNames(generator, message.unheardMembers());
            generator.writeStartArray();
            for (Member member : message.members().subList(0, memberCount)) {
                generator.writeStartArray();
                generator.writeString(member.name());
                generator.writeString(member.zone());
                generator.writeNumber(member.incarnation());
                generator.writeNumber(member.state().ordinal());
                generator.writeString(member.version());
                generator.writeNumber((float) member.weight());
                generator.writeEndArray();
            }
            generator.writeEndArray();
            generator.writeBinary(message.digest());
            generator.writeEndArray();
        } catch (IOException exception) {
            throw new IllegalStateException(
                    "can't encode a membership message in memory", exception);
        }
        return out.toByteArray();
    }

    private static void writeNames(JsonGenerator generator, List<String> names) throws IOException {
        generator.writeStartArray();
        for (String name : names.subList(0, Math.min(MAX_NAMES, names.size()))) {
            generator.writeString(name);
        }
        generator.writeEndArray();
    }

    /** Decodes a datagram; throws if it is too long, of an older format or malformed. */
    public MembershipMessage decode(byte[] bytes) throws MalformedMessageException {
        if (bytes.length > maxBytes) {
            throw new MalformedMessageException("too long");
        }
        try (JsonParser in = cbor.createParser(bytes)) {
            require(in.nextToken() == JsonToken.START_ARRAY);
            require(in.nextToken() == JsonToken.VALUE_NUMBER_INT);
            if (in.getIntValue() < VERSION) {
                throw new MalformedMessageException("older form");
            }
            String fleet = readText(in);
            String from = readText(in);
            long incarnation = readLong(in);
            int kind = (int) readLong(in);
            require(kind >= 0 && kind < MembershipMessage.Kind.values().length);
            long sequence = readLong(in);
            String target = readText(in);
            long viewNumber = readLong(in);
            long viewHash = readLong(in);
            long lastHeardAgo = readLong(in);
            JsonToken grantsQuota = in.nextToken();
            require(grantsQuota == JsonToken.VALUE_TRUE || grantsQuota == JsonToken.VALUE_FALSE);
            List<String> withdrawnGrants = readNames(in);
            List<String> unheardMembers = readNames(in);
            List<Member> members = readMembers(in);
            require(in.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT);
            byte[] digest = in.getBinaryValue();
            // Items that a newer format adds are skipped, but the array must be complete.
            JsonToken extraItem = in.nextToken();
            while (extraItem != JsonToken.END_ARRAY) {
                require(extraItem != null);
                in.skipChildren();
                extraItem = in.nextToken();
            }
            require(in.nextToken() == null && !from.isEmpty() && incarnation > 0);
            return new MembershipMessage(
                    fleet,
                    from,
                    incarnation,
                    MembershipMessage.Kind.values()[kind],
                    sequence,
                    target,
                    viewNumber,
                    viewHash,
                    lastHeardAgo,
                    grantsQuota == JsonToken.VALUE_TRUE,
                    withdrawnGrants,
                    unheardMembers,
                    members,
                    digest);
        } catch (IOException exception) {
            throw new MalformedMessageException("spoilt");
        }
    }

    private static void require(boolean valid) throws MalformedMessageException {
        if (!valid) {
            throw new MalformedMessageException("spoilt");
        }
    }

    private static String readText(JsonParser in) throws IOException, MalformedMessageException {
        require(in.nextToken() == JsonToken.VALUE_STRING);
        String text = in.getText();
        require(text.length() <= MAX_NAME_LENGTH);
        return text;
    }

    private static long readLong(JsonParser in) throws IOException, MalformedMessageException {
        require(in.nextToken() == JsonToken.VALUE_NUMBER_INT);
        return in.getLongValue();
    }

    private static List<String> readNames(JsonParser in)
            throws IOException, MalformedMessageException {
        require(in.nextToken() == JsonToken.START_ARRAY);
        List<String> names = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            require(
                    in.currentToken() == JsonToken.VALUE_STRING
                            && names.size() < MAX_NAMES
                            && in.getText().length() <= MAX_NAME_LENGTH);
            names.add(in.getText());
        }
        return names;
    }

    private static List<Member> readMembers(JsonParser in)
            throws IOException, MalformedMessageException {
        require(in.nextToken() == JsonToken.START_ARRAY);
        List<Member> members = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            require(in.currentToken() == JsonToken.START_ARRAY && members.size() < MAX_MEMBERS);
            String name = readText(in);
            String zone = readText(in);
            long incarnation = readLong(in);
            int state = (int) readLong(in);
            require(
                    state >= 0
                            && state < MemberState.values().length
                            && !name.isEmpty()
                            && incarnation > 0);
            String version = readText(in);
            require(in.nextToken().isNumeric());
            double weight = in.getDoubleValue();
            require(weight >= 0 && weight <= 1_000);
            members.add(
                    new Member(
                            name, zone, incarnation, MemberState.values()[state], version, weight));
            require(in.nextToken() == JsonToken.END_ARRAY);
        }
        return members;
    }
}
