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

/**
 * Writes what each manager is told at its start: its configuration by the platform's page, and its
 * peers.
 */
public final class ManagerConfigWriter {
    private static final double SECOND = 10_000;

    private ManagerConfigWriter() {}

    static String engineId(int e) {
        return String.format(Locale.ROOT, "s-%08x", e + 1);
    }

    /** Its configuration; the seed differs by manager and run. */
    static void config(Path file, FleetPlan plan, LoopbackAddresses at, int m, long seed)
            throws IOException {
        config(
                file,
                plan,
                new Place(
                        "m" + m,
                        at.manager(m),
                        at.coordinator(m),
                        m,
                        plan.zoneOf(m),
                        e -> at.engineFrom(m, e)),
                seed);
    }

    /**
     * A manager's: its name, where it listens, whom it asks for the list (nobody where null), its
     * number, its zone, and where it reaches each engine.
     */
    public record Place(
            String name,
            InetSocketAddress listen,
            InetSocketAddress coordinator,
            int rank,
            int zone,
            IntFunction<InetSocketAddress> engine) {}

    /** The configuration of a manager at this place. */
    public static void config(Path file, FleetPlan plan, Place of, long seed) throws IOException {
        config(file, plan, of, seed, 1_024);
    }

    /** The same; {@code sockets}: the limit that it is told. */
    public static void config(Path file, FleetPlan plan, Place of, long seed, int sockets)
            throws IOException {
        try (JsonGenerator out = new JsonFactory().createGenerator(Files.newBufferedWriter(file))) {
            out.writeStartObject();
            out.writeStringField("name", of.name);
            out.writeStringField("listen", LoopbackAddresses.text(of.listen));
            out.writeStringField("seed", Long.toHexString(seed));
            out.writeObjectFieldStart("limits");
            out.writeNumberField("memory_mb", 192);
            out.writeNumberField("sockets", sockets);
            out.writeEndObject();
            if (of.coordinator != null) {
                out.writeStringField("coordinator", LoopbackAddresses.text(of.coordinator));
            }
            known(out, plan, of.engine);
            settings(out, plan, of.rank, of.zone);
            out.writeEndObject();
        }
    }

    private static void known(
            JsonGenerator out, FleetPlan plan, IntFunction<InetSocketAddress> engine)
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
            out.writeStringField("hostPort", LoopbackAddresses.text(engine.apply(e)));
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

    private static void array(JsonGenerator out, String name, List<?> values) throws IOException {
        out.writeArrayFieldStart(name);
        for (Object v : values) {
            out.writeRawValue(v instanceof String s ? "\"" + s + "\"" : v.toString());
        }
        out.writeEndArray();
    }

    private static void settings(JsonGenerator out, FleetPlan plan, int m, int zone)
            throws IOException {
        out.writeObjectFieldStart("settings");
        array(out, "areas", plan.zones());
        array(out, "kinds", List.of("std"));
        out.writeNumberField("group_size", plan.managers().fleetSize());
        out.writeNumberField("rank", m);
        out.writeNumberField("zone", zone);
        out.writeArrayFieldStart("classes");
        for (FleetPlan.TrafficClassPlan g : plan.trafficClasses()) {
            out.writeStartObject();
            out.writeStringField("name", g.name());
            out.writeStringField(
                    "effect",
                    switch (g.effect()) {
                        case IDEMPOTENT -> "retryable";
                        case IDEMPOTENT_WITH_KEY -> "dedup";
                        case NON_IDEMPOTENT -> "fragile";
                    });
            out.writeStringField("group", g.idempotencyScope().name().toLowerCase(Locale.ROOT));
            out.writeNumberField("target", g.latencyObjective() / SECOND);
            out.writeNumberField("aim_stretch", g.latencyObjectivePerWork());
            out.writeNumberField("deadline", g.timeout() / SECOND);
            out.writeNumberField("worth", g.priorityWeight());
            out.writeNumberField("late_value", g.lateValueShare());
            out.writeNumberField("window", g.idempotencyWindow() / SECOND);
            out.writeBooleanField("by_arrival", g.ordered());
            out.writeEndObject();
        }
        out.writeEndArray();
        out.writeArrayFieldStart("tenants");
        double shares = plan.tenants().stream().mapToDouble(FleetPlan.TenantPlan::share).sum();
        for (FleetPlan.TenantPlan c : plan.tenants()) {
            out.writeStartObject();
            out.writeStringField("name", c.name());
            out.writeNumberField(
                    "quota_per_s",
                    plan.tenants().size() < 2
                            ? 1e9
                            : plan.traffic().rate()
                                    * plan.managers().fleetSize()
                                    / plan.managers().count()
                                    * c.share()
                                    / shares);
            out.writeEndObject();
        }
        out.writeEndArray();
        FleetPlan.Engines e = plan.engines();
        out.writeObjectFieldStart("family_info");
        array(
                out,
                "dop",
                plan.trafficClasses().stream().map(FleetPlan.TrafficClassPlan::threads).toList());
        array(
                out,
                "class_load",
                plan.trafficClasses().stream().map(FleetPlan.TrafficClassPlan::tableLoad).toList());
        array(
                out,
                "yields_to_loads",
                plan.trafficClasses().stream()
                        .map(FleetPlan.TrafficClassPlan::blockedByTableLoads)
                        .toList());
        array(out, "kind_cores", List.of(e.cores()));
        array(out, "size_mb", List.of(e.memoryMb()));
        out.writeBooleanField("takes_grants", e.grants());
        out.writeBooleanField("lanes_count", e.priorities());
        out.writeNumberField("progress_pace", e.progressInterval() / SECOND);
        out.writeNumberField("largest_share", 0.4);
        out.writeEndObject();
        FleetPlan.Managers managers = plan.managers();
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
        out.writeObjectFieldStart("deductions");
        out.writeNumberField("probe", 0.013);
        out.writeNumberField("cross_zone", plan.zones().size() > 1 ? 0.045 : 0);
        out.writeEndObject();
        out.writeObjectFieldStart("rules");
        out.writeNumberField("drain_grace", plan.rules().drainGrace() / SECOND);
        out.writeNumberField("cold_from", e.initialCapacityShare());
        out.writeNumberField("ramp_time", e.warmUpDuration().high() / SECOND);
        out.writeNumberField("tip_multiple", plan.rules().overloadMultiple());
        out.writeNumberField("fall", plan.rules().overloadWindow() / SECOND);
        out.writeNumberField("key_quiet", plan.rules().keyQuietPeriod() / SECOND);
        out.writeEndObject();
        out.writeEndObject();
    }

    /** Its peers, each at the address at which this one reaches it. */
    static void peers(Path file, FleetPlan plan, LoopbackAddresses at, int m) throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add("fleet = \"" + plan.name() + "\"");
        lines.add("name = \"m" + m + "\"");
        lines.add("listen = \"" + LoopbackAddresses.text(at.mail(m)) + "\"");
        lines.add("probe = \"200 ms\"");
        CellPlan cells = plan.cells();
        if (cells != null) {
            lines.addAll(List.of("plan = " + cells.number(), "spread = " + cells.spread()));
            for (CellPlan.Cell c : cells.cells()) {
                lines.addAll(
                        List.of(
                                "",
                                "[[cell]]",
                                "name = \"" + c.name() + "\"",
                                "zone = \"" + c.zone() + "\"",
                                "hosts = [" + hosts(plan, at, m, cells.indexOf(c.name())) + "]"));
            }
            Files.write(file, lines);
            return;
        }
        lines.add("zone = \"" + plan.zones().get(plan.zoneOf(m)) + "\"");
        for (int p = 0; p < plan.managers().count(); p++) {
            if (p != m) {
                lines.add("");
                lines.add("[[peer]]");
                lines.add("name = \"m" + p + "\"");
                lines.add("address = \"" + LoopbackAddresses.text(at.peerFrom(m, p)) + "\"");
            }
        }
        Files.write(file, lines);
    }

    /** The managers of a cell, each at the address at which this one reaches it. */
    private static String hosts(FleetPlan plan, LoopbackAddresses at, int m, int cell) {
        return IntStream.range(0, plan.managers().count())
                .filter(p -> plan.cellOf(p) == cell)
                .mapToObj(p -> p == m ? at.mail(m) : at.peerFrom(m, p))
                .map(address -> "\"" + LoopbackAddresses.text(address) + "\"")
                .collect(Collectors.joining(", "));
    }
}
