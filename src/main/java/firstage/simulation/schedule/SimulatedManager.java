package firstage.simulation.schedule;

import firstage.lifecycle.ArrivalSequencer;
import firstage.lifecycle.AttemptStateMachine;
import firstage.lifecycle.AttemptStateMachine.CallFailure;
import firstage.lifecycle.AttemptStateMachine.EngineReply;
import firstage.lifecycle.AttemptStateMachine.Timeout;
import firstage.lifecycle.ClientCallStateMachine;
import firstage.policy.WorkloadScheduler;
import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptResult;
import firstage.policy.api.Deployment;
import firstage.policy.api.EndpointUpdate;
import firstage.policy.api.IncomingRequest;
import firstage.policy.api.PolicyActions;
import firstage.simulation.EventQueue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * A manager as the sockets make one up: the real WorkloadScheduler and the real lives; connections
 * and engines are modelled.
 */
final class SimulatedManager
        implements PolicyActions, ArrivalSequencer.ArrivalActions<SimulatedManager.Taken> {
    private static final long GRACE = 1_000;
    private static final long OVERDUE = 350;
    private static final long NEWS_PATIENCE = 6_000;
    private static final long DELETE_PATIENCE = 2_000;
    private static final long CONNECT_PATIENCE = 2_500;
    private static final long LATEST = 1_500;
    private static final int MARKS = 100_000;

    /** By so much the rest once was too short: an engine's time to forget. */
    private static final long SHORTER = 20_500;

    /** A batch that came. */
    static final class Taken {
        final int batch;
        final int group;
        final int key;
        final long limit;
        final long runs;
        boolean told;
        boolean over;
        boolean away;
        Client client;
        int dispatches;
        final List<Sent> out = new ArrayList<>();

        Taken(int batch, int group, int key, long limit, long runs) {
            this.batch = batch;
            this.group = group;
            this.key = key;
            this.limit = limit;
            this.runs = runs;
        }
    }

    private final EventQueue calendar;
    private final RandomGenerator chance;
    private final ScheduleRuleChecker check;
    private final InjectedDefect fault;
    private final List<SimulatedEngine> engines;
    private final double roughness;
    private final SimulatedThread thread;
    private final WorkloadScheduler brain;
    private final ArrivalSequencer<Taken> order = new ArrivalSequencer<>(this);
    private final Map<Integer, Taken> batches = new HashMap<>();
    private boolean turnDue;
    private int open;
    private int calls;

    /** Engines know each dispatch by its mark, also one of a manager that was killed. */
    private int marks;

    SimulatedManager(
            EventQueue calendar,
            RandomGenerator chance,
            ScheduleRuleChecker check,
            InjectedDefect fault,
            Deployment deployment,
            List<SimulatedEngine> engines,
            double roughness,
            boolean stalls) {
        this.calendar = calendar;
        this.chance = chance;
        this.check = check;
        this.fault = fault;
        this.engines = engines;
        this.roughness = roughness;
        marks = check.life() * MARKS;
        thread =
                new SimulatedThread(
                        calendar,
                        chance,
                        check,
                        stalls,
                        fault == InjectedDefect.ONE_ACCEPTED_A_LOOK,
                        this::turn);
        brain = new WorkloadScheduler(deployment, this);
    }

    SimulatedThread thread() {
        return thread;
    }

    /** Killed outright: what it had on its way to engines still comes there. */
    void die() {
        thread.die();
    }

    /** SIGTERM: it takes batches for a while yet, and ends at {@code endsAt}. */
    void closes(long endsAt) {
        thread.arrives(
                () -> {
                    brain.onShutdown(calendar.now(), endsAt);
                    turnDue = true;
                });
    }

    private void turn() {
        if (turnDue) {
            turnDue = false;
            brain.runPendingActions(calendar.now());
        }
    }

    // ---- Clients.
    /** The last byte of a batch is at the machine now. */
    void comes(Taken b, boolean newConnection) {
        Runnable read =
                () -> {
                    open++;
                    b.client = new Client(b);
                    b.client.life.start();
                    thread(b.limit - calendar.now(), () -> timeUp(b));
                    if (fault == InjectedDefect.TOLD_AS_READ) {
                        deliver(b, true);
                    } else {
                        order.onRequestRead(b, b.key >= 0 ? (Object) b.key : null);
                    }
                };
        if (newConnection) {
            thread.connects(read);
        } else {
            thread.arrives(read);
        }
    }

    void leaves(Taken b) {
        thread.arrives(
                () -> {
                    if (b.client != null) {
                        b.client.quits();
                    }
                });
    }

    private void left(Taken b) {
        if (!b.over) {
            b.over = true;
            open--;
            check.left(b.batch);
            if (b.told) {
                brain.onClientGone(calendar.now(), b.batch);
            }
            callOffAll(b);
            turnDue = true;
        }
    }

    /**
     * A client and its call: it asks at the path that it is given, loses connections now and then,
     * and asks again; some never do.
     */
    private final class Client implements ClientCallStateMachine.ClientCallActions {
        private final Taken b;
        private final ClientCallStateMachine life = new ClientCallStateMachine(this);
        private final boolean vanishes = chance.nextInt(12) == 0;
        private int held = 1;
        private boolean atPath;
        private boolean got;
        private boolean gone;
        private int timer;
        private int tries;

        private Client(Taken b) {
            this.b = b;
            calls++;
        }

        private void quits() {
            if (!gone && !thread.dead()) {
                check.absent(calendar.now(), b.batch);
                if (atPath || held == 0) {
                    life.onClientCancelled();
                } else {
                    held = 0;
                    life.onFirstCallBroken();
                }
            }
        }

        private void asksLater(long delay) {
            if (!vanishes && tries++ < 4) {
                thread(
                        delay,
                        () -> {
                            if (!gone) {
                                check.present(b.batch);
                                held++;
                                life.onPoll();
                                breaksLater();
                            }
                        });
            }
        }

        /** Its connection may break while the call is held. */
        private void breaksLater() {
            if (chance.nextDouble() < roughness) {
                thread(
                        chance.nextLong(5_000),
                        () -> {
                            if (!gone && held == 1 && !got) {
                                check.absent(calendar.now(), b.batch);
                                held = 0;
                                life.onLastPollBroken();
                                asksLater(100);
                            }
                        });
            }
        }

        @Override
        public void respondWithPollPath() {
            check.absent(calendar.now(), b.batch);
            held = 0;
            atPath = true;
            asksLater(20);
        }

        @Override
        public void respond() {
            if (held == 0) {
                check.kept("an answer given to no call of batch " + b.batch);
            }
            held = 0;
            if (!got || fault == InjectedDefect.ANSWERED_TWICE) {
                got = true;
                check.answered(calendar.now(), b.batch);
            }
        }

        @Override
        public void startTimer(long delay) {
            int mine = ++timer;
            thread(
                    delay,
                    () -> {
                        if (mine == timer) {
                            life.onTimeout();
                        }
                    });
        }

        @Override
        public void stopTimer() {
            timer++;
        }

        @Override
        public void closeHeldCalls() {
            held = 0;
        }

        @Override
        public void failHeldCalls() {
            // Its client gave up: what is said to it yet is no answer that it waits for.
            held = 0;
        }

        @Override
        public void markClientAbsent() {
            tellAway(true);
        }

        @Override
        public void markClientPresent() {
            tellAway(false);
        }

        private void tellAway(boolean away) {
            b.away = away && fault != InjectedDefect.AWAY_UNHEEDED;
            if (b.told && !b.over) {
                brain.onClientPresence(calendar.now(), b.batch, b.away);
                turnDue = true;
            }
        }

        @Override
        public void markClientGone() {
            SimulatedManager.this.left(b);
        }

        @Override
        public void release() {
            if (gone) {
                check.kept("a call that is forgotten twice, of batch " + b.batch);
            }
            gone = true;
            calls--;
            if (!got && b.over) {
                // It was answered at a path where its client never asked: it is gone.
                check.left(b.batch);
            }
        }
    }

    private void thread(long delay, Runnable what) {
        calendar.in(delay, () -> thread.arrives(what));
    }

    private void timeUp(Taken b) {
        if (fault == InjectedDefect.LIMIT_UNHEEDED) {
            return;
        }
        List.copyOf(b.out).forEach(s -> s.life.abandon(calendar.now(), AttemptOutcome.TIMED_OUT));
        thread(
                OVERDUE,
                () -> {
                    if (!b.over || fault == InjectedDefect.ANSWERED_TWICE) {
                        answer(b, false);
                        if (b.told) {
                            brain.onClientGone(calendar.now(), b.batch);
                            turnDue = true;
                        }
                    }
                });
    }

    private void answer(Taken b, boolean pushedBack) {
        if (!b.over || fault == InjectedDefect.ANSWERED_TWICE) {
            if (!b.over) {
                open--;
            }
            b.over = true;
            check.owed(calendar.now(), b.batch, pushedBack);
            if (fault == InjectedDefect.ANSWERED_TWICE) {
                check.answered(calendar.now(), b.batch);
            } else {
                b.client.life.onAnswerAvailable();
            }
        }
    }

    @Override
    public void requestReadBarrier(Object key) {
        thread.barrier(() -> order.onReadBarrierPassed(key));
    }

    @Override
    public void deliver(Taken b, boolean turnKnown) {
        turnDue = true;
        if (b.over) {
            return;
        }
        b.told = true;
        batches.put(b.batch, b);
        brain.onRequest(
                calendar.now(),
                new IncomingRequest(
                        b.batch,
                        b.group,
                        0,
                        b.key,
                        b.limit,
                        b.runs,
                        64,
                        b.batch % 5,
                        false,
                        !turnKnown));
    }

    void listed(int engine, EndpointUpdate.Lifecycle standing) {
        thread.arrives(
                () -> {
                    if (standing == EndpointUpdate.Lifecycle.DRAINING) {
                        engines.get(engine).drainTold(calendar.now());
                    }
                    brain.onEndpointsUpdated(
                            calendar.now(),
                            new EndpointUpdate(
                                    EndpointUpdate.Kind.DELTA, List.of(entry(engine, standing))));
                    turnDue = true;
                });
    }

    /** The coordinator is another one and tells the whole list again, as it stands. */
    void listedAnew() {
        thread.arrives(
                () -> {
                    List<EndpointUpdate.Endpoint> all = new ArrayList<>();
                    for (int e = 0; e < engines.size(); e++) {
                        all.add(
                                entry(
                                        e,
                                        engines.get(e).sinceDrain(calendar.now()) >= 0
                                                ? EndpointUpdate.Lifecycle.DRAINING
                                                : EndpointUpdate.Lifecycle.ACTIVE));
                    }
                    brain.onEndpointsUpdated(
                            calendar.now(), new EndpointUpdate(EndpointUpdate.Kind.SNAPSHOT, all));
                    turnDue = true;
                });
    }

    void knows(int count) {
        List<EndpointUpdate.Endpoint> all = new ArrayList<>();
        for (int e = 0; e < count; e++) {
            all.add(entry(e, EndpointUpdate.Lifecycle.ACTIVE));
        }
        brain.onEndpointsUpdated(
                calendar.now(), new EndpointUpdate(EndpointUpdate.Kind.SNAPSHOT, all));
        brain.runPendingActions(calendar.now());
    }

    private static EndpointUpdate.Endpoint entry(int engine, EndpointUpdate.Lifecycle standing) {
        return new EndpointUpdate.Endpoint(engine, engine + 1, 0, 0, 0, standing, 1, 0);
    }

    // ---- Decisions.
    @Override
    public void setGrantAndPriority(int batch, int grantMb, int priority) {}

    @Override
    public void startAttempt(int batch, int engine, long within) {
        Taken b = batches.get(batch);
        Sent s = new Sent(b, b.dispatches++, engine);
        b.out.add(s);
        calendar.in(0, s.life::start);
    }

    @Override
    public void cancelAttempt(int batch, int dispatch) {
        List.copyOf(batches.get(batch).out).stream()
                .filter(s -> s.number == dispatch)
                .forEach(s -> s.life.abandon(calendar.now(), AttemptOutcome.CANCELLED));
    }

    private void callOffAll(Taken b) {
        List.copyOf(b.out).forEach(s -> s.life.abandon(calendar.now(), AttemptOutcome.CANCELLED));
    }

    @Override
    public void reject(int batch, long comeBack) {
        Taken b = batches.get(batch);
        answer(b, true);
        callOffAll(b);
    }

    @Override
    public void fail(int batch) {
        answer(batches.get(batch), false);
    }

    @Override
    public void releaseRequest(int batch) {
        batches.remove(batch);
    }

    @Override
    public void releaseKey(int key) {}

    @Override
    public void releaseEngine(int engine) {}

    @Override
    public void probeEngine(int engine) {
        thread(
                20,
                () -> {
                    brain.onProbeResult(calendar.now(), engine, AttemptOutcome.SUCCEEDED, null);
                    turnDue = true;
                });
    }

    @Override
    public void scheduleWakeUp(long delay, long token) {
        thread(
                delay,
                () -> {
                    brain.onWakeUp(calendar.now(), token);
                    turnDue = true;
                });
    }

    @Override
    public void log(String line) {}

    /** What must be empty once all is over. */
    void close() {
        for (int e = 0; e < engines.size(); e++) {
            if (brain.attemptsInFlight(e) != 0) {
                check.kept(brain.attemptsInFlight(e) + " dispatches at engine " + e);
            }
        }
        if (!batches.isEmpty()) {
            check.kept(batches.size() + " batches");
        }
        if (order.undelivered() != 0 || open != 0 || calls != 0) {
            check.kept(order.undelivered() + " unsettled, " + open + " open, " + calls + " calls");
        }
    }

    /** A dispatch on modelled connections: each call may fail, be late, or lose its answer. */
    private final class Sent implements AttemptStateMachine.AttemptActions {
        private final Taken b;
        private final int number;
        private final SimulatedEngine engine;
        private final int index;
        private final int mark = marks++;
        private final long sent = calendar.now();
        private final AttemptStateMachine life;
        private boolean blind = true;
        private int deletes;

        private Sent(Taken b, int number, int index) {
            this.b = b;
            this.number = number;
            this.index = index;
            engine = engines.get(index);
            life = new AttemptStateMachine(this, b.key >= 0);
        }

        private boolean rough() {
            return chance.nextDouble() < roughness;
        }

        private long way() {
            return 2 + chance.nextInt(14);
        }

        private void tell(Runnable news) {
            thread.arrives(
                    () -> {
                        news.run();
                        turnDue = true;
                    });
        }

        @Override
        public void sendStatement() {
            boolean refuses =
                    engine.standing() == SimulatedEngine.Standing.DOWN
                            || engine.standing() == SimulatedEngine.Standing.DRAINING
                                    && chance.nextBoolean();
            boolean mute =
                    engine.standing() == SimulatedEngine.Standing.MUTE && chance.nextBoolean();
            long up = chance.nextInt(10) == 0 ? chance.nextInt((int) CONNECT_PATIENCE) : 2 * way();
            calendar.in(
                    mute ? CONNECT_PATIENCE : up,
                    () ->
                            tell(
                                    () -> {
                                        if (refuses || mute) {
                                            life.onStatementFailed(
                                                    calendar.now(),
                                                    refuses
                                                            ? CallFailure.CONNECTION_REFUSED
                                                            : CallFailure.CONNECT_TIMEOUT);
                                        } else if (rough()) {
                                            life.onStatementFailed(
                                                    calendar.now(), CallFailure.RESET_BEFORE_SEND);
                                        } else if (!life.shouldSendStatement()
                                                || b.away
                                                || engine.sinceDrain(calendar.now()) >= 0
                                                        && fault != InjectedDefect.DRAIN_UNHEEDED) {
                                            life.onStatementFailed(
                                                    calendar.now(), CallFailure.NOT_SENT);
                                        } else {
                                            write();
                                        }
                                    }));
        }

        private void write() {
            check.sent(calendar.now(), b.batch);
            life.onStatementWritten(calendar.now());
            long sinceDrain = engine.sinceDrain(calendar.now());
            boolean[] answered = {false};
            boolean breaks = rough();
            boolean reaches = !breaks || chance.nextBoolean();
            // The bytes may lie on their way when the connection under them is gone.
            long late = breaks && chance.nextBoolean() ? chance.nextLong(LATEST) : way();
            if (reaches && engine.standing() != SimulatedEngine.Standing.MUTE) {
                calendar.in(
                        late,
                        () ->
                                engine.post(
                                        b.batch,
                                        mark,
                                        sinceDrain,
                                        GRACE,
                                        b.runs,
                                        b.limit,
                                        word -> {
                                            if (!breaks) {
                                                back(
                                                        answered,
                                                        () -> {
                                                            blind = false;
                                                            life.onStatementReply(
                                                                    calendar.now(), word);
                                                        },
                                                        loss ->
                                                                life.onStatementFailed(
                                                                        calendar.now(), loss));
                                            }
                                        }));
            }
            lossAfter(
                    breaks ? 2 * way() : NEWS_PATIENCE,
                    answered,
                    loss -> {
                        if (fault == InjectedDefect.BROKEN_NEVER_RAN) {
                            reportEnd(AttemptOutcome.CONNECT_FAILED, 0);
                        } else {
                            life.onStatementFailed(calendar.now(), loss);
                        }
                    });
        }

        private interface Lost {
            void as(CallFailure loss);
        }

        /** An answer on its way back: it comes, comes spoilt, or never comes. */
        private void back(boolean[] answered, Runnable whole, Lost lost) {
            if (answered[0] || rough() && chance.nextBoolean()) {
                return;
            }
            boolean spoilt = rough();
            calendar.in(
                    way(),
                    () ->
                            tell(
                                    () -> {
                                        if (!answered[0]) {
                                            answered[0] = true;
                                            if (spoilt) {
                                                lost.as(CallFailure.REPLY_UNREADABLE);
                                            } else {
                                                whole.run();
                                            }
                                        }
                                    }));
        }

        private void lossAfter(long patience, boolean[] answered, Lost lost) {
            calendar.in(
                    patience,
                    () ->
                            tell(
                                    () -> {
                                        if (!answered[0]) {
                                            answered[0] = true;
                                            lost.as(CallFailure.REPLY_LOST);
                                        }
                                    }));
        }

        private void call(long patience, boolean fresh, Consumer<boolean[]> reach, Lost lost) {
            boolean[] answered = {false};
            boolean refuses =
                    engine.standing() == SimulatedEngine.Standing.DOWN
                            || fresh
                                    && engine.standing() == SimulatedEngine.Standing.DRAINING
                                    && chance.nextBoolean();
            if (refuses) {
                answered[0] = true;
                calendar.in(2 * way(), () -> tell(() -> lost.as(CallFailure.CONNECTION_REFUSED)));
                return;
            }
            boolean breaks = rough();
            if (engine.standing() != SimulatedEngine.Standing.MUTE
                    && (!breaks || chance.nextBoolean())) {
                calendar.in(way(), () -> reach.accept(answered));
            }
            lossAfter(breaks ? 2 * way() : patience, answered, lost);
        }

        @Override
        public void poll(boolean fresh) {
            call(
                    NEWS_PATIENCE,
                    fresh,
                    answered ->
                            engine.news(
                                    mark,
                                    word ->
                                            back(
                                                    answered,
                                                    () -> {
                                                        boolean unknown =
                                                                blind && word == EngineReply.FAILED;
                                                        blind &= word == EngineReply.FAILED;
                                                        if (unknown
                                                                && fault
                                                                        == InjectedDefect
                                                                                .UNKNOWN_IS_OVER) {
                                                            reportEnd(AttemptOutcome.FAILED, 0);
                                                        } else {
                                                            life.onReply(calendar.now(), word);
                                                        }
                                                    },
                                                    loss ->
                                                            life.onCallFailed(
                                                                    calendar.now(), loss))),
                    this::lost);
        }

        private void lost(CallFailure loss) {
            if (loss == CallFailure.CONNECTION_REFUSED && fault == InjectedDefect.REFUSED_IS_OVER) {
                reportEnd(AttemptOutcome.CONNECTION_LOST, 0);
            } else {
                life.onCallFailed(calendar.now(), loss);
            }
        }

        @Override
        public void fetchPage(int page, boolean fresh) {
            call(
                    NEWS_PATIENCE,
                    fresh,
                    answered ->
                            engine.page(
                                    mark,
                                    word ->
                                            back(
                                                    answered,
                                                    () -> life.onReply(calendar.now(), word),
                                                    loss ->
                                                            life.onCallFailed(
                                                                    calendar.now(), loss))),
                    this::lost);
        }

        @Override
        public void sendDelete(boolean fresh) {
            if (deletes++ > 0 && fault == InjectedDefect.UNWRITTEN_END_IS_FORGOTTEN) {
                return;
            }
            call(
                    DELETE_PATIENCE,
                    fresh,
                    answered ->
                            engine.delete(
                                    mark,
                                    () ->
                                            back(
                                                    answered,
                                                    () -> {
                                                        if (fault
                                                                == InjectedDefect.DELETED_IS_OVER) {
                                                            reportEnd(AttemptOutcome.CANCELLED, 0);
                                                        } else {
                                                            life.onDeleteAcknowledged(
                                                                    calendar.now());
                                                        }
                                                    },
                                                    loss ->
                                                            life.onDeleteFailed(
                                                                    calendar.now(), loss))),
                    loss -> life.onDeleteFailed(calendar.now(), loss));
        }

        @Override
        public void startTimer(long delay, Timeout alarm) {
            thread(
                    delay,
                    () -> {
                        life.onTimeout(calendar.now(), alarm);
                        turnDue = true;
                    });
        }

        @Override
        public boolean hasOpenConnection() {
            // Known only by chance: other dispatches may hold connections to it or not.
            return engine.standing() != SimulatedEngine.Standing.DOWN && chance.nextBoolean();
        }

        @Override
        public boolean isResultAwaited() {
            return !b.over
                    || fault == InjectedDefect.GIVEN_UP_IS_OVER
                    || fault == InjectedDefect.UNWRITTEN_END_IS_OVER
                    || fault == InjectedDefect.UNWRITTEN_END_IS_FORGOTTEN;
        }

        @Override
        public long deadline() {
            return fault == InjectedDefect.UNWRITTEN_END_IS_OVER
                            || fault == InjectedDefect.UNWRITTEN_END_IS_FORGOTTEN
                    ? 0
                    : b.limit;
        }

        @Override
        public void release() {}

        @Override
        public void reportEnd(AttemptOutcome how, long rest) {
            if (!b.out.remove(this)) {
                return;
            }
            if (how == AttemptOutcome.SUCCEEDED) {
                answer(b, false);
            }
            turnDue = true;
            brain.onAttemptResult(
                    calendar.now(),
                    new AttemptResult(
                            b.batch,
                            number,
                            index,
                            how,
                            calendar.now() - sent,
                            0,
                            0,
                            b.over,
                            null,
                            fault == InjectedDefect.GIVEN_UP_IS_OVER
                                    ? 0
                                    : fault == InjectedDefect.UNWRITTEN_END_IS_OVER
                                            ? Math.max(0, rest - SHORTER)
                                            : rest));
            if (how == AttemptOutcome.SUCCEEDED) {
                callOffAll(b);
            }
        }
    }
}
