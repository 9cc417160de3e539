package firstage.emulator;

import firstage.policy.api.TrafficClass.Effect;
import firstage.simulation.ClientBehavior;
import firstage.simulation.FleetPlan;
import firstage.simulation.GeneratedRequest;
import firstage.simulation.RandomStreams;
import firstage.simulation.RuleChecker;
import firstage.simulation.RuleChecker.ClientTry;
import firstage.simulation.Scoreboard;
import firstage.simulation.TrafficSource;
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
 * An open-loop load generator: clients that send on schedule, whatever the responses, through a
 * load balancer that keeps sending to a dead manager until it detects the failure. Clients retry as
 * the plan configures; requests of one ordering key are sent at a minimum distance. Runs on the
 * loop's thread; times are ticks.
 */
public final class LoadGenerator implements AutoCloseable {
    private static final Pattern POLL_PATH = Pattern.compile("\"poll\":\"([^\"]+)\"");

    /**
     * Minimum time between requests of one ordering key: 300 ms. Each request may open a new
     * connection, after which the protocol requires a longer distance than on an open one.
     */
    private static final long KEY_GAP = 3_000;

    /**
     * Time for which a client waits beyond the deadline: 0.5 s. A response within this time is
     * late; a try without any response is lost.
     */
    private static final long RESPONSE_GRACE = 5_000;

    /**
     * Mean time after which the load balancer detects a failed manager: 1.5 s. The actual time is
     * 0.5 to 1.5 times this value.
     */
    private static final long DETECTION_DELAY = 15_000;

    private static final int MAX_POLL_ATTEMPTS = 3;
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    /** Outcome of one try of a client. */
    public enum TryOutcome {
        SUCCEEDED("returned"),
        SUCCEEDED_LATE("late"),
        REJECTED("pushed-back"),
        FAILED("errored"),
        NEVER_ACCEPTED("refused"),
        LOST("lost");

        private final String recordedName;

        TryOutcome(String recordedName) {
            this.recordedName = recordedName;
        }

        /** Returns the name in recorded files and in the figures of plans. */
        public String recordedName() {
            return recordedName;
        }
    }

    /** Receives the events of requests; called on the loop's thread. */
    public interface Observer {
        void onRequest(GeneratedRequest request, int manager);

        void onTry(ClientTry clientTry);

        void onTryEnded(ClientTry clientTry, TryOutcome outcome);
    }

    private final RealTimeLoop loop;
    private final FleetPlan plan;
    private final RuleChecker rules;
    private final Scoreboard scoreboard;
    private final Observer observer;
    private final TrafficSource trafficSource;
    private final RandomGenerator random;
    private final List<InetSocketAddress> managers;
    private final ClientBehavior clientBehavior;
    private final Map<String, ClientTry> triesById = new HashMap<>();
    private final Map<Integer, Long> nextSendAtByKey = new HashMap<>();
    private final List<Set<ClientTry>> openTries = new ArrayList<>();
    private final Set<Integer> aliveManagers = new HashSet<>();
    private final long[] stateChangeCounts;
    private final boolean[] killed;

    /**
     * Time until which each manager is paused; tries that time out during a pause do not count as
     * violations by the manager.
     */
    private final long[] pausedUntil;

    private final ExecutorService executor =
            Executors.newFixedThreadPool(
                    3,
                    task -> {
                        Thread thread = new Thread(task, "clients");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final HttpClient http;
    private double trafficFactor = 1;
    private long startedAt;
    private long endsAt;
    private long lastId;
    private final long idPrefix;

    public LoadGenerator(
            RealTimeLoop loop,
            FleetPlan plan,
            RandomStreams streams,
            RuleChecker rules,
            Scoreboard scoreboard,
            List<InetSocketAddress> managers,
            Observer observer) {
        System.setProperty("jdk.httpclient.keepalive.timeout", "3");
        this.loop = loop;
        this.plan = plan;
        this.rules = rules;
        this.scoreboard = scoreboard;
        this.managers = managers;
        this.observer = observer;
        trafficSource = new TrafficSource(plan, streams);
        random = streams.stream("clients", 0);
        idPrefix = streams.seed("tickets", 0) & 0xFFFFFFFFL;
        http =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .executor(executor)
                        .connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MS))
                        .build();
        clientBehavior = new ClientBehavior(plan, random);
        stateChangeCounts = new long[managers.size()];
        killed = new boolean[managers.size()];
        pausedUntil = new long[managers.size()];
        for (int manager = 0; manager < managers.size(); manager++) {
            openTries.add(new LinkedHashSet<>());
            aliveManagers.add(manager);
        }
    }

    /** Returns the try with this id, or null; must be called on the loop's thread. */
    public ClientTry tryById(String id) {
        return triesById.get(id);
    }

    /**
     * Starts the traffic, which lasts for the length of the plan; must be called on the loop's
     * thread.
     */
    public void start() {
        endsAt = loop.now() + plan.length();
        startedAt = loop.now();
        scheduleNext();
    }

    /**
     * Sets the factor by which the request rate is multiplied, effective after the request that is
     * scheduled next; must be called on the loop's thread.
     */
    public void setTrafficFactor(double factor) {
        trafficFactor = factor;
    }

    private void scheduleNext() {
        long now = loop.events().now();
        loop.events()
                .schedule(
                        trafficSource.nextArrival(now, startedAt, trafficFactor) - now,
                        () -> {
                            if (loop.events().now() < endsAt) {
                                GeneratedRequest request =
                                        trafficSource.draw(loop.events().now(), List.of());
                                scoreboard.onRequested(request);
                                int manager = chooseManager(request);
                                observer.onRequest(request, manager);
                                sendInKeyOrder(request, manager);
                                scheduleNext();
                            }
                        });
    }

    /** Returns whether the traffic has ended and no try is open. */
    public boolean isIdle() {
        return loop.now() > endsAt
                && openTries.stream()
                        .flatMap(Set::stream)
                        .allMatch(
                                clientTry -> clientTry.answerCount() > 0 || clientTry.abandoned());
    }

    /** Records that a manager's process was killed, so that its open tries need no answer. */
    public void onManagerKilled(int manager) {
        List<ClientTry> unanswered = new ArrayList<>();
        openTries.get(manager).stream()
                .filter(clientTry -> clientTry.answerCount() == 0)
                .forEach(unanswered::add);
        rules.onManagerKilled(manager, unanswered);
        killed[manager] = true;
        onManagerStateChanged(manager, false);
    }

    /**
     * Records that a manager's process serves again, which the load balancer sees at once, or that
     * it is down or shutting down, which the load balancer detects later.
     */
    public void onManagerStateChanged(int manager, boolean up) {
        killed[manager] &= !up;
        long changeNumber = ++stateChangeCounts[manager];
        loop.events()
                .schedule(
                        up ? 0 : DETECTION_DELAY / 2 + random.nextLong(DETECTION_DELAY),
                        () -> {
                            if (stateChangeCounts[manager] == changeNumber && up) {
                                aliveManagers.add(manager);
                            } else if (stateChangeCounts[manager] == changeNumber) {
                                aliveManagers.remove(manager);
                            }
                        });
    }

    /** Records that a manager's process is paused until {@code until}. */
    public void onManagerPaused(int manager, long until) {
        pausedUntil[manager] = until;
        openTries.get(manager).forEach(clientTry -> allowPause(clientTry, until));
    }

    private static void allowPause(ClientTry clientTry, long until) {
        clientTry.allowPause(Math.max(0, until + RESPONSE_GRACE - clientTry.deadline));
    }

    private void checkDeadline(ClientTry clientTry) {
        if (clientTry.hasPauseAllowance() && clientTry.answerCount() == 0) {
            // The try timed out while its manager was paused, and its client left.
            rules.onNeverAccepted(clientTry);
        } else {
            rules.onDeadlinePassed(loop.now(), clientTry);
        }
    }

    private int chooseManager(GeneratedRequest request) {
        int manager = clientBehavior.managerFor(request);
        // Failing over to the next manager in order keeps the requests of one key together.
        for (int i = 0; i < managers.size() && !aliveManagers.contains(manager); i++) {
            manager = (manager + 1) % managers.size();
        }
        return manager;
    }

    private void sendInKeyOrder(GeneratedRequest request, int manager) {
        long now = loop.events().now();
        if (request.orderingKey >= 0) {
            long sendAt = Math.max(now, nextSendAtByKey.getOrDefault(request.orderingKey, 0L));
            nextSendAtByKey.put(request.orderingKey, sendAt + KEY_GAP);
            if (sendAt > now) {
                loop.events().schedule(sendAt - now, () -> send(request, manager));
                return;
            }
        }
        send(request, manager);
    }

    private void send(GeneratedRequest request, int manager) {
        long now = loop.events().now();
        long remaining = request.deadline - now;
        if (remaining <= 0) {
            return;
        }
        request.tries++;
        long tryTimeout =
                Math.min(
                        remaining,
                        Math.max(
                                1,
                                Math.round(
                                        (request.deadline - request.firstRequestedAt)
                                                * plan.clients().tryTimeoutShare())));
        ClientTry clientTry = new ClientTry(request, manager, now + tryTimeout);
        String id = String.format(Locale.ROOT, "%08x%08x", idPrefix, ++lastId);
        triesById.put(id, clientTry);
        openTries.get(manager).add(clientTry);
        rules.onAccepted(clientTry);
        observer.onTry(clientTry);
        FleetPlan.TrafficClassPlan trafficClass = plan.trafficClasses().get(request.trafficClass);
        HttpRequest.Builder httpRequest =
                HttpRequest.newBuilder(uri(manager, "/ops/" + trafficClass.name()))
                        .timeout(Duration.ofMillis((tryTimeout + RESPONSE_GRACE) / 10))
                        .header("X-Job-Id", id)
                        .header("X-Allow-Ms", String.valueOf(Math.max(1, tryTimeout / 10)))
                        .header("X-Team", plan.tenants().get(request.tenant).name())
                        .header(
                                "X-Size-Ms",
                                String.format(Locale.ROOT, "%.1f", request.estimatedWork / 10.0))
                        .header("X-Memory", String.valueOf(request.estimatedMemoryMb));
        if (request.orderingKey >= 0) {
            httpRequest.header(
                    "X-Item", String.format(Locale.ROOT, "%016x", request.orderingKey + 1));
        }
        httpRequest.POST(
                HttpRequest.BodyPublishers.ofString(
                        (trafficClass.tableLoad() ? "INSERT INTO sales_" : "SELECT a FROM sales_")
                                + request.tableGroup
                                + ".orders"));
        call(clientTry, id, httpRequest.build(), MAX_POLL_ATTEMPTS, true);
        // A paused manager can't know how long the request waited: it counts the deadline from when
        // it reads the request.
        clientTry.allowPause(Math.max(0, pausedUntil[manager] - now));
        loop.events().schedule(tryTimeout + RESPONSE_GRACE / 2, () -> checkDeadline(clientTry));
        loop.events()
                .schedule(
                        tryTimeout + 2 * RESPONSE_GRACE,
                        () -> {
                            openTries.get(manager).remove(clientTry);
                            triesById.remove(id);
                        });
    }

    private URI uri(int manager, String path) {
        InetSocketAddress address = managers.get(manager);
        return URI.create(
                "http://" + address.getAddress().getHostAddress() + ":" + address.getPort() + path);
    }

    private void call(
            ClientTry clientTry,
            String id,
            HttpRequest httpRequest,
            int attemptsLeft,
            boolean firstCall) {
        http.sendAsync(httpRequest, HttpResponse.BodyHandlers.ofString())
                .whenComplete(
                        (response, failure) ->
                                loop.execute(
                                        () -> {
                                            if (failure != null) {
                                                onFailure(
                                                        clientTry,
                                                        id,
                                                        httpRequest,
                                                        attemptsLeft,
                                                        firstCall,
                                                        failure instanceof CompletionException
                                                                ? failure.getCause()
                                                                : failure);
                                                return;
                                            }
                                            Matcher pollPath = POLL_PATH.matcher(response.body());
                                            if (response.statusCode() == 200 && pollPath.find()) {
                                                long remainingMs =
                                                        Math.max(
                                                                        10,
                                                                        clientTry.deadline
                                                                                + RESPONSE_GRACE
                                                                                - loop.now())
                                                                / 10;
                                                call(
                                                        clientTry,
                                                        id,
                                                        HttpRequest.newBuilder(
                                                                        uri(
                                                                                clientTry.manager,
                                                                                pollPath.group(1)))
                                                                .timeout(
                                                                        Duration.ofMillis(
                                                                                remainingMs))
                                                                .build(),
                                                        MAX_POLL_ATTEMPTS,
                                                        false);
                                            } else {
                                                onResponse(clientTry, response);
                                            }
                                        }));
    }

    private void onFailure(
            ClientTry clientTry,
            String id,
            HttpRequest httpRequest,
            int attemptsLeft,
            boolean firstCall,
            Throwable failure) {
        boolean unreachable =
                failure instanceof ConnectException
                        || failure instanceof HttpConnectTimeoutException;
        // A request sent to a process that is being killed counts as never accepted.
        if (firstCall && (unreachable || killed[clientTry.manager])) {
            rules.onNeverAccepted(clientTry);
            observer.onTryEnded(clientTry, TryOutcome.NEVER_ACCEPTED);
            scoreboard.onFailed();
            // The protocol allows a retry of a non-idempotent request only after a rejection or if
            // the manager was unreachable: if the connection broke, the request may have run.
            retry(
                    clientTry.request,
                    0,
                    unreachable
                            || plan.trafficClasses().get(clientTry.request.trafficClass).effect()
                                    == Effect.IDEMPOTENT);
        } else if (!firstCall
                && attemptsLeft > 1
                && loop.now() < clientTry.deadline
                && failure instanceof IOException) {
            call(clientTry, id, httpRequest, attemptsLeft - 1, false);
        } else {
            // Rule 1 is checked at the deadline; a killed manager's open tries are exempt.
            observer.onTryEnded(clientTry, TryOutcome.LOST);
            scoreboard.onFailed();
            if (!clientTry.abandoned()
                    && !clientTry.hasPauseAllowance()
                    && !(failure instanceof HttpTimeoutException)) {
                loop.events()
                        .schedule(
                                2_000,
                                () -> {
                                    if (!clientTry.abandoned()) {
                                        rules.addViolation(
                                                "rule 1: batch "
                                                        + clientTry.request.id
                                                        + " at manager "
                                                        + clientTry.manager
                                                        + " received no readable answer: "
                                                        + failure);
                                    }
                                });
            }
            retry(
                    clientTry.request,
                    0,
                    plan.trafficClasses().get(clientTry.request.trafficClass).effect()
                            == Effect.IDEMPOTENT);
        }
    }

    private void onResponse(ClientTry clientTry, HttpResponse<String> response) {
        long now = loop.now();
        boolean rejected =
                response.statusCode() == 429
                        || response.statusCode() == 503
                        || response.body().contains("\"err\":\"Busy\"");
        boolean succeeded = response.statusCode() == 200 && !response.body().contains("\"err\"");
        rules.onAnswered(now, clientTry, rejected);
        if (succeeded) {
            observer.onTryEnded(
                    clientTry,
                    now <= clientTry.request.deadline
                            ? TryOutcome.SUCCEEDED
                            : TryOutcome.SUCCEEDED_LATE);
            if (!clientTry.request.succeeded) {
                clientTry.request.succeeded = true;
                scoreboard.onSucceeded(now, clientTry.request);
            }
        } else if (rejected) {
            observer.onTryEnded(clientTry, TryOutcome.REJECTED);
            scoreboard.onRejected();
            long retryAfter = response.headers().firstValueAsLong("X-Wait-Ms").orElse(0) * 10;
            retry(clientTry.request, retryAfter, true);
        } else {
            observer.onTryEnded(clientTry, TryOutcome.FAILED);
            scoreboard.onFailed();
            retry(
                    clientTry.request,
                    0,
                    plan.trafficClasses().get(clientTry.request.trafficClass).effect()
                            == Effect.IDEMPOTENT);
        }
    }

    private void retry(GeneratedRequest request, long retryAfter, boolean mayRetry) {
        long delay = clientBehavior.retryDelay(request, loop.now(), retryAfter, mayRetry);
        if (delay >= 0) {
            loop.events().schedule(delay, () -> sendInKeyOrder(request, chooseManager(request)));
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
