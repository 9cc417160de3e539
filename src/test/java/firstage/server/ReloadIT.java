package firstage.server;

import static firstage.fixtures.EngineWire.ONE_ROW;
import static firstage.fixtures.EngineWire.STILL_RUNNING;
import static firstage.fixtures.ManagerSettings.LOOKUP;
import static firstage.fixtures.ManagerSettings.REPORT;
import static firstage.fixtures.ScriptedCoordinator.CHANGE;
import static firstage.fixtures.ScriptedCoordinator.DRAINING;
import static firstage.fixtures.ScriptedCoordinator.READY;
import static firstage.fixtures.ScriptedCoordinator.endpoint;
import static org.assertj.core.api.Assertions.assertThat;

import firstage.fixtures.ManagerFixture;
import firstage.fixtures.QueryClient;
import firstage.fixtures.ScriptedCoordinator;
import firstage.fixtures.ScriptedEngine;
import java.io.DataInputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import org.junit.jupiter.api.Test;

/** Tests which parts of a changed configuration SIGHUP applies. */
class ReloadIT extends ManagerFixture {
    /** Requests at the draining engine continue, and no more requests are sent there. */
    @Test
    void reload_newCoordinatorAnnouncesDrain_drainIsKept() throws Exception {
        coordinator.watchStarts().take();
        ScriptedCoordinator nextCoordinator = newCoordinator();
        ScriptedEngine secondEngine = newEngine();
        engine.respondWith(call -> STILL_RUNNING);
        try (QueryClient reportClient = newClient();
                QueryClient client = newClient()) {
            String path = reportClient.request(REPORT, "", "SELECT 1", 9000).pollPath();
            reportClient.sendGet(path);
            nextCoordinator.publishToLaterWatches(
                    2, CHANGE, endpoint(2, secondEngine.port(), READY));
            nextCoordinator.publishToLaterWatches(3, CHANGE, endpoint(1, engine.port(), DRAINING));
            manager.reload(configWithCoordinator(nextCoordinator.port()));
            manager.awaitLog("event=3");
            for (int i = 0; i < 10; i++) {
                assertThat(client.requestToEnd(LOOKUP, "", "SELECT 1", 5000).status())
                        .isEqualTo(200);
            }
            engine.respondWith(call -> ONE_ROW);
            assertThat(reportClient.readToEnd().status()).isEqualTo(200);
        }
        assertThat(engine.posts()).hasSize(1);
        assertThat(secondEngine.posts()).hasSize(10);
    }

    @Test
    void reload_newCoordinator_changesNothingElse() throws Exception {
        coordinator.watchStarts().take();
        coordinator.publish(2, endpoint(1, engine.port(), DRAINING));
        ScriptedCoordinator nextCoordinator = newCoordinator();
        ScriptedEngine secondEngine = newEngine();
        String changedConfig = configWithCoordinator(nextCoordinator.port());
        manager.reload("{\"listen\":");
        manager.awaitLog("can't be read");
        manager.reload(changedConfig.replace("\"name\":\"m\"", "\"name\":\"other\""));
        manager.awaitLog("another manager's");
        for (int i = 0; i < 2; i++) {
            manager.reload(changedConfig);
            assertThat(nextCoordinator.watchStarts().take()).isEqualTo(2L);
        }
        nextCoordinator.publish(3, endpoint(2, secondEngine.port(), READY));
        sendRequestsUntilUsed(secondEngine);
        assertThat(coordinator.watchStarts()).isEmpty();
    }

    @Test
    void reload_sighupIgnoredAtStart_isStillApplied() throws Exception {
        coordinator.watchStarts().take();
        manager.kill();
        manager.startWith(manager.configFile(), "sh", "-c", "trap '' HUP; exec \"$0\" \"$@\"");
        manager.awaitAlive();
        coordinator.watchStarts().take();
        ScriptedCoordinator nextCoordinator = newCoordinator();
        ScriptedEngine secondEngine = newEngine();
        manager.reload(configWithCoordinator(nextCoordinator.port()));
        assertThat(nextCoordinator.watchStarts().take()).isEqualTo(1L);
        nextCoordinator.publish(2, endpoint(2, secondEngine.port(), READY));
        sendRequestsUntilUsed(secondEngine);
        manager.awaitLog("SIGHUP ignored");
    }

    @Test
    void reload_firstPacketToCoordinatorLost_costsNoSecond() throws Exception {
        coordinator.watchStarts().take();
        // With a full accept queue, the system drops the first packet of the connection and sends
        // it again after 1 s.
        try (ServerSocket fullServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket firstQueued =
                        new Socket(fullServer.getInetAddress(), fullServer.getLocalPort());
                Socket secondQueued =
                        new Socket(fullServer.getInetAddress(), fullServer.getLocalPort())) {
            manager.reload(configWithCoordinator(fullServer.getLocalPort()));
            manager.awaitLog("configuration reloaded coordinator=");
            long start = System.nanoTime();
            Thread.sleep(100);
            fullServer.accept().close();
            fullServer.accept().close();
            try (Socket watchConnection = fullServer.accept()) {
                assertThat(new DataInputStream(watchConnection.getInputStream()).readLong())
                        .isEqualTo(1L);
                assertThat(System.nanoTime() - start).isLessThan(700_000_000L);
            }
            assertThat(firstQueued.isConnected() && secondQueued.isConnected()).isTrue();
        }
    }

    @Test
    void reload_truncatedFile_isReadAgainOnceWhole() throws Exception {
        ScriptedCoordinator nextCoordinator = newCoordinator();
        String changedConfig = configWithCoordinator(nextCoordinator.port());
        manager.reload(changedConfig.substring(0, 200));
        manager.awaitLog("tried again");
        Files.writeString(manager.configFile(), changedConfig);
        assertThat(nextCoordinator.watchStarts().take()).isEqualTo(1);
    }
}
