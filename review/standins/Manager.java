import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A workload manager, started by the command under run in deploy/balancer.toml. */
final class Manager {
    final String name;
    final InetSocketAddress address;
    private final Path root;
    private final Path folder;
    private final Path config;
    private Process process;

    Manager(Path root, Path folder, String name, String host) throws IOException {
        this.root = root;
        this.folder = folder;
        this.name = name;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            address = new InetSocketAddress(host, free.getLocalPort());
        }
        config = folder.resolve(name + ".json");
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** The list of engines in the form of the configuration's event 1. */
    static String known(List<Engine> engines) {
        StringBuilder list = new StringBuilder();
        for (int i = 0; i < engines.size(); i++) {
            list.append(i == 0 ? "" : ",").append(String.format(
                    "{\"instanceId\":\"s-%08x\",\"hostPort\":\"%s\",\"zone\":\"hall-a\","
                            + "\"machineType\":\"std-8c\",\"cell\":0,\"lifecycle\":\"Ready\","
                            + "\"weight\":1,\"startedAtMs\":0}",
                    i + 1, text(engines.get(i).address)));
        }
        return "{\"index\":1,\"updates\":[{\"index\":1,\"endpoints\":{\"generation\":1,"
                + "\"reset\":true,\"instances\":[" + list + "]}}]}";
    }

    /** Writes the configuration. */
    void configure(InetSocketAddress coordinator, List<Engine> engines, int sockets,
            String settings) throws IOException {
        Files.writeString(config, "{\"name\":\"" + name + "\",\"listen\":\"" + text(address)
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
                + "\"sockets\":" + sockets + "},\"coordinator\":\"" + text(coordinator)
                + "\",\"known\":" + known(engines) + ",\"settings\":" + settings + "}");
    }

    void start() throws Exception {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IllegalStateException("no run in the deploy file");
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1));
        builder.directory(root.toFile());
        builder.environment().put("ROUTER_NAME", name);
        builder.environment().put("ROUTER_LISTEN", text(address));
        builder.environment().put("ROUTER_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.toString());
        File log = folder.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!isReady()) {
            if (System.nanoTime() > until || !process.isAlive()) {
                throw new IllegalStateException(name + " is not ready: " + log());
            }
            Thread.sleep(50);
        }
    }

    private boolean isReady() {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(
                    "GET /alive HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return Http.read(socket.getInputStream()).status() == 200;
        } catch (IOException | RuntimeException notYet) {
            return false;
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Ends the manager with SIGTERM, then SIGKILL. */
    void stop() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(5, TimeUnit.SECONDS)) {
            kill();
        }
    }

    String log() throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }
}
