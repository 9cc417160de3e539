package firstage.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.io.JsonEOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads the JSON configuration that the platform writes for a manager. */
public final class ManagerConfigReader {
    private static final String NAME = "name";
    private static final String LISTEN = "listen";
    private static final String COORDINATOR = "coordinator";
    private static final String MAX_FILE_DESCRIPTORS = "limits.sockets";
    private static final String MEMORY_LIMIT_MB = "limits.memory_mb";
    private static final String INITIAL_ENDPOINTS = "known";
    private static final String SETTINGS = "settings";

    /** Random seed of the manager, in hexadecimal digits. */
    private static final String SEED = "seed";

    private static final int SEED_RADIX = 16;

    private ManagerConfigReader() {}

    /**
     * Reads a configuration.
     *
     * @throws InvalidConfigException if the file is complete but can't be used
     * @throws IOException if the file is missing, empty or truncated, as it is while it is being
     *     replaced
     */
    public static ManagerConfig read(Path file) throws IOException {
        Map<?, ?> root = readObject(file);
        try {
            return config(root);
        } catch (InvalidInputException exception) {
            throw new InvalidConfigException(
                    file.toString(), InvalidConfigException.NO_LINE, exception.getMessage());
        }
    }

    private static Map<?, ?> readObject(Path file) throws IOException {
        try (JsonParser parser = new JsonFactory().createParser(file.toFile())) {
            if (parser.nextToken() == null) {
                throw new JsonEOFException(parser, null, file + " is empty");
            }
            return value(parser) instanceof Map<?, ?> object ? object : Map.of();
        }
    }

    private static ManagerConfig config(Map<?, ?> root) {
        if (!(root.get(SETTINGS) instanceof Map<?, ?> settingsObject)) {
            throw new InvalidInputException("settings are missing or not an object");
        }
        WireFields fields = new WireFields(root);
        WireFields settings = settings(settingsObject, fields.getString(SEED, "0"));
        InetSocketAddress listenAddress = ManagerConfig.parseAddress(fields.require(LISTEN));
        InetSocketAddress coordinatorAddress =
                fields.has(COORDINATOR)
                        ? ManagerConfig.parseAddress(fields.require(COORDINATOR))
                        : null;
        return new ManagerConfig(
                fields.getString(NAME, "manager"),
                listenAddress,
                coordinatorAddress,
                fields.getInt(MAX_FILE_DESCRIPTORS, 0),
                fields.getInt(MEMORY_LIMIT_MB, 0),
                root.get(INITIAL_ENDPOINTS) instanceof Map<?, ?> known ? known : Map.of(),
                settings,
                SettingsParser.parse(settings));
    }

    private static WireFields settings(Map<?, ?> settingsObject, String seed) {
        Map<Object, Object> settings = new LinkedHashMap<>(settingsObject);
        settings.put(SettingsKeys.RANDOM_SEED, randomSeed(seed));
        return new WireFields(settings);
    }

    private static long randomSeed(String hexDigits) {
        try {
            return Long.parseUnsignedLong(hexDigits, SEED_RADIX);
        } catch (NumberFormatException notHex) {
            return hexDigits.hashCode();
        }
    }

    /** Returns the value at the parser's position as maps, lists and text; null for JSON's null. */
    private static Object value(JsonParser parser) throws IOException {
        if (parser.currentToken() == JsonToken.START_OBJECT) {
            return object(parser);
        }
        if (parser.currentToken() == JsonToken.START_ARRAY) {
            return array(parser);
        }
        return parser.currentToken() == JsonToken.VALUE_NULL || parser.currentToken() == null
                ? null
                : parser.getText();
    }

    private static Map<String, Object> object(JsonParser parser) throws IOException {
        Map<String, Object> object = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            object.put(name, value(parser));
        }
        return object;
    }

    private static List<Object> array(JsonParser parser) throws IOException {
        List<Object> array = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY && parser.currentToken() != null) {
            array.add(value(parser));
        }
        return array;
    }
}
