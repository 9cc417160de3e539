package firstage.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import firstage.policy.api.TrafficClass.Effect;
import firstage.simulation.FleetPlan;
import firstage.simulation.FleetPlanReader;
import firstage.simulation.RandomStreams;
import firstage.simulation.RuleChecker;
import firstage.simulation.RuleChecker.ClientTry;
import firstage.simulation.Scoreboard;
import firstage.simulation.TrueRequest;
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

/** Clients as the protocol page has them: who may ask again after what. */
@Timeout(30)
class LoadGeneratorTest {
    private final Map<TrueRequest, Integer> tries = new ConcurrentHashMap<>();
    private final LoadGenerator.Witness witness =
            new LoadGenerator.Witness() {
                @Override
                public void asked(TrueRequest is, int manager) {
                    // Only tries are counted.
                }

                @Override
                public void tried(ClientTry t) {
                    tries.merge(t.request, 1, Integer::sum);
                }

                @Override
                public void ended(ClientTry t, String how) {
                    // Only tries are counted.
                }
            };

    /**
     * A manager that reads each call whole, and dies under it: its connection breaks, what it had
     * is nobody's.
     */
    @Test
    void underAManagerThatDiesOnlyRepeatableBatchesAreAskedForAgain() throws Exception {
        FleetPlan plan =
                FleetPlanReader.read(
                        Files.readString(Path.of("deploy", "fault-tests", "mass-restart.toml"))
                                .replace("count = 4", "count = 1")
                                .replace("share = \"79%\"", "share = \"50%\"")
                                .replace("share = \"6%\"", "share = \"35%\"")
                                .replaceAll("(?s)\\[\\[fault\\]\\].*", ""));
        RealTimeLoop stage = new RealTimeLoop();
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            RuleChecker rules = new RuleChecker(plan, 1_500, 1_000);
            LoadGenerator crowd =
                    new LoadGenerator(
                            stage,
                            plan,
                            new RandomStreams(1),
                            rules,
                            new Scoreboard(plan, stage.now()),
                            List.of((InetSocketAddress) server.getLocalSocketAddress()),
                            witness);
            Thread manager = new Thread(() -> dieUnderEachCall(server, stage, crowd));
            manager.setDaemon(true);
            manager.start();
            stage.news(crowd::start);
            while (most(plan, Effect.IDEMPOTENT) < 2 || count(plan, Effect.NON_IDEMPOTENT) < 30) {
                Thread.sleep(20);
            }
            assertThat(most(plan, Effect.NON_IDEMPOTENT)).isEqualTo(1);
            stage.close();
            stage.worker().awaitTermination();
            crowd.close();
        }
    }

    private long count(FleetPlan plan, Effect effect) {
        return tries.keySet().stream()
                .filter(w -> plan.trafficClasses().get(w.trafficClass).effect() == effect)
                .count();
    }

    private int most(FleetPlan plan, Effect effect) {
        return tries.entrySet().stream()
                .filter(t -> plan.trafficClasses().get(t.getKey().trafficClass).effect() == effect)
                .mapToInt(Map.Entry::getValue)
                .max()
                .orElse(0);
    }

    private static void dieUnderEachCall(
            ServerSocket server, RealTimeLoop stage, LoadGenerator crowd) {
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
                stage.news(
                        () -> {
                            crowd.died(0);
                            try {
                                client.setSoLinger(true, 0);
                                client.close();
                            } catch (IOException gone) {
                                assertThat(client.isClosed()).isTrue();
                            }
                        });
            }
        } catch (IOException over) {
            assertThat(server.isClosed()).isTrue();
        }
    }
}
