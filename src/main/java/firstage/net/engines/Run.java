package firstage.net.engines;

import firstage.door.Note;
import firstage.door.Outcome;
import firstage.door.Report;
import firstage.net.Exchange;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A dispatch at its engine: started, asked for without pause (an engine drops what nobody asks for in 2 s), its
 * pages fetched, ended once. It belongs to no connection: where one fails, another is asked.
 */
final class Run implements Exchange.Dispatch {
    /** Engines answer within 250 ms; another connection is tried well before they drop it after 2 s. */
    private static final long NEWS_MS = 600;
    /** Answers in a row that can't be read: some are spoilt on their way, not so many. */
    private static final int MOST_UNREADABLE = 5;
    /** New connections in a row that are reset before the statement is written. */
    private static final int MOST_RESETS = 3;
    private static final int MOST_PAGES = 64;
    /** An engine that has nothing to tell and does not hold the call is asked again after a pause. */
    private static final long HELD = 100;
    private static final long NOT_HELD_MS = 20;
    /** Some five times what a result may hold. */
    private static final int MOST_RESULT = 256 * 1024;
    /** Between askings that fail at once. */
    private static final long PAUSE_MS = 50;
    /** So long a dispatch may take to end that is given up: the client's answer waits for it. */
    private static final long GIVE_UP_MS = 20;
    /** An engine ends what nobody asked for in 2 s: then the next of its key can't overtake it. */
    private static final long GIVE_UP_KEYED_MS = 2_200;
    private static final long DELETE_MS = 200;
    private final Engines engines;
    private final Link link;
    private final Exchange x;
    private final int number;
    private final int engine;
    private final long sent;
    private final List<byte[]> pages = new ArrayList<>();
    private int pageCount;
    private int size;
    private long took;
    private int failures;
    private int unreadable;
    private long asked;
    private boolean started;
    /** Its POST is written and not answered, and whether an answer ever showed that the engine has it. */
    private boolean posting;
    private boolean known;
    private boolean givenUp;
    private Outcome givenUpAs;
    private boolean told;
    private boolean over;
    private int priority;
    private Report report;

    Run(Engines engines, Link link, Exchange x, int number, int engine) {
        this.engines = engines;
        this.link = link;
        this.x = x;
        this.number = number;
        this.engine = engine;
        this.sent = engines.clock.now();
        this.priority = x.priority;
        // Not within the decision that sends it: its outcome is news of a later moment.
        engines.io.execute(this::start);
    }

    @Override
    public int number() {
        return number;
    }

    @Override
    public int engine() {
        return engine;
    }

    private void start() {
        if (givenUp) {
            return;
        }
        link.start(new Call("POST /x", x.statement, NEWS_MS) {
            @Override
            boolean wanted() {
                // An engine may begin to drain while the connection to it comes up.
                return !givenUp && !link.isLeaving();
            }

            @Override
            String head() {
                started = true;
                posting = true;
                long left = Math.max(1, (x.notAfter - engines.clock.now()) / 10);
                return "X-Ticket: " + x.id + "\r\nX-Queue: " + x.group + "\r\nX-Max-Ms: " + left + "\r\n"
                        + (x.grantMb > 0 ? "Grant-Mb: " + x.grantMb + "\r\n" : "")
                        + "Rank: " + priority + "\r\n";
            }

            @Override
            void answered(Response r) {
                posting = false;
                known = true;
                news(r);
                deleteIfDue();
            }

            @Override
            void failed(Failure f) {
                posting = false;
                deleteIfDue();
                switch (f) {
                    case RESET -> {
                        // The engine is there, and has seen nothing of it.
                        if (++failures < MOST_RESETS) {
                            start();
                        } else {
                            end(Outcome.NO_CONNECTION);
                        }
                    }
                    case REFUSED, UNREACHED -> end(Outcome.NO_CONNECTION);
                    case NO_ROOM, UNWANTED -> end(Outcome.NOT_SENT);
                    default -> again(f, Run.this::ask);
                }
            }
        });
    }

    /** With a key, given up while its POST was under way: a DELETE that overtook that would have ended nothing. */
    private void deleteIfDue() {
        if (givenUp && !over && x.keyed) {
            delete(givenUpAs, true);
        }
    }

    private void ask(boolean fresh) {
        if (over || givenUp) {
            return;
        }
        asked = engines.clock.now();
        link.call(new Call("GET /x/" + x.id + "/0", null, NEWS_MS) {
            @Override
            void answered(Response r) {
                news(r);
            }

            @Override
            void failed(Failure f) {
                again(f, Run.this::ask);
            }
        }, fresh);
    }

    /**
     * A process that ended refuses connections and has reset all it had, and what ran there ended with it; one that
     * drains may refuse new ones and runs on. Else it is asked again: an answer that broke off, was spoilt or never
     * came is lost, but what it told is not, for the engine gives it again.
     */
    private void again(Call.Failure f, Consumer<Boolean> asking) {
        if (over || givenUp) {
            return;
        }
        unreadable += f == Call.Failure.MALFORMED ? 1 : 0;
        boolean refused = f == Call.Failure.REFUSED;
        if (refused && !link.lives()) {
            giveUp(Outcome.BROKEN);
        } else if (unreadable >= MOST_UNREADABLE) {
            // It may run on unseen: its engine is told to end it.
            giveUp(Outcome.ERRORED);
        } else {
            // The first time at once: a process that died resets its connections, and refuses the next.
            long pause = failures++ == 0 && !refused ? 0 : PAUSE_MS;
            engines.io.executeAfter(() -> asking.accept(!refused), pause, TimeUnit.MILLISECONDS);
        }
    }

    private void news(Response r) {
        if (over || givenUp) {
            return;
        }
        failures = 0;
        // The latest word only: an earlier one would pass for news when the dispatch ends.
        report = Engines.report(r);
        switch (r.status()) {
            case 202 -> {
                note(r);
                if (engines.clock.now() - asked < HELD) {
                    engines.io.executeAfter(() -> ask(false), NOT_HELD_MS, TimeUnit.MILLISECONDS);
                } else {
                    ask(false);
                }
            }
            case 200 -> {
                took = took > 0 ? took : engines.clock.now() - sent;
                pageCount = r.whole("page-count", 0);
                if (pageCount > 0 && pageCount <= MOST_PAGES && r.isPage()) {
                    page(r);
                } else {
                    unusable(this::ask);
                }
            }
            case 503, 504 -> end(r.neverRan() ? Outcome.TURNED_AWAY : Outcome.ERRORED);
            default -> {
                if (known) {
                    end(Outcome.ERRORED);
                } else {
                    // The engine has not heard of it, but has its statement, and may take that up yet.
                    giveUp(Outcome.ERRORED);
                }
            }
        }
        known = true;
    }

    private void unusable(Consumer<Boolean> asking) {
        engines.counters.count("pages that can't be used");
        again(Call.Failure.MALFORMED, asking);
    }

    private void note(Response r) {
        double figure = r.number("figure", 0);
        Note.Kind kind = switch (r.headers().getOrDefault("x-remark", "")) {
            case "pct" -> Note.Kind.DONE;
            case "overflow" -> Note.Kind.SPILLS;
            case "queued" -> figure == 1 ? Note.Kind.WAITS_FOR_MEMORY : Note.Kind.WAITS_FOR_LOAD;
            default -> null;
        };
        if (kind != null) {
            engines.tidings.noted(x, this, kind, figure);
        }
    }

    private void page(Response r) {
        unreadable = 0;
        failures = 0;
        pages.add(r.body());
        size += r.body().length;
        if (size > MOST_RESULT) {
            end(Outcome.ERRORED);
        } else if (pages.size() >= pageCount) {
            end(Outcome.RETURNED);
        } else {
            fetch(false);
        }
    }

    private void fetch(boolean fresh) {
        if (over || givenUp) {
            return;
        }
        int wanted = pages.size();
        link.call(new Call("GET /x/" + x.id + "/" + wanted, null, NEWS_MS) {
            @Override
            void answered(Response r) {
                if (over || givenUp) {
                    return;
                }
                if (r.status() != 200) {
                    end(Outcome.ERRORED);
                } else if (r.whole("page-no", -1) == wanted && r.isPage()) {
                    page(r);
                } else {
                    unusable(Run.this::fetch);
                }
            }

            @Override
            void failed(Failure f) {
                again(f, Run.this::fetch);
            }
        }, fresh);
    }

    @Override
    public void priority(int next) {
        if (next == priority || over || givenUp) {
            return;
        }
        priority = next;
        if (started) {
            byte[] body = String.valueOf(next).getBytes(StandardCharsets.US_ASCII);
            link.call(new Call("PUT /x/" + x.id, body, NEWS_MS) {
                @Override
                void answered(Response r) {
                    // Nothing depends on it.
                }

                @Override
                void failed(Failure f) {
                    // Nothing depends on it.
                }
            }, false);
        }
    }

    /** Ends once the engine has heard of it, or can't hear in time: until then it counts as out. */
    @Override
    public void giveUp(Outcome how) {
        if (over || givenUp) {
            return;
        }
        givenUp = true;
        givenUpAs = how;
        if (!started) {
            // It is not written any more; told after what is at hand, as it may be a decision that gives it up.
            engines.io.execute(() -> end(Outcome.NOT_SENT));
            return;
        }
        engines.io.executeAfter(() -> end(how), x.keyed ? GIVE_UP_KEYED_MS : GIVE_UP_MS, TimeUnit.MILLISECONDS);
        if (!(posting && x.keyed)) {
            delete(how, false);
        }
    }

    private void delete(Outcome how, boolean fresh) {
        if (over && told) {
            return;
        }
        told = true;
        link.call(new Call("DELETE /x/" + x.id, null, DELETE_MS) {
            @Override
            void answered(Response r) {
                end(how);
            }

            @Override
            void failed(Failure f) {
                if (f == Failure.REFUSED && !link.lives() && !x.keyed) {
                    end(how);
                } else {
                    engines.io.executeAfter(() -> delete(how, f != Failure.REFUSED), PAUSE_MS, TimeUnit.MILLISECONDS);
                }
            }
        }, fresh);
    }

    private void end(Outcome how) {
        if (!over) {
            over = true;
            assert how != Outcome.NOT_SENT || !started : "what was written was sent";
            engines.tidings.ended(x, this, how, took > 0 ? took : engines.clock.now() - sent, report, pages);
        }
    }
}
