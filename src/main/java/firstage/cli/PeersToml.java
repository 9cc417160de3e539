package firstage.cli;

import firstage.config.InvalidConfigException;
import firstage.config.InvalidInputException;
import firstage.config.ManagerConfig;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Typed access to the values of a peers file. A value that can't be used results in an {@link
 * InvalidConfigException} that names file, line, key, value and what is valid.
 */
final class PeersToml {
    private static final Pattern NAME = Pattern.compile("[!-~]{1,64}");
    private static final String NOT_A_NAME = "' is not a name of 1 to 64 visible ASCII characters";

    private final Path file;
    private final TomlParseResult toml;

    private PeersToml(Path file, TomlParseResult toml) {
        this.file = file;
        this.toml = toml;
    }

    /**
     * Reads a file.
     *
     * @throws InvalidConfigException if the file does not exist or its syntax is wrong
     */
    static PeersToml read(Path file) throws IOException {
        PeersToml peers;
        try {
            peers = new PeersToml(file, Toml.parse(Files.readString(file)));
        } catch (NoSuchFileException absent) {
            throw new InvalidConfigException(
                    file.toString(),
                    InvalidConfigException.NO_LINE,
                    "does not exist; deploy/peers.toml is an example");
        }
        if (peers.toml.hasErrors()) {
            throw peers.invalid(
                    peers.toml.errors().get(0).position(),
                    peers.toml.errors().get(0).getMessage().lines().findFirst().orElse(""));
        }
        return peers;
    }

    /** Returns the file that was read. */
    Path file() {
        return file;
    }

    /** Returns an exception for a problem at a position, which is null if it is unknown. */
    InvalidConfigException invalid(TomlPosition position, String problem) {
        int line = position == null ? InvalidConfigException.NO_LINE : position.line();
        return new InvalidConfigException(file.toString(), line, problem);
    }

    /** Returns an exception for a problem with a key of the file. */
    InvalidConfigException invalid(String key, String problem) {
        return invalid(position(key), key + ": " + problem);
    }

    /** Returns the position of a key of the file; null if it is absent. */
    TomlPosition position(String key) {
        return toml.inputPositionOf(List.of(key));
    }

    /** Returns the value of a key as parsed; null if it is absent. */
    Object value(String key) {
        return toml.get(List.of(key));
    }

    boolean has(String key) {
        return value(key) != null;
    }

    /** Checks that the file has no other keys than these; {@code shown} lists them in messages. */
    void requireKnownKeys(Set<String> known, String shown) {
        for (String key : toml.keySet()) {
            if (!known.contains(key)) {
                throw invalid(key, "is unknown; known are " + shown);
            }
        }
    }

    /** Checks that a section has no other keys than these; {@code shown} lists them in messages. */
    void requireKnownKeys(TomlTable section, String path, Set<String> known, String shown) {
        for (String key : section.keySet()) {
            if (!known.contains(key)) {
                throw invalid(
                        section.inputPositionOf(List.of(key)),
                        path + "." + key + " is unknown; known are " + shown);
            }
        }
    }

    /** Returns the name under a required key. */
    String requireName(String key) {
        return optionalName(key)
                .orElseThrow(
                        () ->
                                invalid(
                                        (TomlPosition) null,
                                        "has no " + key + "; write " + key + " = \"...\""));
    }

    /** Returns the name under an optional key. */
    Optional<String> optionalName(String key) {
        Object value = value(key);
        if (value != null && !isName(value)) {
            throw invalid(key, "'" + value + NOT_A_NAME);
        }
        return Optional.ofNullable((String) value);
    }

    /** Returns the name under a required key of a section, which starts at {@code position}. */
    String requireName(TomlTable section, TomlPosition position, String path, String key) {
        Object value = section.get(List.of(key));
        if (!isName(value)) {
            throw invalid(position, path + "." + key + ": '" + value + NOT_A_NAME);
        }
        return (String) value;
    }

    private static boolean isName(Object value) {
        return value instanceof String text && NAME.matcher(text).matches();
    }

    /** Returns the value as an integer from 1 to {@code max}. */
    int wholeNumber(TomlPosition position, String key, Object value, int max) {
        if (!(value instanceof Long number) || number < 1 || number > max) {
            throw invalid(position, key + ": " + value + " is no whole number from 1 to " + max);
        }
        return (int) (long) number;
    }

    /** Returns the value as an address of numeric host and port. */
    InetSocketAddress address(TomlPosition position, String key, Object value) {
        try {
            return ManagerConfig.parseAddress(String.valueOf(value));
        } catch (InvalidInputException exception) {
            throw invalid(
                    position, key + ": '" + value + "' is no address; \"127.0.0.1:7946\" would do");
        }
    }

    /** Returns one section of a list, such as the third [[peer]]. */
    TomlTable section(TomlArray sections, int index, String name) {
        if (!(sections.get(index) instanceof TomlTable section)) {
            throw invalid(
                    sections.inputPositionOf(index), "is not a section; write [[" + name + "]]");
        }
        return section;
    }
}
