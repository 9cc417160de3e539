package firstage.cli;

import firstage.simulation.InvalidPlanException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.tomlj.Toml;

/**
 * Command line with which tools start managers: {@code run} in the deploy file, or else a default.
 */
final class ServeCommandLine {
    private static final String DEFAULT_COMMAND =
            "java -Xmx64m -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=1"
                    + " -jar target/firstage.jar serve";

    private ServeCommandLine() {}

    /**
     * Returns the command that starts a manager.
     *
     * @param jar the program, which has to exist
     */
    static String of(Path jar) throws IOException {
        if (!Files.exists(jar)) {
            throw new InvalidPlanException(
                    jar + " does not exist; build it with mvn -q -DskipTests package");
        }
        Path deployFile = Path.of("deploy", "balancer.toml");
        return Files.exists(deployFile)
                ? Toml.parse(deployFile).getString("run", () -> DEFAULT_COMMAND)
                : DEFAULT_COMMAND;
    }
}
