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
 * A scale run on this machine: starts the hollow processes, the real managers and the emulated
 * coordinator and engines, plays the plan's loads and events, and records the figures.
 */
public final class ScaleRun implements AutoCloseable {
    /** Largest share of the machine's memory that a run may take. */
    private static final double MAX_MEMORY_SHARE = 0.5;

    private static final int MAX_PROCESSES = 300;

    /**
     * Memory of a hollow process without its managers. As the other sizes below, this is a rough
     * upper estimate.
     */
    private static final double HOLLOW_PROCESS_MB = 90;

    private static final double HOLLOW_MANAGER_MB = 0.5;

    /** Memory that a hollow manager takes for each manager in its membership. */
    private static final double KNOWN_MANAGER_MB = 0.001;

    private static final double REAL_MANAGER_MB = 110;

    /**
     * Limit on the 99th percentile of the tick delay of hollow managers; the figures of a phase
     * over the limit are void. The membership regards a manager that pauses for 400 ms as stopped.
     */
    private static final double MAX_TICK_DELAY_MS = 100;

    private static final int START_TIMEOUT_S = 60;
    private static final int STEADY_MEASUREMENT_S = 6;

    /** Number of pauses of 100 ms between the end of the plan and the final figures. */
    private static final int FINAL_PAUSES = 12;

    /** Share of the hollow managers that a mass restart kills. */
    private static final double MASS_RESTART_SHARE = 0.7;

    /** Time within which the managers of a mass restart start again. */
    private static final int MASS_RESTART_WINDOW_MS = 3_000;

    /** Time between the leave and the start of a manager that is restarted. */
    private static final int RESTART_DOWNTIME_MS = 2_000;

    private static final double HIGH_PERCENTILE = 99;

    /**
     * Service time of a statement at a hollow engine. An engine with eight cores can give each
     * statement up to 28.7 ms at 279 statements a second; the service time is below that.
     */
    private static final long STATEMENT_MS = 20;

    private static final long LOAD_RAMP_MS = 4_000;

    /** Smallest number of loads that the fit of two slopes with standard errors needs. */
    private static final int MIN_LOADS_FOR_SLOPES = 4;

    private static final int BASE_SOCKETS = 1_024;
    private static final String TENANT = "one";

    /** Prefixes of the figures that depend on an event, by the kind of the event. */
    private static final Map<String, List<String>> FIGURE_PREFIXES =
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

    private static final Pattern DATAGRAM_BYTES = Pattern.compile("datagrams' bytes out=(\\d+)");

    /**
     * The parameters of a run.
     *
     * @param planFile file that holds the plan, read by the hollow processes
     * @param seed seed of the random choices
     * @param folder folder for charts, logs and configurations
     * @param jar program that the processes run
     * @param serveCommand command of the deployment file that starts a manager
     * @param progress receives a line for each step of the run
     */
    public record Parameters(
            ScalePlan plan,
            Path planFile,
            long seed,
            Path folder,
            Path jar,
            String serveCommand,
            Consumer<String> progress) {}

    /**
     * The outcome of a run.
     *
     * @param voidReason reason why some figures are void, or null if all figures are valid
     */
    public record Result(Map<String, Double> figures, String voidReason) {}

    private final Parameters parameters;
    private final ScalePlan plan;
    private final ServerSocket portReservation;
    private final ScaleAddresses addresses;
    private final EmulatedWatches watches;
    private final HollowEngines engines;
    private final ManagerProcesses realManagers;
    private final List<HollowWorkerProcess> hollowProcesses = new ArrayList<>();
    private final Map<String, Double> figures = new LinkedHashMap<>();

    /**
     * Index of the first report line of each phase, by the name of the phase and in the order of
     * the phases. The figures of a phase are void if hollow managers ticked too late in it.
     */
    private final Map<String, Integer> phases = new LinkedHashMap<>();

    private final Random random;
    private final Thread shutdownHook =
            new Thread(
                    () -> hollowProcesses.forEach(HollowWorkerProcess::close),
                    "end of the scale run");

    private ScaleRun(Parameters parameters) throws IOException {
        this.parameters = parameters;
        plan = parameters.plan;
        random = new Random(parameters.seed);
        Files.createDirectories(parameters.folder.resolve("logs"));
        portReservation = LoopbackAddresses.reservePort();
        addresses = new ScaleAddresses(portReservation.getLocalPort());
        watches = new EmulatedWatches(addresses.coordinator());
        engines = new HollowEngines(addresses.engine(), STATEMENT_MS);
        realManagers =
                new ManagerProcesses(
                        parameters.folder,
                        ManagerProcesses.processListFolder()
                                .resolve("scale-" + addresses.port() + ".held"),
                        ManagerProcesses.command(parameters.serveCommand, parameters.jar),
                        Math.max(1, plan.realManagers()));
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /** Returns an upper estimate of the memory that a run of the plan takes, in MB. */
    public static double estimatedMemoryMb(ScalePlan plan) {
        int processCount = processCount(plan);
        return processCount * HOLLOW_PROCESS_MB
                + plan.hollowManagers()
                        * (HOLLOW_MANAGER_MB + KNOWN_MANAGER_MB * plan.membershipSize())
                + plan.realManagers() * REAL_MANAGER_MB;
    }

    /** Returns the number of hollow processes. */
    private static int processCount(ScalePlan plan) {
        return (plan.managers() + plan.managersPerProcess() - 1) / plan.managersPerProcess();
    }

    /**
     * Checks that this machine can host a run of the plan.
     *
     * @throws InvalidPlanException if the run needs too much memory or too many processes; the
     *     message says what to change
     */
    public static void check(ScalePlan plan) {
        double machineMb =
                ((com.sun.management.OperatingSystemMXBean)
                                        ManagementFactory.getOperatingSystemMXBean())
                                .getTotalMemorySize()
                        / 1048576.0;
        if (estimatedMemoryMb(plan) > machineMb * MAX_MEMORY_SHARE) {
            throw new InvalidPlanException(
                    0,
                    String.format(
                            Locale.ROOT,
                            "%d managers that know %d managers each may take %.0f MB,"
                                    + " over half of this machine's %.0f MB; use fewer managers"
                                    + " or divide them into cells",
                            plan.managers(),
                            plan.membershipSize(),
                            estimatedMemoryMb(plan),
                            machineMb));
        }
        if (processCount(plan) + plan.realManagers() > MAX_PROCESSES) {
            throw new InvalidPlanException(
                    0,
                    processCount(plan)
                            + plan.realManagers()
                            + " processes are over the limit of "
                            + MAX_PROCESSES
                            + "; raise managers.in_a_process");
        }
    }

    /** Plays a run to its end. All processes of the run have ended when the method returns. */
    public static Result play(Parameters parameters) throws IOException {
        check(parameters.plan);
        try (ScaleRun run = new ScaleRun(parameters)) {
            return run.play();
        }
    }

    private Result play() throws IOException {
        startHollowProcesses();
        startRealManagers();
        long startedAt = System.currentTimeMillis();
        sendToAll("go " + startedAt);
        phases.put("start", completeSeconds());
        long settledAt = startedAt + plan.settlingTime() / 10;
        while (System.currentTimeMillis() < settledAt) {
            pause();
        }
        putFigure("managers", plan.managers());
        putFigure("real", plan.realManagers());
        putFigure("cell", plan.cellSize());
        putFigure("engines", plan.engines());
        putFigure(
                "start: whole views, part of managers",
                sumOfLast("whole views") / Math.max(1, sumOfLast("up")));
        putFigure("start: slices in force", sumOfLast("in force") / Math.max(1, sumOfLast("up")));
        putFigure("start: worst second, bytes a manager", worstSecondPerManager("bytes out", 0));
        putFigure("watches", watches.openWatches());
        phases.put("steady", completeSeconds());
        measureSteadyState();
        playLoads();
        int firstEventSecond = completeSeconds();
        playEvents();
        for (int i = 0; i < FINAL_PAUSES; i++) {
            pause();
        }
        recordFinalFigures(firstEventSecond);
        return new Result(figures, voidLatePhases());
    }

    /**
     * Records the tick delay of each phase, and marks the figures of a phase as void if its delay
     * is above {@link #MAX_TICK_DELAY_MS}. Returns a message that names the late phases, or null if
     * there are none.
     */
    private String voidLatePhases() {
        List<String> latePhases = new ArrayList<>();
        List<Map.Entry<String, Integer>> phaseStarts = new ArrayList<>(phases.entrySet());
        for (int i = 0; i < phaseStarts.size(); i++) {
            String phase = phaseStarts.get(i).getKey();
            double delayMs =
                    tickDelayMs(
                            phaseStarts.get(i).getValue(),
                            i + 1 < phaseStarts.size()
                                    ? phaseStarts.get(i + 1).getValue()
                                    : completeSeconds());
            putFigure("late in " + phase + ", 99th, ms", delayMs);
            if (delayMs > MAX_TICK_DELAY_MS) {
                latePhases.add(String.format(Locale.ROOT, "%s (%.0f ms)", phase, delayMs));
                List<String> prefixes =
                        FIGURE_PREFIXES.getOrDefault(
                                phase.replaceAll(" \\d+$", ""), List.of(phase + ":"));
                for (String name : List.copyOf(figures.keySet())) {
                    if (prefixes.stream().anyMatch(name::startsWith)) {
                        figures.put("(void) " + name, figures.remove(name));
                    }
                }
            }
        }
        return latePhases.isEmpty()
                ? null
                : "hollow managers ticked too late (99th percentile) in "
                        + String.join(", ", latePhases)
                        + "; the machine is too small or too busy for this plan";
    }

    private void startHollowProcesses() throws IOException {
        double heapMb =
                HOLLOW_PROCESS_MB
                        + plan.managersPerProcess()
                                * (HOLLOW_MANAGER_MB + KNOWN_MANAGER_MB * plan.membershipSize());
        for (int firstManager = 0;
                firstManager < plan.managers();
                firstManager += plan.managersPerProcess()) {
            int endManager = Math.min(plan.managers(), firstManager + plan.managersPerProcess());
            List<String> command =
                    List.of(
                            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                            "-Xmx" + (int) heapMb + "m",
                            "-Xss512k",
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-jar",
                            parameters.jar.toString(),
                            "scale",
                            "hollow",
                            parameters.planFile.toString(),
                            String.valueOf(addresses.port()),
                            String.valueOf(firstManager),
                            String.valueOf(endManager));
            hollowProcesses.add(
                    new HollowWorkerProcess(
                            command,
                            firstManager,
                            endManager,
                            parameters
                                    .folder
                                    .resolve("logs")
                                    .resolve("hollow-" + firstManager + ".log")));
        }
        long deadline = System.currentTimeMillis() + START_TIMEOUT_S * 1_000;
        while (hollowProcesses.stream().anyMatch(h -> h.reportCount() == 0)) {
            for (HollowWorkerProcess process : hollowProcesses) {
                if (!process.isAlive() || System.currentTimeMillis() > deadline) {
                    throw new IOException(
                            "hollow managers from "
                                    + process.firstManager
                                    + " did not start: "
                                    + process.lastMessage()
                                    + Files.readString(
                                                    parameters
                                                            .folder
                                                            .resolve("logs")
                                                            .resolve(
                                                                    "hollow-"
                                                                            + process.firstManager
                                                                            + ".log"))
                                            .lines()
                                            .findFirst()
                                            .orElse(""));
                }
            }
            pause();
        }
        parameters.progress.accept(hollowProcesses.size() + " hollow processes");
    }

    private void startRealManagers() throws IOException {
        FleetPlan deployment =
                FleetPlanReader.read(
                        REAL_DEPLOYMENT
                                .replace("ZONES", String.join(", ", plan.zones()))
                                .replace("MANAGERS", String.valueOf(plan.managers()))
                                .replace("ENGINES", String.valueOf(plan.engines())));
        int started = 0;
        for (int manager = 0; manager < plan.managers(); manager++) {
            if (plan.isReal(manager)) {
                ManagerConfigWriter.ManagerSpec place =
                        new ManagerConfigWriter.ManagerSpec(
                                "m" + manager,
                                addresses.clientAddress(started),
                                addresses.coordinator(),
                                manager,
                                plan.zones().indexOf(plan.zoneOf(manager)),
                                engine -> addresses.engine());
                ManagerConfigWriter.writeConfig(
                        ManagerProcesses.configFile(parameters.folder, started),
                        deployment,
                        place,
                        parameters.seed * 1_009 + manager,
                        socketLimit());
                Files.write(
                        ManagerProcesses.peersFile(parameters.folder, started),
                        peersFileLines(manager));
                realManagers.start(started, true);
                started++;
            }
        }
        for (int i = 0; i < started; i++) {
            realManagers.awaitReady(i, addresses.clientAddress(i));
        }
    }

    /**
     * Returns the socket limit of a real manager: clients may hold a third of it, and connections
     * to engines need the rest.
     */
    private int socketLimit() {
        return Math.max(
                BASE_SOCKETS,
                plan.loads().stream()
                        .mapToInt(l -> 3 * l.connections() + BASE_SOCKETS)
                        .max()
                        .orElse(0));
    }

    private List<String> peersFileLines(int manager) {
        List<String> lines =
                new ArrayList<>(
                        List.of(
                                "fleet = \"" + plan.name() + "\"",
                                "name = \"m" + manager + "\"",
                                "zone = \"" + plan.zoneOf(manager) + "\"",
                                "listen = \""
                                        + LoopbackAddresses.hostPort(
                                                addresses.datagramAddress(plan, manager))
                                        + "\"",
                                "probe = \"" + plan.probePeriod() / 10 + " ms\""));
        if (plan.cellSize() == 0) {
            for (int peer = 0; peer < plan.managers(); peer++) {
                if (peer != manager) {
                    lines.addAll(
                            List.of(
                                    "[[peer]]",
                                    "address = \""
                                            + LoopbackAddresses.hostPort(
                                                    addresses.datagramAddress(plan, peer))
                                            + "\""));
                }
            }
            return lines;
        }
        lines.addAll(List.of("plan = 1", "spread = " + plan.spread()));
        for (int cell = 0; cell < plan.cellCount(); cell++) {
            InetSocketAddress firstSlot = addresses.datagramAddress(plan, cell * plan.cellSize());
            String host = firstSlot.getAddress().getHostAddress();
            lines.addAll(
                    List.of(
                            "[[cell]]",
                            "name = \"c" + cell + "\"",
                            "zone = \"" + plan.zones().get(cell % plan.zones().size()) + "\"",
                            "hosts = [\""
                                    + host
                                    + "-"
                                    + plan.cellSize()
                                    + ":"
                                    + firstSlot.getPort()
                                    + "\"]"));
        }
        return lines;
    }

    private void sendToAll(String line) {
        hollowProcesses.forEach(h -> h.sendOrder(line));
    }

    private static void pause() {
        try {
            Thread.sleep(100);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Pauses for a time in ms, in steps of 100 ms. */
    private void pause(long durationMs) {
        long until = System.currentTimeMillis() + durationMs;
        while (System.currentTimeMillis() < until) {
            pause();
        }
    }

    private void measureSteadyState() {
        Map<HollowWorkerProcess, HollowWorkerProcess.Report> before =
                hollowProcesses.stream()
                        .collect(Collectors.toMap(h -> h, HollowWorkerProcess::lastReport));
        double[] cpu = new double[plan.realManagers()];
        for (int i = 0; i < plan.realManagers(); i++) {
            cpu[i] = cpuMs(i);
        }
        long startMs = System.currentTimeMillis();
        long listBytesBefore = watches.bytesWritten();
        pause(STEADY_MEASUREMENT_S * 1_000);
        double managersUp = sumOfLast("up");
        for (String name : before.values().iterator().next().figures().keySet()) {
            if (name.startsWith("bytes ")
                    || name.startsWith("datagrams")
                    || name.startsWith("list bytes")
                    || name.equals("cpu ms")) {
                double sumOfRates = 0;
                for (HollowWorkerProcess process : hollowProcesses) {
                    HollowWorkerProcess.Report last = process.lastReport();
                    double seconds = (last.figure("at") - before.get(process).figure("at")) / 1e3;
                    sumOfRates += (last.figure(name) - before.get(process).figure(name)) / seconds;
                }
                putFigure(
                        "steady: " + (name.equals("cpu ms") ? "processor, ms a s" : name + " a s"),
                        sumOfRates / managersUp);
            }
        }
        double elapsedS = (System.currentTimeMillis() - startMs) / 1e3;
        putFigure(
                "steady: coordinator's bytes a s",
                (watches.bytesWritten() - listBytesBefore) / elapsedS);
        for (int i = 0; i < plan.realManagers(); i++) {
            cpu[i] = (cpuMs(i) - cpu[i]) / elapsedS;
        }
        putFigure(
                "steady: processor of a real one, ms a s", Arrays.stream(cpu).average().orElse(0));
        putFigure(
                "steady: resident MB of a real one",
                IntStream.range(0, plan.realManagers())
                        .mapToDouble(this::residentMb)
                        .average()
                        .orElse(0));
        putFigure("steady: engines held", sumOfLast("engines held") / managersUp);
        putFigure(
                "steady: fewest cells heard",
                hollowProcesses.stream()
                        .mapToDouble(h -> h.lastReport().figure("fewest cells heard"))
                        .min()
                        .orElse(0));
    }

    /**
     * Plays the loads on the first real manager one after another, then fits the manager's cost of
     * a statement and of a connection.
     */
    private void playLoads() throws IOException {
        if (plan.loads().isEmpty()) {
            return;
        }
        List<double[]> measured = new ArrayList<>();
        try (LoadClients clients = new LoadClients(addresses.clientAddress(0), TENANT)) {
            int number = 0;
            for (ScalePlan.Load load : plan.loads()) {
                String name = "load " + ++number;
                parameters.progress.accept(name);
                clients.setLoad(load.connections(), load.rate());
                pause((long) (LOAD_RAMP_MS + load.connections() / load.rate() * 1_000));
                phases.put(name, completeSeconds());
                double[] measurement = measureLoad(name + ": ", clients, load);
                if (load.counted()) {
                    measured.add(measurement);
                }
                phases.put("after " + name, completeSeconds());
            }
        }
        pause(LOAD_RAMP_MS);
        if (measured.size() >= MIN_LOADS_FOR_SLOPES) {
            fitSlopes(measured);
        }
    }

    /**
     * Measures a load that is being played. Returns statements a second, connections, processor
     * time in ms a second and resident MB, in this order.
     */
    private double[] measureLoad(String prefix, LoadClients clients, ScalePlan.Load load) {
        long[] before = {
            clients.returned(),
            clients.rejected(),
            clients.failed(),
            clients.opened(),
            engines.statementsReceived(),
            engines.probes()
        };
        double cpu = cpuMs(0);
        long startNs = System.nanoTime();
        clients.latencies().reset();
        clients.threadDelays().reset();
        pause(load.length() / 10);
        double elapsedS = (System.nanoTime() - startNs) / 1e9;
        cpu = (cpuMs(0) - cpu) / elapsedS;
        double returned = (clients.returned() - before[0]) / elapsedS;
        double rejected = (clients.rejected() - before[1]) / elapsedS;
        double failed = (clients.failed() - before[2]) / elapsedS;
        putFigure(prefix + "connections", load.connections());
        putFigure(prefix + "statements a s", returned + rejected + failed);
        putFigure(
                prefix + "returned, part", returned / Math.max(1e-9, returned + rejected + failed));
        putFigure(prefix + "failed a s", failed);
        putFigure(prefix + "connections opened a s", (clients.opened() - before[3]) / elapsedS);
        putFigure(prefix + "dispatches a s", (engines.statementsReceived() - before[4]) / elapsedS);
        putFigure(prefix + "probes a s", (engines.probes() - before[5]) / elapsedS);
        putFigure(prefix + "median, ms", clients.latencies().getValueAtPercentile(50) / 1e3);
        putFigure(
                prefix + "99th, ms",
                clients.latencies().getValueAtPercentile(HIGH_PERCENTILE) / 1e3);
        putFigure(
                prefix + "clients late, 99th, ms",
                clients.threadDelays().getValueAtPercentile(HIGH_PERCENTILE) / 1e3);
        putFigure(prefix + "processor, ms a s", cpu);
        putFigure(prefix + "resident MB", residentMb(0));
        return new double[] {returned + rejected + failed, load.connections(), cpu, residentMb(0)};
    }

    /**
     * Fits processor time to statements and connections, and memory to connections alone, by least
     * squares with standard errors. Memory is not fitted to statements, as it does not shrink when
     * their rate falls.
     */
    private void fitSlopes(List<double[]> measured) {
        OLSMultipleLinearRegression cpuFit = new OLSMultipleLinearRegression();
        cpuFit.newSampleData(
                measured.stream().mapToDouble(row -> row[2]).toArray(),
                measured.stream()
                        .map(row -> new double[] {row[0], row[1]})
                        .toArray(double[][]::new));
        double[] slopes = cpuFit.estimateRegressionParameters();
        double[] errors = cpuFit.estimateRegressionParametersStandardErrors();
        putFigure("slope: us of processor a statement", slopes[1] * 1e3);
        putFigure("slope: us of processor a statement, error", errors[1] * 1e3);
        putFigure("slope: us a second and connection", slopes[2] * 1e3);
        putFigure("slope: us a second and connection, error", errors[2] * 1e3);
        SimpleRegression memoryFit = new SimpleRegression();
        measured.forEach(row -> memoryFit.addData(row[1], row[3] * 1_024));
        putFigure("slope: resident KB a connection", memoryFit.getSlope());
        putFigure("slope: resident KB a connection, error", memoryFit.getSlopeStdErr());
    }

    private double cpuMs(int realManager) {
        return realManagers
                .handle(realManager)
                .info()
                .totalCpuDuration()
                .map(d -> (double) d.toMillis())
                .orElse(0.0);
    }

    private double residentMb(int realManager) {
        try {
            return Files.readAllLines(
                            Path.of(
                                    "/proc",
                                    String.valueOf(realManagers.handle(realManager).pid()),
                                    "status"))
                    .stream()
                    .filter(line -> line.startsWith("VmRSS"))
                    .mapToDouble(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1_024)
                    .findFirst()
                    .orElse(0);
        } catch (IOException processEnded) {
            return 0;
        }
    }

    private void playEvents() {
        long startMs = System.currentTimeMillis();
        List<ScalePlan.Event> events =
                plan.events().stream()
                        .sorted(Comparator.comparingLong(ScalePlan.Event::at))
                        .toList();
        int number = 0;
        for (ScalePlan.Event event : events) {
            pause(startMs + event.at() / 10 - System.currentTimeMillis());
            parameters.progress.accept(event.kind().name().toLowerCase(Locale.ROOT));
            phases.put(
                    event.kind().name().toLowerCase(Locale.ROOT) + " " + ++number,
                    completeSeconds());
            playEvent(event.kind(), number);
        }
        pause(startMs + plan.length() / 10 - System.currentTimeMillis());
    }

    private int randomHollowManager() {
        int manager = random.nextInt(plan.managers());
        while (plan.isReal(manager)) {
            manager = random.nextInt(plan.managers());
        }
        return manager;
    }

    private void playEvent(ScalePlan.Kind kind, int number) {
        long now = System.currentTimeMillis();
        switch (kind) {
            case KILL -> {
                int manager = randomHollowManager();
                sendToAll("kill " + manager);
                sendToAll("gone a_kill " + plan.cellOf(manager) + " m" + manager + " " + now);
            }
            case RESTART -> {
                int manager = randomHollowManager();
                sendToAll("leave " + manager);
                sendToAll("start " + manager + " " + RESTART_DOWNTIME_MS);
                sendToAll("gone a_leave " + plan.cellOf(manager) + " m" + manager + " " + now);
                pause(RESTART_DOWNTIME_MS);
                sendToAll(
                        "back a_return "
                                + plan.cellOf(manager)
                                + " m"
                                + manager
                                + " "
                                + System.currentTimeMillis());
            }
            case LIST -> watches.sendEngineChange(100_000 + number, number % plan.zones().size());
            case ZONE -> {
                String zone = plan.zones().get(plan.zones().size() - 1);
                List<String> zoneManagers = new ArrayList<>();
                for (int manager = 0; manager < plan.managers(); manager++) {
                    if (!plan.isReal(manager) && plan.zoneOf(manager).equals(zone)) {
                        zoneManagers.add(String.valueOf(manager));
                    }
                }
                sendToAll("silent " + now);
                sendToAll("kill " + String.join(",", zoneManagers));
            }
            default -> {
                StringBuilder killed = new StringBuilder();
                StringBuilder starts = new StringBuilder();
                for (int manager = 0; manager < plan.managers(); manager++) {
                    if (!plan.isReal(manager) && random.nextDouble() < MASS_RESTART_SHARE) {
                        killed.append(killed.length() == 0 ? "" : ",").append(manager);
                        starts.append("start ")
                                .append(manager)
                                .append(' ')
                                .append(random.nextInt(MASS_RESTART_WINDOW_MS) + 500)
                                .append('\n');
                    }
                }
                sendToAll("kill " + killed);
                sendToAll(starts.toString().trim());
                pause(MASS_RESTART_WINDOW_MS + 500L);
                sendToAll("whole whole_after_a_mass_restart " + now);
            }
        }
    }

    private void putFigure(String name, double value) {
        figures.put(name, value);
    }

    /** Returns the sum of a figure over the last report lines of all hollow processes. */
    private double sumOfLast(String name) {
        return hollowProcesses.stream().mapToDouble(h -> h.lastReport().figure(name)).sum();
    }

    /**
     * Returns the number of reports that every hollow process has written: one a second, and one
     * more for the heap at the end.
     */
    private int completeSeconds() {
        return hollowProcesses.stream().mapToInt(HollowWorkerProcess::reportCount).min().orElse(0);
    }

    /**
     * Returns the largest increase of a counter in one second, from {@code firstSecond} on, as a
     * mean over the hollow managers.
     */
    private double worstSecondPerManager(String name, int firstSecond) {
        double worst = 0;
        for (int second = Math.max(1, firstSecond); second < completeSeconds(); second++) {
            double increase = 0;
            for (HollowWorkerProcess process : hollowProcesses) {
                increase +=
                        process.reports().get(second).figure(name)
                                - process.reports().get(second - 1).figure(name);
            }
            worst = Math.max(worst, increase / plan.hollowManagers());
        }
        return worst;
    }

    /**
     * Returns the largest 99th percentile of the tick delay, in ms, that a hollow process reported
     * from {@code firstSecond} until before {@code endSecond}; at least one second is considered.
     */
    private double tickDelayMs(int firstSecond, int endSecond) {
        return hollowProcesses.stream()
                .flatMap(
                        process ->
                                process.reports().stream()
                                        .skip(firstSecond)
                                        .limit(Math.max(1, endSecond - firstSecond)))
                .mapToDouble(line -> line.figure("late 99th tenths") / 10)
                .max()
                .orElse(0);
    }

    private static void addDelays(
            Map<String, DescriptiveStatistics> delaysByLabel, String label, List<Double> delaysMs) {
        DescriptiveStatistics statistics =
                delaysByLabel.computeIfAbsent(
                        label.replace('_', ' '), key -> new DescriptiveStatistics());
        delaysMs.forEach(statistics::addValue);
    }

    private void recordFinalFigures(int firstEventSecond) throws IOException {
        putFigure(
                "events: worst second, bytes a manager",
                worstSecondPerManager("bytes out", firstEventSecond));
        Map<String, DescriptiveStatistics> delaysByLabel = new LinkedHashMap<>();
        for (HollowWorkerProcess process : hollowProcesses) {
            process.reports()
                    .forEach(
                            line ->
                                    line.delaysByLabel()
                                            .forEach(
                                                    (label, delaysMs) ->
                                                            addDelays(
                                                                    delaysByLabel,
                                                                    label,
                                                                    delaysMs)));
        }
        delaysByLabel.forEach(
                (label, delays) -> {
                    putFigure(label + ": by managers", delays.getN());
                    putFigure(label + ": median, s", delays.getPercentile(50) / 1e3);
                    putFigure(label + ": 99th, s", delays.getPercentile(HIGH_PERCENTILE) / 1e3);
                    putFigure(label + ": last, s", delays.getMax() / 1e3);
                });
        putFigure("end: slices in force", sumOfLast("in force") / Math.max(1, sumOfLast("up")));
        putFigure(
                "end: whole views, part of managers",
                sumOfLast("whole views") / Math.max(1, sumOfLast("up")));
        sendToAll("heap");
        pause(2_000);
        putFigure(
                "heap of a manager, KB",
                hollowProcesses.stream().mapToDouble(h -> h.lastReport().figure("heap bytes")).sum()
                        / 1_024
                        / plan.hollowManagers());
        putFigure(
                "heap of a process, MB",
                hollowProcesses.stream()
                                .mapToDouble(h -> h.lastReport().figure("heap bytes"))
                                .average()
                                .orElse(0)
                        / 1048576);
        double datagramBytes = 0;
        for (int i = 0; i < plan.realManagers(); i++) {
            realManagers.signal(i, "TERM");
        }
        for (int i = 0; i < plan.realManagers(); i++) {
            realManagers.awaitExit(i, 10_000);
            Matcher matcher = DATAGRAM_BYTES.matcher(Files.readString(realManagers.logFile(i)));
            datagramBytes += matcher.find() ? Double.parseDouble(matcher.group(1)) : 0;
        }
        putFigure(
                "a real one: datagrams' bytes in all",
                plan.realManagers() == 0 ? 0 : datagramBytes / plan.realManagers());
        writeSeconds();
    }

    /** Writes the figures of each second, summed over the hollow processes, and their chart. */
    private void writeSeconds() throws IOException {
        Map<String, ToDoubleFunction<HollowWorkerProcess.Report>> columns = new LinkedHashMap<>();
        for (String name :
                List.of("up", "bytes out", "datagrams out", "cpu ms", "whole views", "in force")) {
            columns.put(name, line -> line.figure(name));
        }
        List<String> rows =
                new ArrayList<>(List.of("second," + String.join(",", columns.keySet())));
        for (int second = 0; second < completeSeconds(); second++) {
            StringBuilder row = new StringBuilder(String.valueOf(second));
            for (ToDoubleFunction<HollowWorkerProcess.Report> column : columns.values()) {
                double sum = 0;
                for (HollowWorkerProcess process : hollowProcesses) {
                    sum += column.applyAsDouble(process.reports().get(second));
                }
                row.append(',').append(String.format(Locale.ROOT, "%.1f", sum));
            }
            rows.add(row.toString());
        }
        Files.write(parameters.folder.resolve("seconds.csv"), rows);
        TrafficChart.draw(
                parameters.folder.resolve("bytes.png"),
                plan.name() + ", " + plan.managers() + " managers",
                rows);
    }

    @Override
    public void close() throws IOException {
        hollowProcesses.forEach(HollowWorkerProcess::close);
        realManagers.close();
        watches.close();
        engines.close();
        portReservation.close();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }

    /** Deployment of the real managers: one traffic class, with no more keys than are required. */
    private static final String REAL_DEPLOYMENT =
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
