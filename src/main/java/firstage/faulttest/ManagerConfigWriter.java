package firstage.faulttest;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import firstage.cells.CellPlan;
import firstage.simulation.FleetPlan;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.IntFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Writes the configuration files of a manager: the platform's configuration and the peers file. */
public final class ManagerConfigWriter {
    private static final double TICKS_PER_SECOND = 10_000;

    private ManagerConfigWriter() {}

    static String engineId(int engine) {
        return String.format(Locale.ROOT, "s-%08x", engine + 1);
    }

    /** Writes a manager's configuration; the seed differs by manager and run. */
    static void writeConfig(
            Path file, FleetPlan plan, LoopbackAddresses addresses, int manager, long seed)
            throws IOException {
        writeConfig(
                file,
                plan,
                new ManagerSpec(
                        "m" + manager,
                        addresses.manager(manager),
                        addresses.coordinator(manager),
                        manager,
                        plan.zoneOf(manager),
                        engine -> addresses.engineSeenBy(manager, engine)),
                seed);
    }

    /**
     * Settings in which managers differ: name, listening address, coordinator (null for none),
     * rank, zone index, and the address at which the manager reaches each engine.
     */
    public record ManagerSpec(
            String name,
            InetSocketAddress listenAddress,
            InetSocketAddress coordinatorAddress,
            int rank,
            int zone,
            IntFunction<InetSocketAddress> engineAddress) {}

    /** Writes a manager's configuration, with a limit of 1,024 open sockets. */
    public static void writeConfig(Path file, FleetPlan plan, ManagerSpec spec, long seed)
            throws IOException {
        writeConfig(file, plan, spec, seed, 1_024);
    }

    /** Writes a manager's configuration, with the given limit of open sockets. */
    public static void writeConfig(
            Path file, FleetPlan plan, ManagerSpec spec, long seed, int sockets)
            throws IOException {
        try (JsonGenerator out = new JsonFactory().createGenerator(Files.newBufferedWriter(file))) {
            out.writeStartObject();
            out.writeStringField("name", spec.name);
            out.writeStringField("listen", LoopbackAddresses.hostPort(spec.listenAddress));
            out.writeStringField("seed", Long.toHexString(seed));
            out.writeObjectFieldStart("limits");
            out.writeNumberField("memory_mb", 192);
            out.writeNumberField("sockets", sockets);
            out.writeEndObject();
            if (spec.coordinatorAddress != null) {
                out.writeStringField(
                        "coordinator", LoopbackAddresses.hostPort(spec.coordinatorAddress));
            }
            writeEndpoints(out, plan, spec.engineAddress);
            writeSettings(out, plan, spec.rank, spec.zone);
            out.writeEndObject();
        }
    }

    private static void writeEndpoints(
            JsonGenerator out, FleetPlan plan, IntFunction<InetSocketAddress> engineAddress)
            throws IOException {
        out.writeObjectFieldStart("known");
        out.writeNumberField("index", 1);
        out.writeArrayFieldStart("updates");
        out.writeStartObject();
        out.writeNumberField("index", 1);
        out.writeObjectFieldStart("endpoints");
        out.writeNumberField("generation", 0);
        out.writeBooleanField("reset", true);
        out.writeArrayFieldStart("instances");
        for (int e = 0; e < plan.engines().count(); e++) {
            out.writeStartObject();
            out.writeStringField("instanceId", engineId(e));
            out.writeStringField("hostPort", LoopbackAddresses.hostPort(engineAddress.apply(e)));
            out.writeStringField("zone", plan.zones().get(plan.zoneOf(e)));
            out.writeStringField("machineType", "std");
            out.writeNumberField("cell", 0);
            out.writeStringField("lifecycle", "Ready");
            out.writeNumberField("weight", 1);
            out.writeNumberField("startedAtMs", 0);
            out.writeEndObject();
        }
        out.writeEndArray();
        out.writeEndObject();
        out.writeEndObject();
        out.writeEndArray();
        out.writeEndObject();
    }

    private static void writeArray(JsonGenerator out, String name, List<?> values)
            throws IOException {
        out.writeArrayFieldStart(name);
        for (Object value : values) {
            out.writeRawValue(value instanceof String s ? "\"" + s + "\"" : value.toString());
        }
        out.writeEndArray();
    }

    private static void writeSettings(JsonGenerator out, FleetPlan plan, int rank, int zone)
            throws IOException {
        out.writeObjectFieldStart("settings");
        writeArray(out, "areas", plan.zones());
        writeArray(out, "kinds", List.of("std"));
        out.writeNumberField("group_size", plan.managers().fleetSize());
        out.writeNumberField("rank", rank);
        out.writeNumberField("zone", zone);
        writeTrafficClasses(out, plan);
        writeTenants(out, plan);
        writeEngineType(out, plan);
        writeLimits(out, plan.managers());
        writeScoreRules(out, plan);
        out.writeEndObject();
    }

    private static void writeTrafficClasses(JsonGenerator out, FleetPlan plan) throws IOException {
        out.writeArrayFieldStart("classes");
        for (FleetPlan.TrafficClassPlan trafficClass : plan.trafficClasses()) {
            out.writeStartObject();
            out.writeStringField("name", trafficClass.name());
            out.writeStringField(
                    "effect",
                    switch (trafficClass.effect()) {
                        case IDEMPOTENT -> "retryable";
                        case IDEMPOTENT_WITH_KEY -> "dedup";
                        case NON_IDEMPOTENT -> "fragile";
                    });
            out.writeStringField(
                    "group", trafficClass.idempotencyScope().name().toLowerCase(Locale.ROOT));
            out.writeNumberField("target", trafficClass.latencyObjective() / TICKS_PER_SECOND);
            out.writeNumberField("aim_stretch", trafficClass.latencyObjectivePerWork());
            out.writeNumberField("deadline", trafficClass.timeout() / TICKS_PER_SECOND);
            out.writeNumberField("worth", trafficClass.priorityWeight());
            out.writeNumberField("late_value", trafficClass.lateValueShare());
            out.writeNumberField("window", trafficClass.idempotencyWindow() / TICKS_PER_SECOND);
            out.writeBooleanField("by_arrival", trafficClass.ordered());
            out.writeEndObject();
        }
        out.writeEndArray();
    }

    private static void writeTenants(JsonGenerator out, FleetPlan plan) throws IOException {
        out.writeArrayFieldStart("tenants");
        double totalShare = plan.tenants().stream().mapToDouble(FleetPlan.TenantPlan::share).sum();
        for (FleetPlan.TenantPlan tenant : plan.tenants()) {
            out.writeStartObject();
            out.writeStringField("name", tenant.name());
            out.writeNumberField(
                    "quota_per_s",
                    plan.tenants().size() < 2
                            ? 1e9
                            : plan.traffic().rate()
                                    * plan.managers().fleetSize()
                                    / plan.managers().count()
                                    * tenant.share()
                                    / totalShare);
            out.writeEndObject();
        }
        out.writeEndArray();
    }

    private static void writeEngineType(JsonGenerator out, FleetPlan plan) throws IOException {
        FleetPlan.Engines engines = plan.engines();
        out.writeObjectFieldStart("family_info");
        writeArray(
                out,
                "dop",
                plan.trafficClasses().stream().map(FleetPlan.TrafficClassPlan::threads).toList());
        writeArray(
                out,
                "class_load",
                plan.trafficClasses().stream().map(FleetPlan.TrafficClassPlan::tableLoad).toList());
        writeArray(
                out,
                "yields_to_loads",
                plan.trafficClasses().stream()
                        .map(FleetPlan.TrafficClassPlan::blockedByTableLoads)
                        .toList());
        writeArray(out, "kind_cores", List.of(engines.cores()));
        writeArray(out, "size_mb", List.of(engines.memoryMb()));
        out.writeBooleanField("takes_grants", engines.grants());
        out.writeBooleanField("lanes_count", engines.priorities());
        out.writeNumberField("progress_pace", engines.progressInterval() / TICKS_PER_SECOND);
        out.writeNumberField("largest_share", 0.4);
        out.writeEndObject();
    }

    private static void writeLimits(JsonGenerator out, FleetPlan.Managers managers)
            throws IOException {
        out.writeObjectFieldStart("limits");
        out.writeNumberField("connect_timeout", 0.25);
        out.writeNumberField("keepalive", 15);
        out.writeNumberField("max_attempts", managers.maxAttempts());
        out.writeNumberField("max_retry_after", 2);
        out.writeBooleanField("retry_after", true);
        out.writeBooleanField("second_copies", managers.hedging());
        out.writeBooleanField("may_cancel", managers.cancel());
        out.writeBooleanField("probing", managers.probes());
        out.writeEndObject();
    }

    private static void writeScoreRules(JsonGenerator out, FleetPlan plan) throws IOException {
        out.writeObjectFieldStart("deductions");
        out.writeNumberField("probe", 0.013);
        out.writeNumberField("cross_zone", plan.zones().size() > 1 ? 0.045 : 0);
        out.writeEndObject();
        out.writeObjectFieldStart("rules");
        out.writeNumberField("drain_grace", plan.rules().drainGrace() / TICKS_PER_SECOND);
        out.writeNumberField("cold_from", plan.engines().initialCapacityShare());
        out.writeNumberField(
                "ramp_time", plan.engines().warmUpDuration().high() / TICKS_PER_SECOND);
        out.writeNumberField("tip_multiple", plan.rules().overloadMultiple());
        out.writeNumberField("fall", plan.rules().overloadWindow() / TICKS_PER_SECOND);
        out.writeNumberField("key_quiet", plan.rules().keyQuietPeriod() / TICKS_PER_SECOND);
        out.writeEndObject();
    }

    /** Writes the peers file with the address at which this manager reaches each peer. */
    static void writePeers(Path file, FleetPlan plan, LoopbackAddresses addresses, int manager)
            throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add("fleet = \"" + plan.name() + "\"");
        lines.add("name = \"m" + manager + "\"");
        lines.add("listen = \"" + LoopbackAddresses.hostPort(addresses.gossip(manager)) + "\"");
        lines.add("probe = \"200 ms\"");
        CellPlan cells = plan.cellPlan();
        if (cells != null) {
            lines.addAll(List.of("plan = " + cells.number(), "spread = " + cells.spread()));
            for (CellPlan.Cell cell : cells.cells()) {
                lines.addAll(
                        List.of(
                                "",
                                "[[cell]]",
                                "name = \"" + cell.name() + "\"",
                                "zone = \"" + cell.zone() + "\"",
                                "hosts = ["
                                        + hostList(
                                                plan,
                                                addresses,
                                                manager,
                                                cells.indexOf(cell.name()))
                                        + "]"));
            }
            Files.write(file, lines);
            return;
        }
        lines.add("zone = \"" + plan.zones().get(plan.zoneOf(manager)) + "\"");
        for (int peer = 0; peer < plan.managers().count(); peer++) {
            if (peer != manager) {
                lines.add("");
                lines.add("[[peer]]");
                lines.add("name = \"m" + peer + "\"");
                lines.add(
                        "address = \""
                                + LoopbackAddresses.hostPort(addresses.peerSeenBy(manager, peer))
                                + "\"");
            }
        }
        Files.write(file, lines);
    }

    /**
     * Returns the gossip addresses at which a manager reaches the managers of a cell, quoted and
     * separated by commas.
     */
    private static String hostList(
            FleetPlan plan, LoopbackAddresses addresses, int manager, int cell) {
        return IntStream.range(0, plan.managers().count())
                .filter(peer -> plan.cellOf(peer) == cell)
                .mapToObj(
                        peer ->
                                peer == manager
                                        ? addresses.gossip(manager)
                                        : addresses.peerSeenBy(manager, peer))
                .map(address -> "\"" + LoopbackAddresses.hostPort(address) + "\"")
                .collect(Collectors.joining(", "));
    }
}
