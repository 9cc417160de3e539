package firstage.simulation;

import firstage.policy.api.EndpointUpdate.Lifecycle;
import firstage.policy.api.TrafficClass.Effect;
import firstage.simulation.FleetPlan.Trouble;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * One run of a fleet: the same plan, choice and seed give the same result, and two choices of one
 * seed meet the same traffic, engines and troubles.
 */
public final class FleetSimulation implements ManagerModel.Answers {
    private static final long START = 1_000_000;

    /** After the last arrival a run goes on until all is answered. */
    private static final long DRAIN = 10_000;

    private static final long DRAINS_FOR = 30_000;
    private static final long DOWN_FOR = 20_000;

    /** Silence is noticed so many times later than a death. */
    private static final int SILENCE_LATER = 3;

    private final FleetPlan plan;
    private final EventQueue calendar = new EventQueue(START);
    private final RandomStreams streams;
    private final RuleChecker rules;
    private final Scoreboard score;
    private final TrafficSource traffic;
    private final ClientBehavior clients;
    private final List<EngineModel> engines = new ArrayList<>();
    private final List<ManagerModel> managers = new ArrayList<>();

    /** The managers cell by cell; all of them, where there are no cells. */
    private final List<List<ManagerModel>> together;

    /** By engine, how often the list changed its word on it. */
    private final int[] versions;

    private final List<Trouble> dear = new ArrayList<>();
    private double boost = 1;
    private long toSick;
    private double sickSeconds;

    private FleetSimulation(FleetPlan plan, PolicyUnderTest choice, long seed) {
        this.plan = plan;
        streams = new RandomStreams(seed);
        rules = new RuleChecker(plan);
        score = new Scoreboard(plan, START);
        traffic = new TrafficSource(plan, streams);
        clients = new ClientBehavior(plan, streams.of("clients", 0));
        for (int e = 0; e < plan.engines().count(); e++) {
            engines.add(new EngineModel(e, plan, calendar, streams, rules));
        }
        versions = new int[engines.size()];
        int count = plan.managers().count();
        for (int m = 0; m < count; m++) {
            managers.add(
                    new ManagerModel(m, plan, choice, calendar, streams, rules, engines, this));
        }
        together =
                List.copyOf(
                        IntStream.range(0, count)
                                .boxed()
                                .collect(
                                        Collectors.groupingBy(
                                                m ->
                                                        plan.managers().cell() == 0
                                                                ? 0
                                                                : plan.cellOf(m),
                                                TreeMap::new,
                                                Collectors.mapping(
                                                        managers::get, Collectors.toList())))
                                .values());
    }

    /** Plays it; the progress of a long run is nobody's matter here. */
    public static SimulationResult play(FleetPlan plan, PolicyUnderTest choice, long seed) {
        return new FleetSimulation(plan, choice, seed).play(choice, seed);
    }

    private SimulationResult play(PolicyUnderTest choice, long seed) {
        managers.forEach(ManagerModel::start);
        if (choice.peers() != null) {
            gossip(streams.of("gossip", 0));
        }
        int number = 0;
        for (Trouble t : plan.troubles()) {
            RandomGenerator chance = streams.of("trouble", number++);
            calendar.in(t.at(), () -> strike(t, chance));
        }
        for (FleetPlan.Fault f : plan.faults()) {
            if (!f.modelled()) {
                throw new InvalidPlanException(
                        f.line(),
                        "fault: the fleet model has no "
                                + f.kind().name().toLowerCase(Locale.ROOT)
                                + "; play this plan on processes (yard run)");
            }
            RandomGenerator chance = streams.of("fault", number++);
            calendar.in(f.at(), () -> strike(f, chance));
        }
        calendar.in(traffic.next(START, START, 1) - START, this::arrival);
        long longest = plan.groups().stream().mapToLong(FleetPlan.Group::limit).max().orElse(0);
        long happened = calendar.play(START + plan.length() + longest + DRAIN);
        Map<String, Double> figures = score.figures();
        figures.put("to a sick engine a s", sickSeconds > 0 ? toSick / sickSeconds : 0);
        return new SimulationResult(
                choice.name(), seed, figures, rules.broken(), score.batches(), happened);
    }

    /**
     * Each tells one other of its cell by chance and hears it, as the membership's probes and their
     * answers do.
     */
    private void gossip(RandomGenerator chance) {
        for (List<ManagerModel> cell : together) {
            List<String> up =
                    cell.stream().filter(ManagerModel::up).map(ManagerModel::name).toList();
            for (int m = 0; m < cell.size() && cell.size() > 1; m++) {
                ManagerModel other =
                        cell.get((m + 1 + chance.nextInt(cell.size() - 1)) % cell.size());
                cell.get(m).viewed(up);
                cell.get(m).tells(other);
                other.tells(cell.get(m));
            }
        }
        if (calendar.now() < START + plan.length()) {
            calendar.in(ManagerModel.PERIOD, () -> gossip(chance));
        }
    }

    @Override
    public void toSick() {
        toSick++;
    }

    // ---- Clients.
    private void arrival() {
        long now = calendar.now();
        if (now >= START + plan.length()) {
            return;
        }
        TrueRequest is = traffic.draw(now, dear);
        score.asked(is);
        goes(is);
        calendar.in(traffic.next(now, START, boost) - now, this::arrival);
    }

    private void goes(TrueRequest is) {
        long now = calendar.now();
        is.tries++;
        ManagerModel to = managers.get(clients.manager(is));
        long patience = Math.round((is.limit - is.asked) * plan.clients().tryShare());
        if (!to.up()) {
            again(is, 0, true);
        } else {
            to.take(is, Math.min(is.limit, now + Math.max(1, patience)));
        }
    }

    private void again(TrueRequest is, long comeBack, boolean harmless) {
        boolean may = harmless || plan.groups().get(is.group).effect() != Effect.NON_IDEMPOTENT;
        long wait = clients.again(is, calendar.now(), comeBack, may);
        if (wait >= 0) {
            calendar.in(wait, () -> goes(is));
        }
    }

    @Override
    public void returned(TrueRequest is) {
        if (!is.done) {
            is.done = true;
            score.returned(calendar.now(), is);
        }
    }

    @Override
    public void pushedBack(TrueRequest is, long comeBack) {
        score.pushedBack();
        again(is, comeBack, true);
    }

    @Override
    public void errored(TrueRequest is) {
        score.errored();
        again(is, 0, false);
    }

    // ---- Troubles.
    private List<Integer> struck(int of, double part, RandomGenerator chance) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < of; i++) {
            all.add(i);
        }
        Collections.shuffle(all, new Random(chance.nextLong()));
        return all.subList(0, (int) Math.min(of, Math.max(1, Math.round(of * part))));
    }

    private void strike(Trouble t, RandomGenerator chance) {
        switch (t.kind()) {
            case CRASH ->
                    struck(engines.size(), t.part(), chance)
                            .forEach(
                                    e ->
                                            down(
                                                    e,
                                                    EngineModel.Standing.DOWN,
                                                    t.length() / 2
                                                            + chance.nextLong(t.length() / 2 + 1),
                                                    1,
                                                    chance));
            case SILENCE ->
                    struck(engines.size(), t.part(), chance)
                            .forEach(
                                    e ->
                                            down(
                                                    e,
                                                    EngineModel.Standing.SILENT,
                                                    t.length() / 2
                                                            + chance.nextLong(t.length() / 2 + 1),
                                                    SILENCE_LATER,
                                                    chance));
            case HANG ->
                    struck(engines.size(), t.part(), chance)
                            .forEach(
                                    e -> {
                                        engines.get(e).becomes(EngineModel.Standing.HANGING);
                                        calendar.in(
                                                t.length(),
                                                () ->
                                                        engines.get(e)
                                                                .becomes(EngineModel.Standing.UP));
                                    });
            case RELEASE -> release(t, chance);
            case RESTART ->
                    struck(managers.size(), t.part(), chance)
                            .forEach(
                                    m ->
                                            calendar.in(
                                                    t.length() > 0
                                                            ? chance.nextLong(t.length())
                                                            : 0,
                                                    () -> {
                                                        managers.get(m).kill();
                                                        calendar.in(
                                                                plan.managers()
                                                                        .restart()
                                                                        .drawTime(chance),
                                                                () -> managers.get(m).start());
                                                    }));
            case BURST -> {
                boost = t.size();
                calendar.in(t.length(), () -> boost = 1);
            }
            case EXPENSIVE, EXPENSIVE_UNSEEN -> {
                dear.add(t);
                calendar.in(t.length(), () -> dear.remove(t));
            }
            case SLOW -> {
                engines.forEach(e -> e.slower(t.size()));
                calendar.in(t.length(), () -> engines.forEach(e -> e.slower(1)));
            }
            case LATE_REPORTS -> {
                managers.forEach(m -> m.reportsLater(Math.round(t.size() * 10_000)));
                calendar.in(t.length(), () -> managers.forEach(m -> m.reportsLater(0)));
            }
            case COLD ->
                    struck(engines.size(), t.part(), chance)
                            .forEach(
                                    e -> {
                                        engines.get(e).cools();
                                        tell(e, Lifecycle.ACTIVE, calendar.now(), 1, chance);
                                    });
        }
    }

    private void strike(FleetPlan.Fault f, RandomGenerator chance) {
        List<Integer> struck = f.who() == null ? List.of() : f.who().among(plan, chance);
        switch (f.kind()) {
            case DIE ->
                    struck.forEach(e -> down(e, EngineModel.Standing.DOWN, f.length(), 1, chance));
            case SILENCE ->
                    struck.forEach(
                            e ->
                                    down(
                                            e,
                                            EngineModel.Standing.SILENT,
                                            f.length(),
                                            SILENCE_LATER,
                                            chance));
            case HANG ->
                    struck.forEach(
                            e -> {
                                sickSeconds += f.length() / 1e4;
                                engines.get(e).becomes(EngineModel.Standing.HANGING);
                                calendar.in(
                                        f.length(),
                                        () -> engines.get(e).becomes(EngineModel.Standing.UP));
                            });
            case KILL ->
                    struck.forEach(
                            m -> {
                                managers.get(m).kill();
                                calendar.in(
                                        plan.managers().restart().drawTime(chance),
                                        () -> managers.get(m).start());
                            });
            default -> {
                boost = f.size();
                calendar.in(f.length(), () -> boost = 1);
            }
        }
    }

    private void down(
            int e, EngineModel.Standing how, long length, int later, RandomGenerator chance) {
        sickSeconds += length / 1e4;
        engines.get(e).becomes(how);
        tell(e, Lifecycle.GONE, 0, later, chance);
        calendar.in(
                length,
                () -> {
                    engines.get(e).becomes(EngineModel.Standing.UP);
                    tell(e, Lifecycle.ACTIVE, calendar.now(), 1, chance);
                });
    }

    /** Each manager hears it when its own list comes round. */
    private void tell(int e, Lifecycle standing, long since, int later, RandomGenerator chance) {
        int said = ++versions[e];
        for (ManagerModel m : managers) {
            calendar.in(
                    later * plan.managers().listDelay().drawTime(chance),
                    () -> {
                        if (versions[e] == said || later == 1) {
                            m.listed(e, standing, since);
                        }
                    });
        }
    }

    private void release(Trouble t, RandomGenerator chance) {
        List<Integer> all = struck(engines.size(), t.part(), chance);
        int each = (int) Math.max(1, Math.round(engines.size() * t.extra()));
        int steps = (all.size() + each - 1) / each;
        for (int i = 0; i < all.size(); i++) {
            int e = all.get(i);
            calendar.in(
                    i / each * (t.length() / Math.max(1, steps)),
                    () -> {
                        engines.get(e).becomes(EngineModel.Standing.DRAINING);
                        tell(e, Lifecycle.DRAINING, 0, 1, chance);
                        calendar.in(
                                DRAINS_FOR,
                                () -> down(e, EngineModel.Standing.DOWN, DOWN_FOR, 1, chance));
                    });
        }
    }
}
