package firstage.cli;

import firstage.simulation.InvalidPlanException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.tomlj.Toml;

/** How tools start managers: by the deploy file's {@code run}, where there is one. */
final class ServeCommandLine {
    private static final String FALLBACK =
            "java -Xmx64m -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=1"
                    + " -jar target/firstage.jar serve";

    private ServeCommandLine() {}

    /** The command with this program in it, which must be there. */
    static String of(Path jar) throws IOException {
        if (!Files.exists(jar)) {
            throw new InvalidPlanException(
                    0, jar + " does not exist; mvn -q -DskipTests package makes it");
        }
        Path deploy = Path.of("deploy", "balancer.toml");
        return Files.exists(deploy)
                ? Toml.parse(deploy).getString("run", () -> FALLBACK)
                : FALLBACK;
    }
}
