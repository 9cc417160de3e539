package firstage.server.engine;

import firstage.lifecycle.AttemptStateMachine;
import firstage.lifecycle.AttemptStateMachine.Loss;
import firstage.lifecycle.AttemptStateMachine.Word;
import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
import firstage.policy.api.LoadReport;
import firstage.server.FlightRecorder.What;
import firstage.server.RequestExchange;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Carries a dispatch's life over HTTP: its calls, and what their answers say. It decides nothing.
 */
final class AttemptRunner implements RequestExchange.Dispatch, AttemptStateMachine.Carrier {
    /**
     * Engines answer within 250 ms; another connection is tried well before they drop it after 2 s.
     */
    private static final long NEWS_MS = 600;

    private static final long DELETE_MS = 200;
    private static final int MOST_PAGES = 64;

    /**
     * Tenths of a millisecond; by the users' term nothing is sent so long after its client left.
     * For the counters.
     */
    private static final long LEFT_FOR = 1_000;

    /** Some five times what a result may hold. */
    private static final int MOST_RESULT = 256 * 1024;

    private final EngineClients engines;
    private final EngineConnectionPool link;
    private final RequestExchange x;
    private final int number;
    private final int engine;
    private final long sent;
    private final AttemptStateMachine life;
    private final List<byte[]> pages = new ArrayList<>();
    private int pageCount;
    private boolean running;
    private int size;
    private long took;
    private int priority;
    private LoadReport report;
    private boolean lingers;

    AttemptRunner(
            EngineClients engines,
            EngineConnectionPool link,
            RequestExchange x,
            int number,
            int engine) {
        this.engines = engines;
        this.link = link;
        this.x = x;
        this.number = number;
        this.engine = engine;
        this.sent = engines.clock.now();
        this.priority = x.priority;
        life = new AttemptStateMachine(this, x.key != null);
        // Not within the decision that sends it: its outcome is news of a later moment.
        engines.io.execute(life::start);
    }

    @Override
    public int number() {
        return number;
    }

    @Override
    public int engine() {
        return engine;
    }

    private long now() {
        return engines.clock.now();
    }

    private void note(What what, int figure) {
        if (x.key != null) {
            engines.counters.recorder().note(what, x.id, number, figure);
        }
    }

    private Loss loss(EngineCall.Failure f) {
        note(What.LOST, f.ordinal());
        return switch (f) {
            case REFUSED -> Loss.REFUSED;
            case UNREACHED -> Loss.UNREACHED;
            case RESET -> Loss.RESET;
            case NO_ROOM, UNWANTED -> Loss.UNSENT;
            case BROKEN, SILENT -> Loss.LOST;
            case MALFORMED -> Loss.SPOILT;
        };
    }

    @Override
    public void post() {
        link.start(
                new EngineCall("POST /x", x.statement, NEWS_MS) {
                    @Override
                    boolean wanted() {
                        // An engine may begin to drain, or the client leave, while the connection
                        // comes up.
                        return life.wanted() && !link.isLeaving() && !x.away;
                    }

                    @Override
                    String head() {
                        long now = now();
                        long absent = x.absentFor(now);
                        if (absent > 0) {
                            engines.counters.peak(
                                    "latest statement after its client left, us", absent * 100);
                        }
                        if (absent > LEFT_FOR) {
                            engines.counters.count(
                                    "statements sent later than 0.1 s after their client left");
                        }
                        life.written(now);
                        running = true;
                        link.runs();
                        note(What.WRITTEN, engine);
                        long left = Math.max(1, (x.notAfter - now) / 10);
                        return "X-Ticket: "
                                + x.id
                                + "\r\nX-Queue: "
                                + x.group
                                + "\r\nX-Max-Ms: "
                                + left
                                + "\r\n"
                                + (x.grantMb > 0 ? "Grant-Mb: " + x.grantMb + "\r\n" : "")
                                + "Rank: "
                                + priority
                                + "\r\n";
                    }

                    @Override
                    void answered(EngineResponse r) {
                        Word word = word(r, 0);
                        if (word != null) {
                            life.posted(now(), word);
                        } else {
                            engines.counters.count("answers that can't be used");
                            life.postFailed(now(), Loss.SPOILT);
                        }
                    }

                    @Override
                    void failed(Failure f) {
                        life.postFailed(now(), loss(f));
                    }
                });
    }

    @Override
    public void ask(boolean fresh) {
        get(0, fresh);
    }

    @Override
    public void fetch(int page, boolean fresh) {
        get(page, fresh);
    }

    private void get(int page, boolean fresh) {
        link.call(
                new EngineCall("GET /x/" + x.id + "/" + page, null, NEWS_MS) {
                    @Override
                    void answered(EngineResponse r) {
                        Word word = word(r, page);
                        if (word != null) {
                            life.told(now(), word);
                        } else {
                            engines.counters.count("answers that can't be used");
                            life.lost(now(), Loss.SPOILT);
                        }
                    }

                    @Override
                    void failed(Failure f) {
                        life.lost(now(), loss(f));
                    }
                },
                fresh);
    }

    /**
     * What an answer says, and keeps of it what goes on; null where it can't be one of an engine's.
     */
    private Word word(EngineResponse r, int page) {
        note(What.ANSWERED, r.status());
        boolean runs = life.runs();
        if (runs) {
            // The latest word only: an earlier one would pass for news when the dispatch ends.
            report = EngineClients.report(r);
        }
        return switch (r.status()) {
            case 202 -> {
                if (runs) {
                    note(r);
                }
                yield page > 0 && runs ? null : Word.NEWS;
            }
            // Of what is given up only its end counts, not its pages.
            case 200 -> runs ? page(r, page) : Word.LAST;
            case 503, 504 -> r.neverRan() ? Word.TURNED_AWAY : Word.ERROR;
            case 500 -> Word.ERROR;
            // Engines say nothing else: it was spoilt on its way.
            default -> null;
        };
    }

    private Word page(EngineResponse r, int page) {
        if (page == 0) {
            took = took > 0 ? took : now() - sent;
            pageCount = r.whole("page-count", 0);
        }
        boolean usable =
                pageCount > 0
                        && pageCount <= MOST_PAGES
                        && r.isPage()
                        && pages.size() == page
                        && (page == 0 || r.whole("page-no", -1) == page);
        if (!usable) {
            return null;
        }
        pages.add(r.body());
        size += r.body().length;
        return size > MOST_RESULT ? Word.ERROR : pages.size() >= pageCount ? Word.LAST : Word.PAGE;
    }

    private void note(EngineResponse r) {
        double figure = r.number("figure", 0);
        AttemptProgress.Kind kind =
                switch (r.headers().getOrDefault("x-remark", "")) {
                    case "pct" -> AttemptProgress.Kind.FRACTION_DONE;
                    case "overflow" -> AttemptProgress.Kind.SPILLING;
                    case "queued" ->
                            figure == 1
                                    ? AttemptProgress.Kind.WAITING_FOR_MEMORY
                                    : AttemptProgress.Kind.WAITING_FOR_TABLE_LOAD;
                    default -> null;
                };
        if (kind != null) {
            engines.tidings.noted(x, this, kind, figure);
        }
    }

    @Override
    public void priority(int next) {
        if (next == priority || life.over()) {
            return;
        }
        priority = next;
        if (life.runs()) {
            byte[] body = String.valueOf(next).getBytes(StandardCharsets.US_ASCII);
            link.call(
                    new EngineCall("PUT /x/" + x.id, body, NEWS_MS) {
                        @Override
                        void answered(EngineResponse r) {
                            // Nothing depends on it.
                        }

                        @Override
                        void failed(Failure f) {
                            // Nothing depends on it.
                        }
                    },
                    false);
        }
    }

    @Override
    public void giveUp(AttemptOutcome how) {
        life.giveUp(now(), how);
    }

    @Override
    public void delete(boolean fresh) {
        link.call(
                new EngineCall("DELETE /x/" + x.id, null, DELETE_MS) {
                    @Override
                    void answered(EngineResponse r) {
                        life.deleted(now());
                    }

                    @Override
                    void failed(Failure f) {
                        life.deleteFailed(now(), loss(f));
                    }
                },
                fresh,
                true);
    }

    @Override
    public void after(long delay, AttemptStateMachine.Alarm alarm) {
        Runnable rings =
                () -> {
                    life.rang(now(), alarm);
                    if (life.lingers() && !lingers) {
                        lingers = true;
                        engines.lingers(1);
                    }
                };
        if (delay > 0) {
            engines.io.executeAfter(rings, delay / 10, TimeUnit.MILLISECONDS);
        } else {
            engines.io.execute(rings);
        }
    }

    @Override
    public boolean lives() {
        return link.lives();
    }

    @Override
    public boolean awaited() {
        return !x.over() || engines.closing();
    }

    @Override
    public long limit() {
        return x.notAfter;
    }

    @Override
    public void done() {
        if (running) {
            link.ran();
        }
    }

    @Override
    public void ended(AttemptOutcome how, long rest) {
        if (lingers) {
            engines.lingers(-1);
        }
        engines.tidings.ended(x, this, how, took > 0 ? took : now() - sent, report, pages, rest);
    }
}
