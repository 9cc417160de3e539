import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A workload manager: the command under {@code run} of the deploy file, in a process of its own. */
final class Manager {
    final String name;
    final String host;
    final int port;
    final Process process;
    final Path log;

    /** Starts a manager and waits until it answers GET /alive. */
    Manager(String name, Path folder, Path root, String coordinator, List<Engine> engines, String settings)
            throws IOException {
        this.name = name;
        host = "127.0.0.1";
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            port = probe.getLocalPort();
        }
        Path config = folder.resolve(name + ".json");
        Files.writeString(config, config(name, host + ":" + port, coordinator, engines, settings));
        log = folder.resolve(name + ".log");
        Path tmp = Files.createDirectory(folder.resolve(name + ".tmp"));
        Matcher run =
                Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("no run in the deploy file");
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1)).directory(root.toFile());
        builder.environment().put("ROUTER_NAME", name);
        builder.environment().put("ROUTER_LISTEN", host + ":" + port);
        builder.environment().put("ROUTER_CONFIG", config.toString());
        builder.environment().put("TMPDIR", tmp.toString());
        process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
        long until = Engine.now() + 30_000;
        while (!alive()) {
            if (Engine.now() > until || !process.isAlive()) {
                throw new IOException("manager " + name + " did not get ready: " + Files.readString(log));
            }
            Engine.pause(50);
        }
    }

    private boolean alive() {
        try (Socket socket = new Socket(host, port)) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("GET /alive HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            Http answer = Http.read(socket.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void kill() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static String config(String name, String listen, String coordinator, List<Engine> engines, String settings) {
        StringBuilder instances = new StringBuilder();
        for (Engine e : engines) {
            instances.append(instances.isEmpty() ? "" : ",")
                    .append("{\"instanceId\":\"" + e.name + "\",\"hostPort\":\"" + e.address())
                    .append("\",\"zone\":\"hall-a\",\"machineType\":\"std\",\"cell\":" + e.cell + ",\"lifecycle\":\"Ready\",")
                    .append("\"weight\":1,\"startedAtMs\":0}");
        }
        return "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"coordinator\":\"" + coordinator
                + "\",\"known\":{\"index\":1,\"updates\":[{\"index\":1,\"endpoints\":{\"generation\":1,\"reset\":true,"
                + "\"instances\":[" + instances + "]}}]},\"settings\":" + settings + "}";
    }
}
