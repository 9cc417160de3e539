package firstage.cli;

import firstage.simulation.InvalidPlanException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.tomlj.Toml;

/** How tools start managers: by the deploy file's {@code run}, else by a command of their own. */
final class ServeCommandLine {
    private static final String DEFAULT_COMMAND =
            "java -Xmx64m -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=1"
                    + " -jar target/firstage.jar serve";

    private ServeCommandLine() {}

    /**
     * The command that starts a manager.
     *
     * @param jar the program, which has to be there
     */
    static String of(Path jar) throws IOException {
        if (!Files.exists(jar)) {
            throw new InvalidPlanException(
                    jar + " does not exist; mvn -q -DskipTests package makes it");
        }
        Path deployFile = Path.of("deploy", "balancer.toml");
        return Files.exists(deployFile)
                ? Toml.parse(deployFile).getString("run", () -> DEFAULT_COMMAND)
                : DEFAULT_COMMAND;
    }
}
