package firstage.faulttest;

import static org.assertj.core.api.Assertions.assertThat;

import firstage.simulation.FleetPlan;
import firstage.simulation.FleetPlanReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Several processes of the packaged program, faults between them. Rules and crashes are judged, and
 * what members hold of each other; no figure that a busy machine moves, and a run without time
 * proves nothing either way.
 */
@Timeout(120)
class FaultTestIT {
    private static final String RUN =
            "java -Xmx64m -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=1"
                    + " -jar target/firstage.jar serve";
    @TempDir private Path folder;

    private static String text(String plan) throws IOException {
        return Files.readString(Path.of("deploy", "fault-tests", plan + ".toml"))
                .replaceFirst("(?s)\\[\\[expect.*", "")
                .replace("rate = 50.0", "rate = 25.0");
    }

    private FaultTestRun.Result play(String plan, boolean peers, String more) throws IOException {
        return playText(text(plan) + more, peers);
    }

    private FaultTestRun.Result playText(String plan, boolean peers) throws IOException {
        FleetPlan read = FleetPlanReader.read(plan);
        FaultTestRun.check(read);
        return FaultTestRun.play(
                new FaultTestRun.Order(
                        read,
                        1,
                        folder,
                        Path.of("target", "firstage.jar").toAbsolutePath(),
                        RUN,
                        peers,
                        line -> {}));
    }

    private void holds(FaultTestRun.Result r) {
        if (r.isVoid() != null) {
            System.out.println("fault-test: void: " + r.isVoid());
        }
        assertThat(r.broken()).isEmpty();
    }

    private List<String> told(int manager, String what) throws IOException {
        return Files.readAllLines(folder.resolve("logs").resolve("m" + manager + ".log")).stream()
                .filter(line -> line.contains(what))
                .toList();
    }

    @Test
    void inCalmNoRuleBreaksAndTheMembersAgree() throws IOException {
        holds(play("calm", true, ""));
        for (int m = 0; m < 4; m++) {
            assertThat(told(m, "view {")).anyMatch(line -> line.contains("m0 m1 m2 m3"));
            assertThat(told(m, "\"is\":\"suspect\"")).isEmpty();
        }
        try (Stream<Path> files = Files.list(folder)) {
            assertThat(files.map(p -> p.getFileName().toString()).collect(Collectors.toSet()))
                    .contains("timeline.jsonl", "seconds.csv", "served.png", "calls.png");
        }
    }

    @Test
    void aOneSidedCutAndAKilledManagerBreakNothingAndAreTold() throws IOException {
        holds(
                play(
                        "one-sided-cut",
                        true,
"""

[[fault]]
kind = "kill"
at = "2 s"
who = "managers 3"
"""));
        assertThat(told(0, "member {\"is\":\"suspect\",\"name\":\"m3\"")).isNotEmpty();
        // Back with a new life, it is one of them again.
        List<String> views = told(0, "view {");
        assertThat(views).anyMatch(line -> line.contains("\"m0 m1 m2\""));
        assertThat(views.subList(2, views.size())).anyMatch(line -> line.contains("m0 m1 m2 m3"));
        assertThat(told(0, "\"is\":\"dead\"")).isEmpty();
    }

    /**
     * Twelve processes in four cells: engines come back cold, a cell is cut off from another,
     * managers die.
     */
    @Test
    void inCellsNoRuleBreaksAndEachSendsToTheEnginesOfItsZoneOnly() throws IOException {
        holds(
                playText(
                        text("cells")
                                .replace("length = \"26 s\"", "length = \"14 s\"")
                                .replace("at = \"5 s\"", "at = \"3 s\"")
                                .replace("at = \"13 s\"", "at = \"7 s\"")
                                .replace("at = \"15 s\"", "at = \"8 s\""),
                        true));
        for (int m = 0; m < 12; m++) {
            assertThat(told(m, "\"is\":\"met\""))
                    .as("cells that m" + m + " met")
                    .hasSizeGreaterThanOrEqualTo(2);
        }
        List<String> sent =
                Files.readAllLines(folder.resolve("timeline.jsonl")).stream()
                        .filter(line -> line.contains("\"dispatched\""))
                        .toList();
        assertThat(sent)
                .hasSizeGreaterThan(50)
                .allMatch(line -> number(line, "manager") % 2 == number(line, "engine") % 2);
    }

    private static int number(String line, String name) {
        Matcher m = Pattern.compile("\"" + name + "\":(\\d+)").matcher(line);
        assertThat(m.find()).as(line).isTrue();
        return Integer.parseInt(m.group(1));
    }

    @Test
    void whatAYardThatWasKilledLeftIsFoundNamedAndEnded() throws Exception {
        Process yard =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-jar",
                                "target/firstage.jar",
                                "fault-test",
                                "run",
                                "deploy/fault-tests/calm.toml",
                                "--out",
                                folder.toString())
                        .redirectErrorStream(true)
                        .redirectOutput(folder.resolve("out").toFile())
                        .start();
        List<ProcessHandle> managers = List.of();
        while (managers.size() < 4) {
            Thread.sleep(50);
            assertThat(yard.isAlive()).isTrue();
            managers = yard.descendants().toList();
        }
        // Its note is written just after each start.
        Thread.sleep(500);
        yard.destroyForcibly().waitFor();
        assertThat(managers).allMatch(ProcessHandle::isAlive);
        List<String> ended = OrphanedProcesses.sweep();
        for (ProcessHandle p : managers) {
            assertThat(ended).anyMatch(line -> line.startsWith("ended process " + p.pid() + ","));
            p.onExit().get(10, java.util.concurrent.TimeUnit.SECONDS);
        }
    }

    @Test
    void whoDiesAtItsStartIsNamedWithItsLastWords() {
        assertThat(
                        org.assertj.core.api.Assertions.catchThrowable(
                                () ->
                                        FaultTestRun.play(
                                                new FaultTestRun.Order(
                                                        FleetPlanReader.read(
                                                                Files.readString(
                                                                        Path.of(
                                                                                "deploy",
                                                                                "fault-tests",
                                                                                "calm.toml"))),
                                                        1,
                                                        folder,
                                                        folder.resolve("none.jar"),
                                                        RUN,
                                                        false,
                                                        line -> {}))))
                .hasMessageContaining("manager 0 ended at its start")
                .hasMessageContaining("none.jar");
    }

    @Test
    void aPlanThatNamesAManagerItDoesNotHaveIsRefusedWithLineAndCure() throws IOException {
        String plan = Files.readString(Path.of("deploy", "fault-tests", "one-sided-cut.toml"));
        assertThat(
                        org.assertj.core.api.Assertions.catchThrowable(
                                () ->
                                        FleetPlanReader.read(
                                                plan.replace("managers 0", "managers 9"))))
                .hasMessageContaining("names one that the plan does not have; 0 to 3 would do");
        assertThat(
                        org.assertj.core.api.Assertions.catchThrowable(
                                () -> FleetPlanReader.read(plan.replace("\"cut\"", "\"cot\""))))
                .hasMessageContaining("'cot' is none of");
        assertThat(
                        org.assertj.core.api.Assertions.catchThrowable(
                                () ->
                                        FaultTestRun.check(
                                                FleetPlanReader.read(
                                                        plan.replace(
                                                                "\"service\"", "\"servise\"")))))
                .hasMessageContaining("no figure 'servise'");
    }
}
