import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** What all cases share: folders, the switch TROUBLE, the end of the run, and settings of a small deployment. */
final class Trial {
    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    final Record record;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    Trial(String number) throws IOException {
        folder = Files.createTempDirectory("review-" + number + "-");
        record = new Record(root.resolve("review/" + number + "/record.txt"));
        record.say("case " + number + " trouble=" + (trouble ? 1 : 0));
    }

    interface Body {
        /** Returns whether the rule held. */
        boolean run(Trial trial) throws Exception;
    }

    /** Runs a case and ends the program: 0 the rule held, 1 it was broken, 2 the case couldn't run. */
    static void run(String number, Body body) {
        int status = 2;
        Trial trial = null;
        try {
            trial = new Trial(number);
            status = body.run(trial) ? 0 : 1;
            trial.record.say(status == 0 ? "the rule held" : "THE RULE WAS BROKEN");
        } catch (Throwable e) {
            System.out.println("the case could not run: " + e);
            e.printStackTrace(System.out);
        }
        if (trial != null && !Boolean.getBoolean("keep")) {
            Path folder = trial.folder;
            Runtime.getRuntime().addShutdownHook(new Thread(() -> delete(folder)));
        }
        System.exit(status);
    }

    /** Deletes the temporary folder once the managers are gone; other hooks kill them at the same time. */
    private static void delete(Path folder) {
        Engine.pause(300);
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // Left to the system.
        }
    }

    /** One traffic class as JSON; times in seconds. */
    static String group(String name, String effect, double target, double deadline, double window, boolean ordered) {
        return String.format(
                "{\"name\":\"%s\",\"effect\":\"%s\",\"group\":\"all\",\"target\":%s,\"aim_stretch\":2,\"deadline\":%s,"
                        + "\"worth\":1,\"late_value\":0.3,\"window\":%s,\"by_arrival\":%s,\"stream\":false}",
                name, effect, target, deadline, window, ordered);
    }

    /**
     * The settings of a small deployment in the form of the wire page.
     *
     * @param lists the lists dop, class_load and yields_to_loads of family_info
     * @param limits the members of limits that differ by deployment
     * @param keyQuiet in seconds
     */
    static String settings(int managers, int rank, String classes, String lists, String limits, double keyQuiet, String report) {
        return "{\"areas\":[\"hall-a\"],\"kinds\":[\"std\"],\"group_size\":" + managers + ",\"rank\":" + rank
                + ",\"zone\":0,\"discovery\":\"automatic\",\"classes\":[" + classes + "],\"tenants\":[],"
                + "\"family_info\":{" + lists + ",\"kind_cores\":[8],\"size_mb\":[16384],\"takes_grants\":true,"
                + "\"lanes_count\":true,\"progress_pace\":0.5,\"largest_share\":0.4,\"out_of_memory\":\"wait\"},"
                + "\"report\":{" + report + "},"
                + "\"limits\":{\"connect_timeout\":0.25,\"keepalive\":30,\"max_retry_after\":2,\"retry_after\":true," + limits + "},"
                + "\"deductions\":{\"probe\":0.013,\"cross_zone\":0},"
                + "\"rules\":{\"drain_grace\":0.5,\"cold_from\":0.31,\"ramp_time\":13,\"tip_multiple\":2,\"fall\":2,\"key_quiet\":"
                + keyQuiet + "}}";
    }
}
