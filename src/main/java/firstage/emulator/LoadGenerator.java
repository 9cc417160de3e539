package firstage.emulator;

import firstage.policy.api.TrafficClass.Effect;
import firstage.simulation.ClientBehavior;
import firstage.simulation.FleetPlan;
import firstage.simulation.RandomStreams;
import firstage.simulation.RuleChecker;
import firstage.simulation.RuleChecker.ClientTry;
import firstage.simulation.Scoreboard;
import firstage.simulation.TrafficSource;
import firstage.simulation.TrueRequest;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.random.RandomGenerator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Clients that keep to their schedule, whatever is answered, and a front that spreads them over the
 * managers and goes on sending to a dead one until it notices. They retry as the plan says; batches
 * of one key are written well apart.
 */
public final class LoadGenerator implements AutoCloseable {
    private static final Pattern POLL = Pattern.compile("\"poll\":\"([^\"]+)\"");

    /**
     * Between batches of one key at one manager: it may be a new connection each time, which the
     * protocol wants apart.
     */
    private static final long KEY_GAP = 3_000;

    /**
     * After its time is up a client waits so much longer: an answer in it is late, none is lost.
     */
    private static final long LAST_WAIT = 5_000;

    /** The front hears of a death, or of a new life, after about this. */
    private static final long NOTICE = 15_000;

    private static final int POLL_TRIES = 3;
    private static final int CONNECT_MS = 1_000;

    /** Told of what happens to batches. */
    public interface Witness {
        void asked(TrueRequest is, int manager);

        void tried(ClientTry t);

        /** {@code how}: returned, pushed-back, errored, late, refused, lost. */
        void ended(ClientTry t, String how);
    }

    private final RealTimeLoop stage;
    private final FleetPlan plan;
    private final RuleChecker rules;
    private final Scoreboard score;
    private final Witness witness;
    private final TrafficSource traffic;
    private final RandomGenerator chance;
    private final List<InetSocketAddress> managers;
    private final ClientBehavior clients;
    private final Map<String, ClientTry> tickets = new HashMap<>();
    private final Map<Integer, Long> keyFree = new HashMap<>();
    private final List<Set<ClientTry>> open = new ArrayList<>();
    private final Set<Integer> known = new HashSet<>();
    private final long[] lifeChanged;
    private final boolean[] down;

    /**
     * Until when each stands still; a process that is stopped runs no batch's time down by its own
     * fault.
     */
    private final long[] stoppedUntil;

    private final ExecutorService threads =
            Executors.newFixedThreadPool(
                    3,
                    r -> {
                        Thread thread = new Thread(r, "clients");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final HttpClient http;
    private double boost = 1;
    private long begin;
    private long until;
    private long ids;
    private final long origin;

    public LoadGenerator(
            RealTimeLoop stage,
            FleetPlan plan,
            RandomStreams streams,
            RuleChecker rules,
            Scoreboard score,
            List<InetSocketAddress> managers,
            Witness witness) {
        System.setProperty("jdk.httpclient.keepalive.timeout", "3");
        this.stage = stage;
        this.plan = plan;
        this.rules = rules;
        this.score = score;
        this.managers = managers;
        this.witness = witness;
        traffic = new TrafficSource(plan, streams);
        chance = streams.of("clients", 0);
        origin = streams.seed("tickets", 0) & 0xFFFFFFFFL;
        http =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .executor(threads)
                        .connectTimeout(Duration.ofMillis(CONNECT_MS))
                        .build();
        clients = new ClientBehavior(plan, chance);
        lifeChanged = new long[managers.size()];
        down = new boolean[managers.size()];
        stoppedUntil = new long[managers.size()];
        for (int m = 0; m < managers.size(); m++) {
            open.add(new LinkedHashSet<>());
            known.add(m);
        }
    }

    /** The try that an id belongs to, or null; on the stage's thread. */
    public ClientTry ticket(String id) {
        return tickets.get(id);
    }

    /** Batches come from now on for the plan's length; on the stage's thread. */
    public void start() {
        until = stage.now() + plan.length();
        begin = stage.now();
        next();
    }

    public void boost(double times) {
        boost = times;
    }

    private void next() {
        long now = stage.calendar().now();
        stage.calendar()
                .in(
                        traffic.next(now, begin, boost) - now,
                        () -> {
                            if (stage.calendar().now() < until) {
                                TrueRequest is = traffic.draw(stage.calendar().now(), List.of());
                                score.asked(is);
                                int m = manager(is);
                                witness.asked(is, m);
                                goes(is, m);
                                next();
                            }
                        });
    }

    /** Whether nothing is asked for any more. */
    public boolean idle() {
        return stage.now() > until
                && open.stream()
                        .flatMap(Set::stream)
                        .allMatch(t -> t.answers() > 0 || t.abandoned());
    }

    /** A manager's process is ended: what it holds is nobody's. */
    public void died(int manager) {
        List<ClientTry> held = new ArrayList<>();
        open.get(manager).stream().filter(t -> t.answers() == 0).forEach(held::add);
        rules.onManagerKilled(manager, held);
        down[manager] = true;
        changed(manager, false);
    }

    /** A manager's process serves again, or is about to end by itself. */
    public void changed(int manager, boolean up) {
        down[manager] &= !up;
        long mine = ++lifeChanged[manager];
        stage.calendar()
                .in(
                        up ? 0 : NOTICE / 2 + chance.nextLong(NOTICE),
                        () -> {
                            if (lifeChanged[manager] == mine && up) {
                                known.add(manager);
                            } else if (lifeChanged[manager] == mine) {
                                known.remove(manager);
                            }
                        });
    }

    /** A manager's process stands still until then. */
    public void stopped(int manager, long until) {
        stoppedUntil[manager] = until;
        open.get(manager).forEach(t -> excuse(t, until));
    }

    private static void excuse(ClientTry t, long until) {
        t.allowPause(Math.max(0, until + LAST_WAIT - t.deadline));
    }

    private void judge(ClientTry t) {
        if (t.pauseAllowance() && t.answers() == 0) {
            // Its time ran out while its manager stood still, and its client left.
            rules.onNeverAccepted(t);
        } else {
            rules.onDeadlinePassed(stage.now(), t);
        }
    }

    private int manager(TrueRequest is) {
        int m = clients.manager(is);
        // The next one that the front holds for alive; those of one key go on together.
        for (int i = 0; i < managers.size() && !known.contains(m); i++) {
            m = (m + 1) % managers.size();
        }
        return m;
    }

    private void goes(TrueRequest is, int m) {
        long now = stage.calendar().now();
        if (is.orderingKey >= 0) {
            long free = Math.max(now, keyFree.getOrDefault(is.orderingKey, 0L));
            keyFree.put(is.orderingKey, free + KEY_GAP);
            if (free > now) {
                stage.calendar().in(free - now, () -> send(is, m));
                return;
            }
        }
        send(is, m);
    }

    private void send(TrueRequest is, int m) {
        long now = stage.calendar().now();
        long left = is.deadline - now;
        if (left <= 0) {
            return;
        }
        is.tries++;
        long patience =
                Math.min(
                        left,
                        Math.max(
                                1,
                                Math.round(
                                        (is.deadline - is.firstRequestedAt)
                                                * plan.clients().deadlineShareOfTry())));
        ClientTry t = new ClientTry(is, m, now + patience);
        String id = String.format(Locale.ROOT, "%08x%08x", origin, ++ids);
        tickets.put(id, t);
        open.get(m).add(t);
        rules.onAccepted(t);
        witness.tried(t);
        FleetPlan.TrafficClassPlan group = plan.trafficClasses().get(is.trafficClass);
        HttpRequest.Builder call =
                HttpRequest.newBuilder(uri(m, "/ops/" + group.name()))
                        .timeout(Duration.ofMillis((patience + LAST_WAIT) / 10))
                        .header("X-Job-Id", id)
                        .header("X-Allow-Ms", String.valueOf(Math.max(1, patience / 10)))
                        .header("X-Team", plan.tenants().get(is.tenant).name())
                        .header(
                                "X-Size-Ms",
                                String.format(Locale.ROOT, "%.1f", is.estimatedWork / 10.0))
                        .header("X-Memory", String.valueOf(is.estimatedMemoryMb));
        if (is.orderingKey >= 0) {
            call.header("X-Item", String.format(Locale.ROOT, "%016x", is.orderingKey + 1));
        }
        call.POST(
                HttpRequest.BodyPublishers.ofString(
                        (group.tableLoad() ? "INSERT INTO sales_" : "SELECT a FROM sales_")
                                + is.tableGroup
                                + ".orders"));
        ask(t, id, call.build(), POLL_TRIES, true);
        // One that stands still can't know how long the batch lay there: it counts its time from
        // when it reads it.
        t.allowPause(Math.max(0, stoppedUntil[m] - now));
        stage.calendar().in(patience + LAST_WAIT / 2, () -> judge(t));
        stage.calendar()
                .in(
                        patience + 2 * LAST_WAIT,
                        () -> {
                            open.get(m).remove(t);
                            tickets.remove(id);
                        });
    }

    private URI uri(int m, String path) {
        InetSocketAddress at = managers.get(m);
        return URI.create("http://" + at.getAddress().getHostAddress() + ":" + at.getPort() + path);
    }

    private void ask(ClientTry t, String id, HttpRequest call, int tries, boolean first) {
        http.sendAsync(call, HttpResponse.BodyHandlers.ofString())
                .whenComplete(
                        (answer, fault) ->
                                stage.news(
                                        () -> {
                                            if (fault != null) {
                                                failed(
                                                        t,
                                                        id,
                                                        call,
                                                        tries,
                                                        first,
                                                        fault instanceof CompletionException
                                                                ? fault.getCause()
                                                                : fault);
                                                return;
                                            }
                                            Matcher poll = POLL.matcher(answer.body());
                                            if (answer.statusCode() == 200 && poll.find()) {
                                                long left =
                                                        Math.max(
                                                                        10,
                                                                        t.deadline
                                                                                + LAST_WAIT
                                                                                - stage.now())
                                                                / 10;
                                                ask(
                                                        t,
                                                        id,
                                                        HttpRequest.newBuilder(
                                                                        uri(
                                                                                t.manager,
                                                                                poll.group(1)))
                                                                .timeout(Duration.ofMillis(left))
                                                                .build(),
                                                        POLL_TRIES,
                                                        false);
                                            } else {
                                                answered(t, answer);
                                            }
                                        }));
    }

    private void failed(
            ClientTry t, String id, HttpRequest call, int tries, boolean first, Throwable fault) {
        boolean unreached =
                fault instanceof ConnectException || fault instanceof HttpConnectTimeoutException;
        // What was written to a process that is on its way out was taken by nobody.
        if (first && (unreached || down[t.manager])) {
            rules.onNeverAccepted(t);
            witness.ended(t, "refused");
            score.errored();
            // By the protocol page others than repeatable ones come again only after a pushback, or
            // where their manager
            // could not be reached. Under a connection that broke it may have run: asked again, it
            // would run twice.
            again(
                    t.request,
                    0,
                    unreached
                            || plan.trafficClasses().get(t.request.trafficClass).effect()
                                    == Effect.IDEMPOTENT);
        } else if (!first
                && tries > 1
                && stage.now() < t.deadline
                && fault instanceof IOException) {
            ask(t, id, call, tries - 1, false);
        } else {
            // Rule 1 is judged when its time is up; what a manager that died held is nobody's.
            witness.ended(t, "lost");
            score.errored();
            if (!t.abandoned() && !t.pauseAllowance() && !(fault instanceof HttpTimeoutException)) {
                stage.calendar()
                        .in(
                                2_000,
                                () -> {
                                    if (!t.abandoned()) {
                                        rules.violations(
                                                "rule 1: batch "
                                                        + t.request.id
                                                        + " at manager "
                                                        + t.manager
                                                        + " got no answer that can be read: "
                                                        + fault);
                                    }
                                });
            }
            again(
                    t.request,
                    0,
                    plan.trafficClasses().get(t.request.trafficClass).effect()
                            == Effect.IDEMPOTENT);
        }
    }

    private void answered(ClientTry t, HttpResponse<String> answer) {
        long now = stage.now();
        boolean busy =
                answer.statusCode() == 429
                        || answer.statusCode() == 503
                        || answer.body().contains("\"err\":\"Busy\"");
        boolean good = answer.statusCode() == 200 && !answer.body().contains("\"err\"");
        rules.onAnswered(now, t, busy);
        if (good) {
            witness.ended(t, now <= t.request.deadline ? "returned" : "late");
            if (!t.request.succeeded) {
                t.request.succeeded = true;
                score.returned(now, t.request);
            }
        } else if (busy) {
            witness.ended(t, "pushed-back");
            score.pushedBack();
            long wait = answer.headers().firstValueAsLong("X-Wait-Ms").orElse(0) * 10;
            again(t.request, wait, true);
        } else {
            witness.ended(t, "errored");
            score.errored();
            again(
                    t.request,
                    0,
                    plan.trafficClasses().get(t.request.trafficClass).effect()
                            == Effect.IDEMPOTENT);
        }
    }

    private void again(TrueRequest is, long comeBack, boolean may) {
        long wait = clients.again(is, stage.now(), comeBack, may);
        if (wait >= 0) {
            stage.calendar().in(wait, () -> goes(is, manager(is)));
        }
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
