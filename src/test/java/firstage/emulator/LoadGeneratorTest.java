package firstage.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import firstage.policy.api.TrafficClass.Effect;
import firstage.simulation.FleetPlan;
import firstage.simulation.FleetPlanReader;
import firstage.simulation.GeneratedRequest;
import firstage.simulation.RandomStreams;
import firstage.simulation.RuleChecker;
import firstage.simulation.RuleChecker.ClientTry;
import firstage.simulation.Scoreboard;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients of the load generator retry only requests that the protocol lets them retry. */
@Timeout(30)
class LoadGeneratorTest {
    private final Map<GeneratedRequest, Integer> tries = new ConcurrentHashMap<>();
    private final LoadGenerator.Observer observer =
            new LoadGenerator.Observer() {
                @Override
                public void onRequest(GeneratedRequest request, int manager) {
                    // Only tries are counted.
                }

                @Override
                public void onTry(ClientTry clientTry) {
                    tries.merge(clientTry.request, 1, Integer::sum);
                }

                @Override
                public void onTryEnded(ClientTry clientTry, LoadGenerator.TryOutcome outcome) {
                    // Only tries are counted.
                }
            };

    /**
     * The server reads each call whole and then resets its connection, as happens when a manager is
     * killed. A non-idempotent request may have run then, so it must not be sent again.
     */
    @Test
    void retry_managerKilledDuringCall_onlyIdempotentRequestsAreSentAgain() throws Exception {
        FleetPlan plan =
                FleetPlanReader.read(
                        Files.readString(Path.of("deploy", "fault-tests", "mass-restart.toml"))
                                .replace("count = 4", "count = 1")
                                .replace("share = \"79%\"", "share = \"50%\"")
                                .replace("share = \"6%\"", "share = \"35%\"")
                                .replaceAll("(?s)\\[\\[fault\\]\\].*", ""));
        RealTimeLoop loop = new RealTimeLoop();
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            RuleChecker rules = new RuleChecker(plan, 1_500, 1_000);
            LoadGenerator generator =
                    new LoadGenerator(
                            loop,
                            plan,
                            new RandomStreams(1),
                            rules,
                            new Scoreboard(plan, loop.now()),
                            List.of((InetSocketAddress) server.getLocalSocketAddress()),
                            observer);
            Thread manager = new Thread(() -> killManagerOnEachCall(server, loop, generator));
            manager.setDaemon(true);
            manager.start();
            loop.execute(generator::start);
            while (maxTries(plan, Effect.IDEMPOTENT) < 2
                    || requestCount(plan, Effect.NON_IDEMPOTENT) < 30) {
                Thread.sleep(20);
            }
            assertThat(maxTries(plan, Effect.NON_IDEMPOTENT)).isEqualTo(1);
            loop.close();
            loop.worker().awaitTermination();
            generator.close();
        }
    }

    private long requestCount(FleetPlan plan, Effect effect) {
        return tries.keySet().stream()
                .filter(
                        request ->
                                plan.trafficClasses().get(request.trafficClass).effect() == effect)
                .count();
    }

    private int maxTries(FleetPlan plan, Effect effect) {
        return tries.entrySet().stream()
                .filter(
                        entry ->
                                plan.trafficClasses().get(entry.getKey().trafficClass).effect()
                                        == effect)
                .mapToInt(Map.Entry::getValue)
                .max()
                .orElse(0);
    }

    private static void killManagerOnEachCall(
            ServerSocket server, RealTimeLoop loop, LoadGenerator generator) {
        try {
            while (true) {
                Socket client = server.accept();
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(client.getInputStream()));
                for (String line = in.readLine();
                        line != null && !line.isEmpty();
                        line = in.readLine()) {
                    assertThat(line).isNotEmpty();
                }
                loop.execute(
                        () -> {
                            generator.onManagerKilled(0);
                            try {
                                client.setSoLinger(true, 0);
                                client.close();
                            } catch (IOException alreadyClosed) {
                                assertThat(client.isClosed()).isTrue();
                            }
                        });
            }
        } catch (IOException serverClosed) {
            assertThat(server.isClosed()).isTrue();
        }
    }
}
