package firstage.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests the adapter as the simulator uses it: lines of events in, lines of replies out. */
class BenchAdapterTest {
    private static final String START =
            """
            POWER_ON i=%s init_seed=7 classes.count=1 classes.0.deadline=5.0 classes.0.target=1.0 \
            classes.0.effect=retryable family_info.kind_cores=8 family_info.size_mb=16384.0 \
            family_info.takes_grants=true family_info.lanes_count=true limits.max_attempts=6 \
            limits.retry_after=true limits.max_retry_after=2.0 limits.peers=%s
            DEFINE_LIST ref=0 elements=1
            ITEM engine=51530247 locality=0 class_of_host=0 cell=0 health=active heft=1
            ENDPOINTS i=%1$s mode=warm_copy serial=41 ref=0
            """;
    private static final String REQUEST =
            "INBOUND i=3 request_id=c:a tier_class=0 not_after=12.0 plan_cost=0.012 mem_mb=384\n";

    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    private static String round(int number, String clock, String events) {
        return "SYNC now=" + clock + " n=" + number + "\n" + events + "COMMIT\n";
    }

    private String replies(String input) throws IOException {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        new BenchAdapter(
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                        new PrintStream(output, true, StandardCharsets.UTF_8),
                        new PrintStream(errors, true, StandardCharsets.UTF_8))
                .run();
        return output.toString(StandardCharsets.UTF_8);
    }

    @Test
    void round_withoutEvents_isAnsweredByItsNumber() throws IOException {
        assertThat(replies(round(1, "8.41225", ""))).isEqualTo("FINISHED n=1\n");
    }

    @Test
    void request_oneWarmEngine_isSentThereWithGrantAndPriority() throws IOException {
        String replies = replies(round(4, "8.41225", START.formatted("3", "false") + REQUEST));
        assertThat(replies.lines())
                .anyMatch(
                        line ->
                                line.matches(
                                        "PROVIDE i=3 request_id=c:a workspace_mb=\\d+ rank=[0-3]"))
                .anyMatch(
                        line ->
                                line.matches(
                                        "DISPATCH i=3 request_id=c:a engine=51530247"
                                                + " within=\\d+\\.\\d{4}"));
        assertThat(replies).endsWith("FINISHED n=4\n");
        assertThat(errors.size()).isZero();
    }

    @Test
    void peerMessages_wherePermitted_startATimerOfLoadShedding() throws IOException {
        assertThat(replies(round(1, "1.0", START.formatted("3", "true"))))
                .contains("ARM i=3 in=0.1000 nonce=1048576\n");
        assertThat(replies(round(1, "1.0", START.formatted("3", "false"))))
                .doesNotContain("nonce=1048576");
    }

    @Test
    void killedManager_inTheSameRound_sendsNothing() throws IOException {
        String events = START.formatted("3", "true") + REQUEST + "DOWN i=3\n";
        assertThat(replies(round(2, "1.0", events))).isEqualTo("FINISHED n=2\n");
    }

    @Test
    void unreadableLine_isSkippedAndReported_roundContinues() throws IOException {
        String events = START.formatted("3", "false") + "INBOUND i=3 tier_class=0\nNEWS i=3\n";
        assertThat(replies(round(5, "1.0", events))).endsWith("FINISHED n=5\n");
        assertThat(errors.toString(StandardCharsets.UTF_8).lines())
                .containsExactly(
                        "skipped a line: missing request_id: INBOUND i=3 tier_class=0",
                        "skipped a line: unknown event NEWS: NEWS i=3");
    }

    @Test
    void failingManager_isReportedInTheReply_withItsException() throws IOException {
        String events = START.formatted("3", "false") + REQUEST.replace("_class=0", "_class=9");
        assertThat(replies(round(6, "1.0", events)))
                .contains("FATAL i=3 line=java.lang.IndexOutOfBoundsException")
                .endsWith("FINISHED n=6\n");
    }
}
