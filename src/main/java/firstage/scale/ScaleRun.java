package firstage.scale;

import firstage.faulttest.LoopbackAddresses;
import firstage.faulttest.ManagerConfigWriter;
import firstage.faulttest.ManagerProcesses;
import firstage.simulation.FleetPlan;
import firstage.simulation.FleetPlanReader;
import firstage.simulation.InvalidPlanException;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.math3.stat.descriptive.DescriptiveStatistics;
import org.apache.commons.math3.stat.regression.OLSMultipleLinearRegression;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * One run: hollow processes, real managers and the coordinator started, the plan's events played,
 * figures taken.
 */
public final class ScaleRun implements AutoCloseable {
    /** Of the machine's memory, and processes: what a run may take. */
    private static final double MOST_MEMORY = 0.5;

    private static final int MOST_PROCESSES = 300;

    /**
     * A hollow process: what a JVM takes, and what a manager does by who it knows; a real one.
     * Rough, upwards.
     */
    private static final double JVM_MB = 90;

    private static final double MANAGER_MB = 0.5;
    private static final double KNOWN_MB = 0.001;
    private static final double REAL_MB = 110;

    /**
     * A hollow process that is later proves nothing of the managers in it: the membership takes 400
     * ms for a stop.
     */
    private static final double VOID_99TH_MS = 100;

    private static final int START_S = 60;
    private static final int STEADY_S = 6;
    private static final int AFTER_S = 12;
    private static final double RESTARTED = 0.7;
    private static final int BACK_MS = 3_000;
    private static final int AWAY_MS = 2_000;
    private static final double PERCENT = 99;

    /**
     * What a statement takes at a hollow engine: under what 279 a second leave it on eight cores.
     */
    private static final long STATEMENT_MS = 20;

    private static final long RAMP_MS = 4_000;

    /** Loads from which a processor's two slopes can be told with an error. */
    private static final int FEWEST_LOADS = 4;

    private static final int SOCKETS = 1_024;
    private static final String CUSTOMER = "one";
    private static final Map<String, List<String>> OF_PHASE =
            Map.of(
                    "kill",
                    List.of("a kill"),
                    "restart",
                    List.of("a leave", "a return"),
                    "list",
                    List.of("a change of the list"),
                    "zone",
                    List.of("a dead cell"),
                    "mass",
                    List.of("whole after", "events: worst"));
    private static final Pattern DATAGRAMS = Pattern.compile("datagrams' bytes out=(\\d+)");

    /**
     * What is to be played; {@code run}: of the deploy file; {@code file}: of the plan in force.
     */
    public record Order(
            ScalePlan plan,
            Path file,
            long seed,
            Path folder,
            Path jar,
            String run,
            Consumer<String> progress) {}

    /** What came of it; {@code isVoid}: why it proves nothing, or null. */
    public record Result(Map<String, Double> figures, String isVoid) {}

    private final Order order;
    private final ScalePlan plan;
    private final ServerSocket lock;
    private final ScaleAddresses at;
    private final EmulatedWatches watches;
    private final HollowEngines engines;
    private final ManagerProcesses real;
    private final List<HollowWorkerProcess> hollow = new ArrayList<>();
    private final Map<String, Double> figures = new LinkedHashMap<>();

    /**
     * What was going on from which second on, in order: each proves nothing where its managers came
     * late.
     */
    private final Map<String, Integer> phases = new LinkedHashMap<>();

    private final Random chance;
    private final Thread hook =
            new Thread(() -> hollow.forEach(HollowWorkerProcess::close), "end of the scale run");

    private ScaleRun(Order order) throws IOException {
        this.order = order;
        plan = order.plan;
        chance = new Random(order.seed);
        Files.createDirectories(order.folder.resolve("logs"));
        lock = LoopbackAddresses.reservePort();
        at = new ScaleAddresses(lock.getLocalPort());
        watches = new EmulatedWatches(at.coordinator());
        engines = new HollowEngines(at.engine(), STATEMENT_MS);
        real =
                new ManagerProcesses(
                        order.folder,
                        ManagerProcesses.processListFolder()
                                .resolve("scale-" + at.port() + ".held"),
                        ManagerProcesses.command(order.run, order.jar),
                        Math.max(1, plan.real()));
        Runtime.getRuntime().addShutdownHook(hook);
    }

    /** Memory in MB that such a run may take at most. */
    public static double memory(ScalePlan plan) {
        int processes = processes(plan);
        return processes * JVM_MB
                + plan.hollow() * (MANAGER_MB + KNOWN_MB * plan.together())
                + plan.real() * REAL_MB;
    }

    private static int processes(ScalePlan plan) {
        return (plan.managers() + plan.inAProcess() - 1) / plan.inAProcess();
    }

    /** What this machine can't bear; the message says what would do. */
    public static void check(ScalePlan plan) {
        double whole =
                ((com.sun.management.OperatingSystemMXBean)
                                        ManagementFactory.getOperatingSystemMXBean())
                                .getTotalMemorySize()
                        / 1048576.0;
        if (memory(plan) > whole * MOST_MEMORY) {
            throw new InvalidPlanException(
                    0,
                    String.format(
                            Locale.ROOT,
                            "%d managers that know %d each may take %.0f MB, over"
                                    + " half of this machine's %.0f; fewer, or in cells, would do",
                            plan.managers(),
                            plan.together(),
                            memory(plan),
                            whole));
        }
        if (processes(plan) + plan.real() > MOST_PROCESSES) {
            throw new InvalidPlanException(
                    0,
                    processes(plan)
                            + plan.real()
                            + " processes are over "
                            + MOST_PROCESSES
                            + "; more managers in_a_process would do");
        }
    }

    /** Plays it to its end; all that it started has ended when it returns. */
    public static Result play(Order order) throws IOException {
        check(order.plan);
        try (ScaleRun run = new ScaleRun(order)) {
            return run.play();
        }
    }

    private Result play() throws IOException {
        startHollow();
        startReal();
        long go = System.currentTimeMillis();
        all("go " + go);
        phases.put("start", fewestLines());
        long settled = go + plan.settle() / 10;
        while (System.currentTimeMillis() < settled) {
            rest();
        }
        figure("managers", plan.managers());
        figure("real", plan.real());
        figure("cell", plan.cell());
        figure("engines", plan.engines());
        figure("start: whole views, part of managers", sum("whole views") / Math.max(1, sum("up")));
        figure("start: slices in force", sum("in force") / Math.max(1, sum("up")));
        figure("start: worst second, bytes a manager", worstSecond("bytes out", 0));
        figure("watches", watches.open());
        phases.put("steady", fewestLines());
        steady();
        loads();
        int mark = fewestLines();
        events();
        for (int s = 0; s < AFTER_S; s++) {
            rest();
        }
        conclude(mark);
        return new Result(figures, judge());
    }

    /** What came late proves nothing: its figures say so. */
    private String judge() {
        List<String> late = new ArrayList<>();
        List<Map.Entry<String, Integer>> all = new ArrayList<>(phases.entrySet());
        for (int i = 0; i < all.size(); i++) {
            String phase = all.get(i).getKey();
            double ms =
                    late(
                            all.get(i).getValue(),
                            i + 1 < all.size() ? all.get(i + 1).getValue() : fewestLines());
            figure("late in " + phase + ", 99th, ms", ms);
            if (ms > VOID_99TH_MS) {
                late.add(String.format(Locale.ROOT, "%s (%.0f ms)", phase, ms));
                List<String> of =
                        OF_PHASE.getOrDefault(phase.replaceAll(" \\d+$", ""), List.of(phase + ":"));
                for (String name : List.copyOf(figures.keySet())) {
                    if (of.stream().anyMatch(name::startsWith)) {
                        figures.put("(void) " + name, figures.remove(name));
                    }
                }
            }
        }
        return late.isEmpty()
                ? null
                : "hollow managers came late (99th) in "
                        + String.join(", ", late)
                        + "; the machine is too small or too busy for that";
    }

    // ---- Starting.
    private void startHollow() throws IOException {
        double mb = JVM_MB + plan.inAProcess() * (MANAGER_MB + KNOWN_MB * plan.together());
        for (int from = 0; from < plan.managers(); from += plan.inAProcess()) {
            int to = Math.min(plan.managers(), from + plan.inAProcess());
            List<String> command =
                    List.of(
                            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                            "-Xmx" + (int) mb + "m",
                            "-Xss512k",
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-jar",
                            order.jar.toString(),
                            "scale",
                            "hollow",
                            order.file.toString(),
                            String.valueOf(at.port()),
                            String.valueOf(from),
                            String.valueOf(to));
            hollow.add(
                    new HollowWorkerProcess(
                            command,
                            from,
                            to,
                            order.folder.resolve("logs").resolve("hollow-" + from + ".log")));
        }
        long until = System.currentTimeMillis() + START_S * 1_000;
        while (hollow.stream().anyMatch(h -> h.told() == 0)) {
            for (HollowWorkerProcess h : hollow) {
                if (!h.lives() || System.currentTimeMillis() > until) {
                    throw new IOException(
                            "hollow managers from "
                                    + h.from
                                    + " did not start: "
                                    + h.lastWords()
                                    + Files.readString(
                                                    order.folder
                                                            .resolve("logs")
                                                            .resolve("hollow-" + h.from + ".log"))
                                            .lines()
                                            .findFirst()
                                            .orElse(""));
                }
            }
            rest();
        }
        order.progress.accept(hollow.size() + " hollow processes");
    }

    private void startReal() throws IOException {
        FleetPlan like =
                FleetPlanReader.read(
                        REAL_PLAN
                                .replace("ZONES", String.join(", ", plan.zones()))
                                .replace("MANAGERS", String.valueOf(plan.managers()))
                                .replace("ENGINES", String.valueOf(plan.engines())));
        int started = 0;
        for (int m = 0; m < plan.managers(); m++) {
            if (plan.isReal(m)) {
                ManagerConfigWriter.ManagerPlace of =
                        new ManagerConfigWriter.ManagerPlace(
                                "m" + m,
                                at.manager(started),
                                at.coordinator(),
                                m,
                                plan.zones().indexOf(plan.zoneOf(m)),
                                e -> at.engine());
                ManagerConfigWriter.writeConfig(
                        ManagerProcesses.configFile(order.folder, started),
                        like,
                        of,
                        order.seed * 1_009 + m,
                        sockets());
                Files.write(ManagerProcesses.peersFile(order.folder, started), peers(m));
                real.start(started, true);
                started++;
            }
        }
        for (int r = 0; r < started; r++) {
            real.awaitReady(r, at.manager(r));
        }
    }

    /** Clients hold a third of the descriptors at most; each engine known may hold some. */
    private int sockets() {
        return Math.max(
                SOCKETS,
                plan.loads().stream().mapToInt(l -> 3 * l.connections() + SOCKETS).max().orElse(0));
    }

    private List<String> peers(int m) {
        List<String> lines =
                new ArrayList<>(
                        List.of(
                                "fleet = \"" + plan.name() + "\"",
                                "name = \"m" + m + "\"",
                                "zone = \"" + plan.zoneOf(m) + "\"",
                                "listen = \"" + LoopbackAddresses.hostPort(at.mail(plan, m)) + "\"",
                                "probe = \"" + plan.period() / 10 + " ms\""));
        if (plan.cell() == 0) {
            for (int p = 0; p < plan.managers(); p++) {
                if (p != m) {
                    lines.addAll(
                            List.of(
                                    "[[peer]]",
                                    "address = \""
                                            + LoopbackAddresses.hostPort(at.mail(plan, p))
                                            + "\""));
                }
            }
            return lines;
        }
        lines.addAll(List.of("plan = 1", "spread = " + plan.spread()));
        for (int c = 0; c < plan.cells(); c++) {
            InetSocketAddress first = at.mail(plan, c * plan.cell());
            String host = first.getAddress().getHostAddress();
            lines.addAll(
                    List.of(
                            "[[cell]]",
                            "name = \"c" + c + "\"",
                            "zone = \"" + plan.zones().get(c % plan.zones().size()) + "\"",
                            "hosts = [\""
                                    + host
                                    + "-"
                                    + plan.cell()
                                    + ":"
                                    + first.getPort()
                                    + "\"]"));
        }
        return lines;
    }

    // ---- Playing.
    private void all(String line) {
        hollow.forEach(h -> h.order(line));
    }

    private static void rest() {
        try {
            Thread.sleep(100);
        } catch (InterruptedException fault) {
            Thread.currentThread().interrupt();
        }
    }

    private void rest(long ms) {
        long until = System.currentTimeMillis() + ms;
        while (System.currentTimeMillis() < until) {
            rest();
        }
    }

    private void steady() {
        Map<HollowWorkerProcess, HollowWorkerProcess.Line> before =
                hollow.stream().collect(Collectors.toMap(h -> h, HollowWorkerProcess::last));
        double[] cpu = new double[plan.real()];
        for (int r = 0; r < plan.real(); r++) {
            cpu[r] = cpuMs(r);
        }
        long since = System.currentTimeMillis();
        long list = watches.bytes();
        rest(STEADY_S * 1_000);
        double up = sum("up");
        for (String name : before.values().iterator().next().figures().keySet()) {
            if (name.startsWith("bytes ")
                    || name.startsWith("datagrams")
                    || name.startsWith("list bytes")
                    || name.equals("cpu ms")) {
                double rate = 0;
                for (HollowWorkerProcess h : hollow) {
                    HollowWorkerProcess.Line last = h.last();
                    double seconds = (last.figure("at") - before.get(h).figure("at")) / 1e3;
                    rate += (last.figure(name) - before.get(h).figure(name)) / seconds;
                }
                figure(
                        "steady: " + (name.equals("cpu ms") ? "processor, ms a s" : name + " a s"),
                        rate / up);
            }
        }
        double took = (System.currentTimeMillis() - since) / 1e3;
        figure("steady: coordinator's bytes a s", (watches.bytes() - list) / took);
        for (int r = 0; r < plan.real(); r++) {
            cpu[r] = (cpuMs(r) - cpu[r]) / took;
        }
        figure("steady: processor of a real one, ms a s", Arrays.stream(cpu).average().orElse(0));
        figure(
                "steady: resident MB of a real one",
                IntStream.range(0, plan.real()).mapToDouble(this::residentMb).average().orElse(0));
        figure("steady: engines held", sum("engines held") / up);
        figure(
                "steady: fewest cells heard",
                hollow.stream()
                        .mapToDouble(h -> h.last().figure("fewest cells heard"))
                        .min()
                        .orElse(0));
    }

    /**
     * The first real manager under its clients, load by load; then what a statement and a
     * connection cost it.
     */
    private void loads() throws IOException {
        if (plan.loads().isEmpty()) {
            return;
        }
        List<double[]> measured = new ArrayList<>();
        try (LoadClients clients = new LoadClients(at.manager(0), CUSTOMER)) {
            int number = 0;
            for (ScalePlan.Load l : plan.loads()) {
                String name = "load " + ++number;
                order.progress.accept(name);
                clients.play(l.connections(), l.rate());
                rest((long) (RAMP_MS + l.connections() / l.rate() * 1_000));
                phases.put(name, fewestLines());
                double[] row = load(name + ": ", clients, l);
                if (l.counted()) {
                    measured.add(row);
                }
                phases.put("after " + name, fewestLines());
            }
        }
        rest(RAMP_MS);
        if (measured.size() >= FEWEST_LOADS) {
            slopes(measured);
        }
    }

    /** What it came to: statements a second, connections, processor in ms a second, resident MB. */
    private double[] load(String name, LoadClients clients, ScalePlan.Load l) {
        long[] before = {
            clients.returned(),
            clients.pushedBack(),
            clients.failed(),
            clients.opened(),
            engines.taken(),
            engines.probes()
        };
        double cpu = cpuMs(0);
        long since = System.nanoTime();
        clients.latency().reset();
        clients.late().reset();
        rest(l.length() / 10);
        double took = (System.nanoTime() - since) / 1e9;
        cpu = (cpuMs(0) - cpu) / took;
        double returned = (clients.returned() - before[0]) / took;
        double pushedBack = (clients.pushedBack() - before[1]) / took;
        double failed = (clients.failed() - before[2]) / took;
        figure(name + "connections", l.connections());
        figure(name + "statements a s", returned + pushedBack + failed);
        figure(name + "returned, part", returned / Math.max(1e-9, returned + pushedBack + failed));
        figure(name + "failed a s", failed);
        figure(name + "connections opened a s", (clients.opened() - before[3]) / took);
        figure(name + "dispatches a s", (engines.taken() - before[4]) / took);
        figure(name + "probes a s", (engines.probes() - before[5]) / took);
        figure(name + "median, ms", clients.latency().getValueAtPercentile(50) / 1e3);
        figure(name + "99th, ms", clients.latency().getValueAtPercentile(PERCENT) / 1e3);
        figure(name + "clients late, 99th, ms", clients.late().getValueAtPercentile(PERCENT) / 1e3);
        figure(name + "processor, ms a s", cpu);
        figure(name + "resident MB", residentMb(0));
        return new double[] {returned + pushedBack + failed, l.connections(), cpu, residentMb(0)};
    }

    /**
     * Least squares over the loads, with standard errors; memory by connections alone, as it does
     * not shrink.
     */
    private void slopes(List<double[]> measured) {
        OLSMultipleLinearRegression fit = new OLSMultipleLinearRegression();
        fit.newSampleData(
                measured.stream().mapToDouble(m -> m[2]).toArray(),
                measured.stream().map(m -> new double[] {m[0], m[1]}).toArray(double[][]::new));
        double[] slope = fit.estimateRegressionParameters();
        double[] error = fit.estimateRegressionParametersStandardErrors();
        figure("slope: us of processor a statement", slope[1] * 1e3);
        figure("slope: us of processor a statement, error", error[1] * 1e3);
        figure("slope: us a second and connection", slope[2] * 1e3);
        figure("slope: us a second and connection, error", error[2] * 1e3);
        SimpleRegression memory = new SimpleRegression();
        measured.forEach(m -> memory.addData(m[1], m[3] * 1_024));
        figure("slope: resident KB a connection", memory.getSlope());
        figure("slope: resident KB a connection, error", memory.getSlopeStdErr());
    }

    private double cpuMs(int r) {
        return real.handle(r).info().totalCpuDuration().map(d -> (double) d.toMillis()).orElse(0.0);
    }

    private double residentMb(int r) {
        try {
            return Files.readAllLines(
                            Path.of("/proc", String.valueOf(real.handle(r).pid()), "status"))
                    .stream()
                    .filter(l -> l.startsWith("VmRSS"))
                    .mapToDouble(l -> Double.parseDouble(l.replaceAll("[^0-9]", "")) / 1_024)
                    .findFirst()
                    .orElse(0);
        } catch (IOException gone) {
            return 0;
        }
    }

    private void events() {
        long begin = System.currentTimeMillis();
        List<ScalePlan.Event> events =
                plan.events().stream()
                        .sorted(Comparator.comparingLong(ScalePlan.Event::at))
                        .toList();
        int number = 0;
        for (ScalePlan.Event e : events) {
            rest(begin + e.at() / 10 - System.currentTimeMillis());
            order.progress.accept(e.kind().name().toLowerCase(Locale.ROOT));
            phases.put(e.kind().name().toLowerCase(Locale.ROOT) + " " + ++number, fewestLines());
            strike(e.kind(), number);
        }
        rest(begin + plan.length() / 10 - System.currentTimeMillis());
    }

    private int somebody() {
        int m = chance.nextInt(plan.managers());
        while (plan.isReal(m)) {
            m = chance.nextInt(plan.managers());
        }
        return m;
    }

    private void strike(ScalePlan.Kind kind, int number) {
        long now = System.currentTimeMillis();
        switch (kind) {
            case KILL -> {
                int m = somebody();
                all("kill " + m);
                all("gone a_kill " + plan.cellOf(m) + " m" + m + " " + now);
            }
            case RESTART -> {
                int m = somebody();
                all("leave " + m);
                all("start " + m + " " + AWAY_MS);
                all("gone a_leave " + plan.cellOf(m) + " m" + m + " " + now);
                rest(AWAY_MS);
                all(
                        "back a_return "
                                + plan.cellOf(m)
                                + " m"
                                + m
                                + " "
                                + System.currentTimeMillis());
            }
            case LIST -> watches.tell(100_000 + number, number % plan.zones().size());
            case ZONE -> {
                String zone = plan.zones().get(plan.zones().size() - 1);
                List<String> of = new ArrayList<>();
                for (int m = 0; m < plan.managers(); m++) {
                    if (!plan.isReal(m) && plan.zoneOf(m).equals(zone)) {
                        of.add(String.valueOf(m));
                    }
                }
                all("silent " + now);
                all("kill " + String.join(",", of));
            }
            default -> {
                StringBuilder killed = new StringBuilder();
                StringBuilder starts = new StringBuilder();
                for (int m = 0; m < plan.managers(); m++) {
                    if (!plan.isReal(m) && chance.nextDouble() < RESTARTED) {
                        killed.append(killed.length() == 0 ? "" : ",").append(m);
                        starts.append("start ")
                                .append(m)
                                .append(' ')
                                .append(chance.nextInt(BACK_MS) + 500)
                                .append('\n');
                    }
                }
                all("kill " + killed);
                all(starts.toString().trim());
                rest(BACK_MS + 500L);
                all("whole whole_after_a_mass_restart " + now);
            }
        }
    }

    // ---- Figures.
    private void figure(String name, double value) {
        figures.put(name, value);
    }

    private double sum(String name) {
        return hollow.stream().mapToDouble(h -> h.last().figure(name)).sum();
    }

    private int fewestLines() {
        return hollow.stream().mapToInt(HollowWorkerProcess::told).min().orElse(0);
    }

    private double worstSecond(String name, int from) {
        double worst = 0;
        for (int s = Math.max(1, from); s < fewestLines(); s++) {
            double sum = 0;
            for (HollowWorkerProcess h : hollow) {
                sum += h.lines().get(s).figure(name) - h.lines().get(s - 1).figure(name);
            }
            worst = Math.max(worst, sum / plan.hollow());
        }
        return worst;
    }

    private double late(int from, int to) {
        return hollow.stream()
                .flatMap(h -> h.lines().stream().skip(from).limit(Math.max(1, to - from)))
                .mapToDouble(l -> l.figure("late 99th tenths") / 10)
                .max()
                .orElse(0);
    }

    private static void collect(
            Map<String, DescriptiveStatistics> reached, String label, List<Double> all) {
        DescriptiveStatistics of =
                reached.computeIfAbsent(label.replace('_', ' '), k -> new DescriptiveStatistics());
        all.forEach(of::addValue);
    }

    private void conclude(int mark) throws IOException {
        figure("events: worst second, bytes a manager", worstSecond("bytes out", mark));
        Map<String, DescriptiveStatistics> reached = new LinkedHashMap<>();
        for (HollowWorkerProcess h : hollow) {
            h.lines()
                    .forEach(
                            l -> l.reached().forEach((label, all) -> collect(reached, label, all)));
        }
        reached.forEach(
                (label, ms) -> {
                    figure(label + ": by managers", ms.getN());
                    figure(label + ": median, s", ms.getPercentile(50) / 1e3);
                    figure(label + ": 99th, s", ms.getPercentile(PERCENT) / 1e3);
                    figure(label + ": last, s", ms.getMax() / 1e3);
                });
        figure("end: slices in force", sum("in force") / Math.max(1, sum("up")));
        figure("end: whole views, part of managers", sum("whole views") / Math.max(1, sum("up")));
        all("heap");
        rest(2_000);
        figure(
                "heap of a manager, KB",
                hollow.stream().mapToDouble(h -> h.last().figure("heap bytes")).sum()
                        / 1_024
                        / plan.hollow());
        figure(
                "heap of a process, MB",
                hollow.stream().mapToDouble(h -> h.last().figure("heap bytes")).average().orElse(0)
                        / 1048576);
        double bytes = 0;
        for (int r = 0; r < plan.real(); r++) {
            real.signal(r, "TERM");
        }
        for (int r = 0; r < plan.real(); r++) {
            real.awaitExit(r, 10_000);
            Matcher m = DATAGRAMS.matcher(Files.readString(real.logFile(r)));
            bytes += m.find() ? Double.parseDouble(m.group(1)) : 0;
        }
        figure("a real one: datagrams' bytes in all", plan.real() == 0 ? 0 : bytes / plan.real());
        seconds();
    }

    /** The table of seconds and a chart of it. */
    private void seconds() throws IOException {
        Map<String, ToDoubleFunction<HollowWorkerProcess.Line>> columns = new LinkedHashMap<>();
        for (String name :
                List.of("up", "bytes out", "datagrams out", "cpu ms", "whole views", "in force")) {
            columns.put(name, l -> l.figure(name));
        }
        List<String> rows =
                new ArrayList<>(List.of("second," + String.join(",", columns.keySet())));
        for (int s = 0; s < fewestLines(); s++) {
            StringBuilder row = new StringBuilder(String.valueOf(s));
            for (ToDoubleFunction<HollowWorkerProcess.Line> of : columns.values()) {
                double sum = 0;
                for (HollowWorkerProcess h : hollow) {
                    sum += of.applyAsDouble(h.lines().get(s));
                }
                row.append(',').append(String.format(Locale.ROOT, "%.1f", sum));
            }
            rows.add(row.toString());
        }
        Files.write(order.folder.resolve("seconds.csv"), rows);
        TrafficChart.draw(
                order.folder.resolve("bytes.png"),
                plan.name() + ", " + plan.managers() + " managers",
                rows);
    }

    @Override
    public void close() throws IOException {
        hollow.forEach(HollowWorkerProcess::close);
        real.close();
        watches.close();
        engines.close();
        lock.close();
        Runtime.getRuntime().removeShutdownHook(hook);
    }

    /**
     * What real managers are told beside their place: a deployment of one group, as small as the
     * reader takes it.
     */
    private static final String REAL_PLAN =
            """
            name = "scale"
            length = "10 s"
            zones = "ZONES"
            [managers]
            count = MANAGERS
            [engines]
            count = ENGINES
            cores = 8
            memory = "16 GB"
            [traffic]
            rate = 1.0
            [[group]]
            name = "lookup"
            share = "100%"
            work = "20 ms"
            memory = "30 MB"
            goal = "1 s"
            limit = "5 s"
            effect = "repeatable"
            [[customer]]
            name = "one"
            share = "100%"
            """;
}
