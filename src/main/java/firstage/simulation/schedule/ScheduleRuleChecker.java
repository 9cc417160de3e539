package firstage.simulation.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads what crosses between clients, one manager and engines, and says which rule breaks. It knows
 * nothing of what the manager remembers. Rule 1: one final answer in time. Rule 2: no once-only
 * batch at an engine twice, none pushed back that may have run. Rule 3: nothing to a draining
 * engine past the grace. Rule 5: nothing comes to an engine while an earlier one of its key is
 * open, or any other of its key may run. And the users' term: nothing is sent later than 0.3 s
 * after its client was last there.
 */
public final class ScheduleRuleChecker {
    /** Tenths of a millisecond after a client's limit in which its answer still counts. */
    private static final long SLACK = 500;

    /** After its client left nothing is sent for it later than this. */
    private static final long LEFT_FOR = 3_000;

    /** What crossed of one batch. */
    private static final class Seen {
        private final int id;
        private final int life;
        private final int key;
        private final boolean onceOnly;
        private final long came;
        private final long limit;
        private int answers;
        private boolean over;
        private boolean left;

        /** Since when its client is not there; below 0 where it is. */
        private long absentSince = -1;

        private int ran;

        private Seen(int id, int key, boolean onceOnly, long came, long limit, int life) {
            this.id = id;
            this.life = life;
            this.key = key;
            this.onceOnly = onceOnly;
            this.came = came;
            this.limit = limit;
        }
    }

    private final List<String> broken = new ArrayList<>();
    private final Map<Integer, Seen> batches = new HashMap<>();

    /** By key, the batches that came, in the order of their last bytes. */
    private final Map<Integer, List<Seen>> byKey = new HashMap<>();

    /** By key, the batches whose runs are at engines now; once for each run. */
    private final Map<Integer, List<Seen>> atEngines = new HashMap<>();

    /** Which of the managers that follow each other is up. */
    private int life;

    /** Time that the thread stood still: no answer can be asked for within it. */
    private long stalls;

    /** The last byte of a batch reached the machine; {@code key} -1 without order. */
    public void came(long now, int id, int key, boolean onceOnly, long limit) {
        Seen b = new Seen(id, key, onceOnly, now, limit, life);
        batches.put(id, b);
        if (key >= 0) {
            byKey.computeIfAbsent(key, k -> new ArrayList<>()).add(b);
        }
    }

    public void stalled(long time) {
        stalls += time;
    }

    /** The manager says how it ends; a client that asks at once has it at once. */
    public void owed(long now, int id, boolean pushedBack) {
        Seen b = batches.get(id);
        if (!b.left && now > b.limit + SLACK + stalls) {
            breaks(now, 1, b, "answered too late");
        }
        if (pushedBack && b.onceOnly && b.ran > 0) {
            breaks(now, 2, b, "pushed back, and may have run");
        }
        b.over = true;
    }

    /** The client has its answer. */
    public void answered(long now, int id) {
        Seen b = batches.get(id);
        b.answers++;
        if (b.answers > 1) {
            breaks(now, 1, b, "answered " + b.answers + " times");
        }
    }

    /**
     * The manager was killed: what it held is no duty of anybody's, and the next one's orders begin
     * anew.
     */
    public void killed() {
        batches.values().stream().filter(b -> b.answers == 0).forEach(b -> left(b.id));
        byKey.clear();
        atEngines.clear();
        life++;
    }

    /** How many managers were killed before this one. */
    public int life() {
        return life;
    }

    /** The client left: it is owed nothing. */
    public void left(int id) {
        Seen b = batches.get(id);
        b.left = true;
        b.over = true;
    }

    /** The client is not there, for now or for ever. */
    public void absent(long now, int id) {
        batches.get(id).absentSince = now;
    }

    public void present(int id) {
        batches.get(id).absentSince = -1;
    }

    /** A statement goes onto the wire. */
    public void sent(long now, int id) {
        Seen b = batches.get(id);
        if (b.absentSince >= 0 && now - b.absentSince > LEFT_FOR + stalls) {
            broken.add(
                    "at "
                            + now
                            + ": batch "
                            + b.id
                            + " is sent "
                            + (now - b.absentSince)
                            + " after its client left");
        }
    }

    /**
     * A statement came whole to an engine that takes it up; {@code sinceDrain} below 0 where it
     * does not drain.
     */
    public void runs(long now, int id, long sentSinceDrain, long grace) {
        Seen b = batches.get(id);
        if (sentSinceDrain > grace) {
            breaks(now, 3, b, "sent " + sentSinceDrain + " after the drain was told");
        }
        if (b.onceOnly && b.ran > 0) {
            breaks(now, 2, b, "runs again");
        }
        b.ran++;
        if (b.key < 0 || b.life != life) {
            return;
        }
        // Another try or a second copy of its own is not held back by this rule.
        List<Seen> running = atEngines.computeIfAbsent(b.key, k -> new ArrayList<>());
        for (Seen other : running) {
            if (other != b) {
                breaks(now, 5, b, "runs beside " + other.id);
            }
        }
        running.add(b);
        for (Seen earlier : byKey.get(b.key)) {
            if (earlier.came >= b.came) {
                break;
            }
            if (!earlier.over) {
                breaks(
                        now,
                        5,
                        b,
                        "runs before "
                                + earlier.id
                                + ", which came "
                                + (b.came - earlier.came)
                                + " earlier");
            }
        }
    }

    /** A run ended at its engine: by itself, by a DELETE, forgotten, or with the process. */
    public void ends(int id) {
        Seen b = batches.get(id);
        if (b.key >= 0 && b.life == life) {
            atEngines.get(b.key).remove(b);
        }
    }

    /** All is played: nobody may be without an answer. */
    public void close(long now) {
        for (Seen b : batches.values()) {
            if (b.answers == 0 && !b.left) {
                breaks(now, 1, b, "never answered");
            }
        }
    }

    /** A table of the manager's that is not empty at the end. */
    public void kept(String what) {
        broken.add("kept at the end: " + what);
    }

    private void breaks(long now, int rule, Seen b, String how) {
        broken.add(
                "rule " + rule + " at " + now + ": batch " + b.id + " (key " + b.key + ") " + how);
    }

    public List<String> broken() {
        return broken;
    }
}
