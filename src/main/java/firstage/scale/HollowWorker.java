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
 * Runs a few hundred hollow managers in one process, all on one thread. The worker reads orders
 * from standard input, one a line, and writes a line of JSON with its figures to standard output
 * each second. The process ends when standard input ends. Times are ticks unless their name says
 * ms.
 */
public final class HollowWorker implements HollowManager.Observer {
    /** Time between two ticks of a manager: 20 ms. */
    private static final long TICK_INTERVAL = 200;

    /** Time within which all managers start: 1 s. */
    private static final long START_WINDOW = 10_000;

    private static final long REPORT_INTERVAL_MS = 1_000;

    /** Largest tick delay that is recorded: 60 s; a longer delay counts as this one. */
    private static final long MAX_TICK_DELAY = 600_000;

    /**
     * A condition on the members of a view, with the managers whose views have not met it yet. The
     * delay of each manager counts from {@code sinceMs}, a Unix time.
     */
    private static final class Milestone {
        private final String label;
        private final long sinceMs;
        private final Predicate<List<String>> condition;
        private final Map<Integer, HollowManager> waitingManagers = new TreeMap<>();

        private Milestone(String label, long sinceMs, Predicate<List<String>> condition) {
            this.label = label;
            this.sinceMs = sinceMs;
            this.condition = condition;
        }
    }

    private final ScalePlan plan;
    private final Selector selector = Selector.open();
    private final Map<Integer, HollowManager> managers = new LinkedHashMap<>();
    private final Map<HollowManager, Long> startTimes = new LinkedHashMap<>();
    private final List<Milestone> milestones = new ArrayList<>();

    /** Delays recorded since the last report, in ms, by label. */
    private final Map<String, List<Long>> delaysByLabel = new TreeMap<>();

    private final Queue<String> orders = new ConcurrentLinkedQueue<>();

    /** Delays of managers' ticks since the last report. */
    private final Histogram tickDelays = new Histogram(MAX_TICK_DELAY, 2);

    private final PrintStream out;
    private final long startNs = System.nanoTime();

    /** Unix time at which a zone was killed; events of cells are recorded from then on. */
    private long silentSinceMs = Long.MAX_VALUE;

    private volatile boolean stopped;

    private HollowWorker(
            ScalePlan plan,
            ScaleAddresses addresses,
            int firstManager,
            int endManager,
            PrintStream out)
            throws IOException {
        this.plan = plan;
        this.out = out;
        for (int manager = firstManager; manager < endManager; manager++) {
            if (!plan.isReal(manager)) {
                managers.put(
                        manager,
                        new HollowManager(manager, plan, addresses, selector, this::now, this));
            }
        }
    }

    /**
     * Hosts the hollow managers of a range until an order or the end of standard input stops the
     * process. Real managers in the range are left out.
     *
     * @param port port of all addresses of the run
     * @param firstManager number of the first manager
     * @param endManager one past the last manager
     */
    public static void run(ScalePlan plan, int port, int firstManager, int endManager)
            throws IOException {
        new HollowWorker(
                        plan,
                        new ScaleAddresses(port),
                        firstManager,
                        endManager,
                        new PrintStream(System.out, true, StandardCharsets.UTF_8))
                .runLoop();
    }

    /** Returns the time in ticks; the clock of the process starts at 1,000 s. */
    private long now() {
        return 10_000_000 + (System.nanoTime() - startNs) / 100_000;
    }

    private void runLoop() throws IOException {
        Thread reader = new Thread(this::readOrders, "orders");
        reader.setDaemon(true);
        reader.start();
        writeReport();
        long nextReportMs = System.currentTimeMillis() + REPORT_INTERVAL_MS;
        while (!stopped) {
            selector.select(2);
            for (SelectionKey key : selector.selectedKeys()) {
                if (key.isValid()) {
                    ((HollowManager) key.attachment()).onReady(key);
                }
            }
            selector.selectedKeys().clear();
            for (String order = orders.poll(); order != null; order = orders.poll()) {
                execute(order.split(" "));
            }
            startDueManagers();
            tickManagers();
            if (System.currentTimeMillis() >= nextReportMs) {
                nextReportMs += REPORT_INTERVAL_MS;
                writeReport();
            }
        }
    }

    private void readOrders() {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                orders.add(line);
                selector.wakeup();
            }
        } catch (IOException inputFailed) {
            // Handled like the end of the input.
        }
        stopped = true;
        selector.wakeup();
    }

    private void startDueManagers() throws IOException {
        long now = now();
        List<HollowManager> due =
                startTimes.entrySet().stream()
                        .filter(e -> e.getValue() <= now)
                        .map(Map.Entry::getKey)
                        .toList();
        for (HollowManager manager : due) {
            startTimes.remove(manager);
            if (!manager.up()) {
                manager.start();
            }
        }
    }

    private void tickManagers() throws IOException {
        for (HollowManager manager : managers.values()) {
            long now = now();
            if (manager.up() && now >= manager.nextTick) {
                tickDelays.recordValue(Math.min(MAX_TICK_DELAY, now - manager.nextTick));
                manager.nextTick =
                        Math.max(manager.nextTick + TICK_INTERVAL, now + TICK_INTERVAL / 2);
                manager.tick(now);
            }
        }
    }

    /**
     * Executes an order of the scale run; an unknown order stops the process. {@code managers} are
     * numbers separated by commas; {@code since} is the Unix time in ms from which delays count.
     *
     * <pre>
     * go since                    starts all managers within a second
     * kill managers               kills managers
     * leave managers              lets managers leave
     * start managers delay        starts managers after a delay in ms
     * gone label cell name since  measures when the views of the cell lose the manager
     * back label cell name since  measures when they contain it again
     * whole label since           measures when all views are complete
     * silent since                measures when cells become silent or return
     * heap                        collects garbage and reports at once
     * </pre>
     */
    private void execute(String[] order) throws IOException {
        switch (order[0]) {
            case "go" -> {
                Random random = new Random(managers.keySet().iterator().next());
                managers.values()
                        .forEach(
                                manager ->
                                        startTimes.put(
                                                manager,
                                                now()
                                                        + (long)
                                                                (random.nextDouble()
                                                                        * START_WINDOW)));
                addMilestone(
                        "one view",
                        Long.parseLong(order[1]),
                        -1,
                        names -> names.size() == plan.membershipSize());
            }
            case "kill" -> forEach(order[1], HollowManager::kill);
            case "leave" -> forEach(order[1], HollowManager::leave);
            case "start" ->
                    forEach(
                            order[1],
                            m -> startTimes.put(m, now() + Long.parseLong(order[2]) * 10));
            case "gone" ->
                    addMilestone(
                            order[1],
                            Long.parseLong(order[4]),
                            Integer.parseInt(order[2]),
                            names -> !names.contains(order[3]));
            case "back" ->
                    addMilestone(
                            order[1],
                            Long.parseLong(order[4]),
                            Integer.parseInt(order[2]),
                            names -> names.contains(order[3]));
            case "whole" ->
                    addMilestone(
                            order[1],
                            Long.parseLong(order[2]),
                            -1,
                            names -> names.size() == plan.membershipSize());
            case "silent" -> silentSinceMs = Long.parseLong(order[1]);
            case "heap" -> {
                System.gc();
                writeReport();
            }
            default -> stopped = true;
        }
    }

    private interface ManagerAction {
        void apply(HollowManager manager) throws IOException;
    }

    /** Applies an action to the managers of a comma-separated list that this process hosts. */
    private void forEach(String numbers, ManagerAction action) throws IOException {
        for (String number : numbers.split(",")) {
            HollowManager manager = managers.get(Integer.parseInt(number));
            if (manager != null) {
                action.apply(manager);
            }
        }
    }

    /**
     * Starts to record how long each manager takes until its view meets a condition.
     *
     * @param sinceMs Unix time from which the delays count
     * @param cell cell whose managers are observed; -1 for all managers
     */
    private void addMilestone(
            String label, long sinceMs, int cell, Predicate<List<String>> condition) {
        Milestone milestone = new Milestone(label, sinceMs, condition);
        managers.values().stream()
                .filter(m -> cell < 0 || plan.cellOf(m.number) == cell)
                .forEach(m -> milestone.waitingManagers.put(m.number, m));
        milestones.add(milestone);
        List.copyOf(milestone.waitingManagers.values())
                .forEach(m -> checkMilestone(milestone, m, m.viewMembers()));
    }

    private void checkMilestone(Milestone milestone, HollowManager manager, List<String> names) {
        if (manager.up()
                && milestone.waitingManagers.containsKey(manager.number)
                && milestone.condition.test(names)) {
            milestone.waitingManagers.remove(manager.number);
            recordDelay(milestone.label, System.currentTimeMillis() - milestone.sinceMs);
        }
    }

    private void recordDelay(String label, long ms) {
        delaysByLabel.computeIfAbsent(label, l -> new ArrayList<>()).add(Math.max(0, ms));
    }

    @Override
    public void onViewChanged(HollowManager manager, MembershipView view) {
        milestones.forEach(milestone -> checkMilestone(milestone, manager, view.memberNames()));
        milestones.removeIf(milestone -> milestone.waitingManagers.isEmpty());
    }

    @Override
    public void onEndpointListChanged(HollowManager manager, long sentAt) {
        recordDelay("a change of the list", System.currentTimeMillis() - sentAt);
    }

    @Override
    public void onCellEvent(HollowManager manager, String event, String cell) {
        if (System.currentTimeMillis() >= silentSinceMs) {
            recordDelay("a dead cell " + event, System.currentTimeMillis() - silentSinceMs);
        }
    }

    /** Writes a line of figures and clears the delays that it contains. */
    private void writeReport() throws IOException {
        StringWriter line = new StringWriter();
        var operatingSystem =
                (com.sun.management.OperatingSystemMXBean)
                        ManagementFactory.getOperatingSystemMXBean();
        List<HollowManager> up = managers.values().stream().filter(HollowManager::up).toList();
        try (JsonGenerator json = new JsonFactory().createGenerator(line)) {
            json.writeStartObject();
            writeFigure(json, "at", System.currentTimeMillis());
            writeFigure(json, "managers", managers.size());
            writeFigure(json, "up", up.size());
            writeFigure(json, "cpu ms", operatingSystem.getProcessCpuTime() / 1_000_000);
            writeFigure(
                    json,
                    "heap bytes",
                    ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
            long totalBytes = 0;
            for (int ordinal = 0; ordinal <= MembershipMessage.Kind.values().length; ordinal++) {
                int kindOrdinal = ordinal;
                long sum = managers.values().stream().mapToLong(m -> m.bytesOut[kindOrdinal]).sum();
                totalBytes += sum;
                writeFigure(
                        json,
                        "bytes "
                                + (ordinal < MembershipMessage.Kind.values().length
                                        ? MembershipMessage.Kind.values()[ordinal]
                                                .name()
                                                .toLowerCase(Locale.ROOT)
                                        : "rows"),
                        sum);
            }
            writeFigure(json, "bytes out", totalBytes);
            writeFigure(
                    json, "bytes in", managers.values().stream().mapToLong(m -> m.bytesIn).sum());
            writeFigure(
                    json,
                    "datagrams out",
                    managers.values().stream().mapToLong(m -> m.datagramsOut).sum());
            writeFigure(
                    json,
                    "list bytes in",
                    managers.values().stream().mapToLong(m -> m.listBytesIn).sum());
            writeFigure(json, "late 99th tenths", tickDelays.getValueAtPercentile(99));
            writeFigure(json, "late most tenths", tickDelays.getMaxValue());
            writeFigure(
                    json,
                    "whole views",
                    up.stream().filter(m -> m.viewSize() == plan.membershipSize()).count());
            json.writeNumberField(
                    "in force", up.stream().mapToDouble(HollowManager::sliceInForce).sum());
            writeFigure(
                    json,
                    "fewest cells heard",
                    up.stream().mapToInt(HollowManager::cellsHeard).min().orElse(0));
            writeFigure(
                    json, "engines held", up.stream().mapToInt(HollowManager::enginesHeld).sum());
            json.writeObjectFieldStart("reached");
            for (Map.Entry<String, List<Long>> entry : delaysByLabel.entrySet()) {
                json.writeArrayFieldStart(entry.getKey());
                for (long ms : entry.getValue()) {
                    json.writeNumber(ms);
                }
                json.writeEndArray();
            }
            json.writeEndObject();
            json.writeEndObject();
        }
        delaysByLabel.clear();
        tickDelays.reset();
        out.println(line);
    }

    private static void writeFigure(JsonGenerator json, String name, long value)
            throws IOException {
        json.writeNumberField(name, value);
    }
}
