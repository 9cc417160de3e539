package firstage.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import firstage.membership.MembershipMessage;
import firstage.membership.MembershipView;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.io.StringWriter;
import java.lang.management.ManagementFactory;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/**
 * One process of a few hundred hollow managers, all on one thread. Orders come in lines on standard
 * input, a line of JSON goes out each second; where standard input ends, so does the process.
 */
public final class HollowWorker implements HollowManager.Witness {
    private static final long TICK = 200;
    private static final long SPREAD = 10_000;
    private static final long TELL_MS = 1_000;
    private static final long MOST_LATE = 600_000;

    /** A moment that each of some managers comes to, once; {@code since}: Unix ms. */
    private static final class Awaited {
        private final String label;
        private final long since;
        private final Predicate<List<String>> reached;
        private final Map<Integer, HollowManager> waiting = new TreeMap<>();

        private Awaited(String label, long since, Predicate<List<String>> reached) {
            this.label = label;
            this.since = since;
            this.reached = reached;
        }
    }

    private final ScalePlan plan;
    private final Selector selector = Selector.open();
    private final Map<Integer, HollowManager> managers = new LinkedHashMap<>();
    private final Map<HollowManager, Long> starts = new LinkedHashMap<>();
    private final List<Awaited> awaited = new ArrayList<>();
    private final Map<String, List<Long>> reached = new TreeMap<>();
    private final Queue<String> orders = new ConcurrentLinkedQueue<>();
    private final Histogram late = new Histogram(MOST_LATE, 2);
    private final PrintStream out;
    private final long startNs = System.nanoTime();
    private long silentSince = Long.MAX_VALUE;
    private volatile boolean over;

    private HollowWorker(ScalePlan plan, ScaleAddresses at, int from, int to, PrintStream out)
            throws IOException {
        this.plan = plan;
        this.out = out;
        for (int m = from; m < to; m++) {
            if (!plan.isReal(m)) {
                managers.put(m, new HollowManager(m, plan, at, selector, this::now, this));
            }
        }
    }

    /**
     * Hosts the hollow ones of these managers until it is told to end, or nobody is there to tell.
     */
    public static void run(ScalePlan plan, int port, int from, int to) throws IOException {
        new HollowWorker(
                        plan,
                        new ScaleAddresses(port),
                        from,
                        to,
                        new PrintStream(System.out, true, StandardCharsets.UTF_8))
                .play();
    }

    private long now() {
        return 10_000_000 + (System.nanoTime() - startNs) / 100_000;
    }

    private void play() throws IOException {
        Thread reader = new Thread(this::read, "orders");
        reader.setDaemon(true);
        reader.start();
        tell();
        long tellAt = System.currentTimeMillis() + TELL_MS;
        while (!over) {
            selector.select(2);
            for (SelectionKey key : selector.selectedKeys()) {
                if (key.isValid()) {
                    ((HollowManager) key.attachment()).ready(key);
                }
            }
            selector.selectedKeys().clear();
            for (String order = orders.poll(); order != null; order = orders.poll()) {
                obey(order.split(" "));
            }
            begin();
            tick();
            if (System.currentTimeMillis() >= tellAt) {
                tellAt += TELL_MS;
                tell();
            }
        }
    }

    private void read() {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                orders.add(line);
                selector.wakeup();
            }
        } catch (IOException gone) {
            // The same as its end.
        }
        over = true;
        selector.wakeup();
    }

    private void begin() throws IOException {
        long now = now();
        List<HollowManager> due =
                starts.entrySet().stream()
                        .filter(e -> e.getValue() <= now)
                        .map(Map.Entry::getKey)
                        .toList();
        for (HollowManager m : due) {
            starts.remove(m);
            if (!m.up()) {
                m.start();
            }
        }
    }

    private void tick() throws IOException {
        for (HollowManager m : managers.values()) {
            long now = now();
            if (m.up() && now >= m.tickAt) {
                late.recordValue(Math.min(MOST_LATE, now - m.tickAt));
                m.tickAt = Math.max(m.tickAt + TICK, now + TICK / 2);
                m.tick(now);
            }
        }
    }

    private void obey(String[] words) throws IOException {
        switch (words[0]) {
            case "go" -> {
                Random chance = new Random(managers.keySet().iterator().next());
                managers.values()
                        .forEach(m -> starts.put(m, now() + (long) (chance.nextDouble() * SPREAD)));
                await(
                        "one view",
                        Long.parseLong(words[1]),
                        -1,
                        names -> names.size() == plan.together());
            }
            case "kill" -> with(words[1], HollowManager::kill);
            case "leave" -> with(words[1], HollowManager::leave);
            case "start" ->
                    with(words[1], m -> starts.put(m, now() + Long.parseLong(words[2]) * 10));
            case "gone" ->
                    await(
                            words[1],
                            Long.parseLong(words[4]),
                            Integer.parseInt(words[2]),
                            names -> !names.contains(words[3]));
            case "back" ->
                    await(
                            words[1],
                            Long.parseLong(words[4]),
                            Integer.parseInt(words[2]),
                            names -> names.contains(words[3]));
            case "whole" ->
                    await(
                            words[1],
                            Long.parseLong(words[2]),
                            -1,
                            names -> names.size() == plan.together());
            case "silent" -> silentSince = Long.parseLong(words[1]);
            case "heap" -> {
                System.gc();
                tell();
            }
            default -> over = true;
        }
    }

    private interface Act {
        void on(HollowManager m) throws IOException;
    }

    private void with(String numbers, Act act) throws IOException {
        for (String number : numbers.split(",")) {
            HollowManager m = managers.get(Integer.parseInt(number));
            if (m != null) {
                act.on(m);
            }
        }
    }

    private void await(String label, long since, int cell, Predicate<List<String>> is) {
        Awaited a = new Awaited(label, since, is);
        managers.values().stream()
                .filter(m -> cell < 0 || plan.cellOf(m.number) == cell)
                .forEach(m -> a.waiting.put(m.number, m));
        awaited.add(a);
        List.copyOf(a.waiting.values()).forEach(m -> look(a, m, m.view()));
    }

    private void look(Awaited a, HollowManager m, List<String> names) {
        if (m.up() && a.waiting.containsKey(m.number) && a.reached.test(names)) {
            a.waiting.remove(m.number);
            reached(a.label, System.currentTimeMillis() - a.since);
        }
    }

    private void reached(String label, long ms) {
        reached.computeIfAbsent(label, l -> new ArrayList<>()).add(Math.max(0, ms));
    }

    @Override
    public void viewed(HollowManager who, MembershipView view) {
        awaited.forEach(a -> look(a, who, view.memberNames()));
        awaited.removeIf(a -> a.waiting.isEmpty());
    }

    @Override
    public void listed(HollowManager who, long toldAt) {
        reached("a change of the list", System.currentTimeMillis() - toldAt);
    }

    @Override
    public void noted(HollowManager who, String what, String cell) {
        if (System.currentTimeMillis() >= silentSince) {
            reached("a dead cell " + what, System.currentTimeMillis() - silentSince);
        }
    }

    private void tell() throws IOException {
        StringWriter line = new StringWriter();
        var system =
                (com.sun.management.OperatingSystemMXBean)
                        ManagementFactory.getOperatingSystemMXBean();
        List<HollowManager> up = managers.values().stream().filter(HollowManager::up).toList();
        try (JsonGenerator g = new JsonFactory().createGenerator(line)) {
            g.writeStartObject();
            figure(g, "at", System.currentTimeMillis());
            figure(g, "managers", managers.size());
            figure(g, "up", up.size());
            figure(g, "cpu ms", system.getProcessCpuTime() / 1_000_000);
            figure(
                    g,
                    "heap bytes",
                    ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
            long all = 0;
            for (int k = 0; k <= MembershipMessage.Kind.values().length; k++) {
                int kind = k;
                long sum = managers.values().stream().mapToLong(m -> m.bytesOut[kind]).sum();
                all += sum;
                figure(
                        g,
                        "bytes "
                                + (k < MembershipMessage.Kind.values().length
                                        ? MembershipMessage.Kind.values()[k]
                                                .name()
                                                .toLowerCase(Locale.ROOT)
                                        : "rows"),
                        sum);
            }
            figure(g, "bytes out", all);
            figure(g, "bytes in", managers.values().stream().mapToLong(m -> m.bytesIn).sum());
            figure(
                    g,
                    "datagrams out",
                    managers.values().stream().mapToLong(m -> m.datagramsOut).sum());
            figure(
                    g,
                    "list bytes in",
                    managers.values().stream().mapToLong(m -> m.listBytes).sum());
            figure(g, "late 99th tenths", late.getValueAtPercentile(99));
            figure(g, "late most tenths", late.getMaxValue());
            figure(g, "whole views", up.stream().filter(m -> m.views() == plan.together()).count());
            g.writeNumberField("in force", up.stream().mapToDouble(HollowManager::inForce).sum());
            figure(
                    g,
                    "fewest cells heard",
                    up.stream().mapToInt(HollowManager::cellsHeard).min().orElse(0));
            figure(g, "engines held", up.stream().mapToInt(HollowManager::enginesHeld).sum());
            g.writeObjectFieldStart("reached");
            for (Map.Entry<String, List<Long>> e : reached.entrySet()) {
                g.writeArrayFieldStart(e.getKey());
                for (long ms : e.getValue()) {
                    g.writeNumber(ms);
                }
                g.writeEndArray();
            }
            g.writeEndObject();
            g.writeEndObject();
        }
        reached.clear();
        late.reset();
        out.println(line);
    }

    private static void figure(JsonGenerator g, String name, long value) throws IOException {
        g.writeNumberField(name, value);
    }
}
