package firstage.cli;

import firstage.config.InvalidConfigException;
import firstage.config.MalformedLineException;
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
 * The values of a peers file by type. What can't be used throws {@link InvalidConfigException} with
 * file, line, key, value and what would do.
 */
final class PeersToml {
    private static final Pattern NAME = Pattern.compile("[!-~]{1,64}");
    private static final String NO_NAME = "' is no name of 1 to 64 plain characters";

    private final Path file;
    private final TomlParseResult toml;

    private PeersToml(Path file, TomlParseResult toml) {
        this.file = file;
        this.toml = toml;
    }

    /** Reads a file, whose syntax has to be right. */
    static PeersToml read(Path file) throws IOException {
        PeersToml peers;
        try {
            peers = new PeersToml(file, Toml.parse(Files.readString(file)));
        } catch (NoSuchFileException missing) {
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

    /** The file that was read. */
    Path file() {
        return file;
    }

    /** What is wrong at a place. */
    InvalidConfigException invalid(TomlPosition position, String problem) {
        int line = position == null ? InvalidConfigException.NO_LINE : position.line();
        return new InvalidConfigException(file.toString(), line, problem);
    }

    /** What is wrong with a key of the file. */
    InvalidConfigException invalid(String key, String problem) {
        return invalid(position(key), key + ": " + problem);
    }

    /** Where a key of the file stands; null where it is absent. */
    TomlPosition position(String key) {
        return toml.inputPositionOf(List.of(key));
    }

    /** A key's value as it stands; null where it is absent. */
    Object value(String key) {
        return toml.get(List.of(key));
    }

    boolean has(String key) {
        return value(key) != null;
    }

    /** The file has no key but these; {@code shown} lists them for people. */
    void requireKnownKeys(Set<String> known, String shown) {
        for (String key : toml.keySet()) {
            if (!known.contains(key)) {
                throw invalid(key, "is unknown; known are " + shown);
            }
        }
    }

    /** A section has no key but these; {@code shown} lists them for people. */
    void requireKnownKeys(TomlTable section, String path, Set<String> known, String shown) {
        for (String key : section.keySet()) {
            if (!known.contains(key)) {
                throw invalid(
                        section.inputPositionOf(List.of(key)),
                        path + "." + key + " is unknown; known are " + shown);
            }
        }
    }

    /** A name that has to be there. */
    String name(String key) {
        return optionalName(key)
                .orElseThrow(
                        () ->
                                invalid(
                                        (TomlPosition) null,
                                        "has no " + key + "; write " + key + " = \"...\""));
    }

    /** A name that may be absent. */
    Optional<String> optionalName(String key) {
        Object value = value(key);
        if (value != null && !isName(value)) {
            throw invalid(key, "'" + value + NO_NAME);
        }
        return Optional.ofNullable((String) value);
    }

    /** A name that has to be in a section, which starts at {@code position}. */
    String name(TomlTable section, TomlPosition position, String path, String key) {
        Object value = section.get(List.of(key));
        if (!isName(value)) {
            throw invalid(position, path + "." + key + ": '" + value + NO_NAME);
        }
        return (String) value;
    }

    private static boolean isName(Object value) {
        return value instanceof String text && NAME.matcher(text).matches();
    }

    /** A whole number from 1 to {@code max}. */
    int wholeNumber(TomlPosition position, String key, Object value, int max) {
        if (!(value instanceof Long number) || number < 1 || number > max) {
            throw invalid(position, key + ": " + value + " is no whole number from 1 to " + max);
        }
        return (int) (long) number;
    }

    /** A numeric host and a port. */
    InetSocketAddress address(TomlPosition position, String key, Object value) {
        try {
            return ManagerConfig.parseAddress(String.valueOf(value));
        } catch (MalformedLineException fault) {
            throw invalid(
                    position, key + ": '" + value + "' is no address; \"127.0.0.1:7946\" would do");
        }
    }

    /** One section of a list of them, such as the third [[peer]]. */
    TomlTable section(TomlArray sections, int index, String name) {
        if (!(sections.get(index) instanceof TomlTable section)) {
            throw invalid(sections.inputPositionOf(index), "is no section; write [[" + name + "]]");
        }
        return section;
    }
}
