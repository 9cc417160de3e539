package firstage.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import firstage.policy.api.ServiceGroup.Effect;
import firstage.simulation.FleetFile;
import firstage.simulation.FleetPlan;
import firstage.simulation.RuleWatch;
import firstage.simulation.RuleWatch.Try;
import firstage.simulation.Scoreboard;
import firstage.simulation.Streams;
import firstage.simulation.Work;
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
class CrowdTest {
    private final Map<Work, Integer> tries = new ConcurrentHashMap<>();
    private final Crowd.Witness witness =
            new Crowd.Witness() {
                @Override
                public void asked(Work is, int manager) {
                    // Only tries are counted.
                }

                @Override
                public void tried(Try t) {
                    tries.merge(t.is, 1, Integer::sum);
                }

                @Override
                public void ended(Try t, String how) {
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
                FleetFile.read(
                        Files.readString(Path.of("deploy", "yard", "mass-restart.toml"))
                                .replace("count = 4", "count = 1")
                                .replace("share = \"79%\"", "share = \"50%\"")
                                .replace("share = \"6%\"", "share = \"35%\"")
                                .replaceAll("(?s)\\[\\[fault\\]\\].*", ""));
        Stage stage = new Stage();
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            RuleWatch rules = new RuleWatch(plan, 1_500, 1_000);
            Crowd crowd =
                    new Crowd(
                            stage,
                            plan,
                            new Streams(1),
                            rules,
                            new Scoreboard(plan, stage.now()),
                            List.of((InetSocketAddress) server.getLocalSocketAddress()),
                            witness);
            Thread manager = new Thread(() -> dieUnderEachCall(server, stage, crowd));
            manager.setDaemon(true);
            manager.start();
            stage.news(crowd::start);
            while (most(plan, Effect.REPEATABLE) < 2 || count(plan, Effect.ONCE_ONLY) < 30) {
                Thread.sleep(20);
            }
            assertThat(most(plan, Effect.ONCE_ONLY)).isEqualTo(1);
            stage.close();
            stage.worker().awaitTermination();
            crowd.close();
        }
    }

    private long count(FleetPlan plan, Effect effect) {
        return tries.keySet().stream()
                .filter(w -> plan.groups().get(w.group).effect() == effect)
                .count();
    }

    private int most(FleetPlan plan, Effect effect) {
        return tries.entrySet().stream()
                .filter(t -> plan.groups().get(t.getKey().group).effect() == effect)
                .mapToInt(Map.Entry::getValue)
                .max()
                .orElse(0);
    }

    private static void dieUnderEachCall(ServerSocket server, Stage stage, Crowd crowd) {
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
