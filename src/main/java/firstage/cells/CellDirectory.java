package firstage.cells;

import firstage.overload.RendezvousHash;
import firstage.util.Ticks;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * What one manager knows of the other cells, and which engines it may use.
 *
 * <p><b>Rows.</b> A cell reports one row of fixed size of itself: a timestamp, the lowest plan
 * number that its managers hold, how many are alive, its load-shedding threshold. Its delegates,
 * the first three by rendezvous hashing over its view, renew it; each of them sends all rows it
 * knows to one random manager of one random other cell each second. Within a cell rows go with the
 * membership's messages, a few on each, new ones first, others by turns. So what a manager sends
 * and holds grows with the fleet by 12 bytes a cell only.
 *
 * <p><b>Engines.</b> A manager holds one plan for its whole life, and the one before it while that
 * is being replaced. Of an engine that both plans give to its cell it uses its share; of one that
 * only the old plan gives, nothing; one that only the new plan gives it uses once all managers of
 * all cells that lose it hold the new plan, by their rows. Invariant: the shares of an engine never
 * exceed the whole, in whatever order managers restart and messages are lost, late or doubled,
 * since each manager released before it said so and never goes back. A cell that is not heard keeps
 * what it had.
 *
 * <p>States of another cell: UNKNOWN (no row yet), ACTIVE, SILENT (its row was not renewed for
 * long). Times are in ticks of a clock that only goes forward.
 */
public final class CellDirectory {
    /** Of a cell at once: two may die in one second, the next view has others. */
    private static final int DELEGATES = 3;

    /** Between two datagrams of a delegate, some 1 KB, whatever the fleet. */
    private static final long SEND_INTERVAL = Ticks.ofSeconds(1);

    /** Between renewals of a row that does not change. */
    private static final long ROW_INTERVAL = Ticks.ofSeconds(5);

    /** Of a row that is not renewed: five renewals, some on their way. */
    private static final long SILENT_AFTER = Ticks.ofSeconds(25);

    /** Between renewals of a row while the view keeps changing. */
    private static final long MIN_ROW_INTERVAL = Ticks.ofMillis(500);

    /** Between two checks for rows that were not renewed. */
    private static final long EXPIRY_CHECK_INTERVAL = Ticks.ofMillis(500);

    /** 72 bytes on each message of the membership. */
    private static final int MAX_ROWS_PER_MESSAGE = 6;

    /** Messages of each manager on which a new row goes out first. */
    private static final int SENDS_PER_NEW_ROW = 2;

    /** Rows by turns on a message, new or not, so that none stays unheard by chance. */
    private static final int ROWS_BY_TURNS = 2;

    /** Under the least MTU of IPv6 with its headers. */
    private static final int MAX_DATAGRAM_BYTES = 1_200;

    /** Version, fleet, the plan's number and fingerprint. */
    private static final int HEADER_BYTES = 1 + 3 * Integer.BYTES;

    /** Cell, timestamp, plan number, alive managers, load-shedding threshold. */
    private static final int ROW_BYTES = Short.BYTES + 2 * Integer.BYTES + 2;

    private static final int VERSION = 1;
    private static final int MAX_BYTE = 255;
    private static final long NEVER = Long.MIN_VALUE / 4;

    /** Defects that tests put in one at a time, to show that they are found. */
    public enum InjectedDefect {
        NONE,
        SENT_TO_ALL_CELLS,
        FIXED_DELEGATES,
        GAINS_BEFORE_RELEASE,
        SILENT_MANAGERS_IGNORED,
        OLDER_ROW_WINS,
        GAINS_WARM_UP_SHARE
    }

    /**
     * What this manager knows of another cell: no row yet, a row renewed lately, a row not renewed.
     */
    public enum CellState {
        UNKNOWN,
        ACTIVE,
        SILENT
    }

    private enum Event {
        NEWER_ROW,
        ROW_EXPIRED
    }

    private enum Effect {
        NONE,
        FIRST_HEARD,
        LOST,
        HEARD_AGAIN
    }

    private record Transition(CellState state, Event event, CellState next, Effect effect) {}

    /** State, event, next state, effect; what is not in the table changes nothing. */
    private static final Transition[] TRANSITIONS = {
        new Transition(CellState.UNKNOWN, Event.NEWER_ROW, CellState.ACTIVE, Effect.FIRST_HEARD),
        new Transition(CellState.ACTIVE, Event.NEWER_ROW, CellState.ACTIVE, Effect.NONE),
        new Transition(CellState.ACTIVE, Event.ROW_EXPIRED, CellState.SILENT, Effect.LOST),
        new Transition(CellState.SILENT, Event.NEWER_ROW, CellState.ACTIVE, Effect.HEARD_AGAIN),
    };

    /**
     * A cell as it is known. {@code age}: ticks since a newer row came, -1 for never; {@code
     * planNumber}: the lowest that its managers hold.
     */
    public record CellStatus(
            String name,
            String zone,
            CellState state,
            long age,
            int planNumber,
            int aliveManagers,
            int slots,
            int sheddingThreshold) {}

    private static final class CellRow {
        private CellState state = CellState.UNKNOWN;
        private int timestamp;
        private int planNumber;
        private int aliveManagers;
        private int sheddingThreshold;
        private long receivedAt = NEVER;
        private int sendsLeft;
    }

    private final CellPlan plan;
    private final CellPlan previousPlan;
    private final int planFingerprint;
    private final int ownCell;
    private final int ownSlot;
    private final String name;
    private final int fleetHash;
    private final long startedAtUnixS;
    private final RandomGenerator random;
    private final CellActions actions;
    private final InjectedDefect defect;
    private final CellRow[] rows;

    /** By slot of this cell, the plan number that the manager there sent; 0 for none. */
    private final int[] planNumberBySlot;

    private final ArrayDeque<Integer> newRows = new ArrayDeque<>();
    private final Map<String, Long> rejectedMessages = new HashMap<>();
    private List<String> view;

    /** The largest view so far, for an injected defect. */
    private List<String> largestView = List.of();

    private boolean viewChanged;
    private long startedAt = NEVER;
    private long nextSendAt;
    private long nextRowAt;
    private long nextExpiryCheckAt;
    private int nextDatagramRow;
    private int lastDigestRow;
    private boolean planConflictLogged;

    /**
     * {@code previousPlan}: the plan that this one replaces, or null; {@code ownCell}, {@code
     * ownSlot}: this manager's cell and its slot there; {@code fleet}: the fleet's name; {@code
     * startedAtUnixMs}: when this process started.
     */
    public CellDirectory(
            CellPlan plan,
            CellPlan previousPlan,
            int ownCell,
            int ownSlot,
            String name,
            String fleet,
            long startedAtUnixMs,
            RandomGenerator random,
            CellActions actions,
            InjectedDefect defect) {
        this.plan = plan;
        this.previousPlan = previousPlan;
        planFingerprint = plan.fingerprint();
        this.ownCell = ownCell;
        this.ownSlot = ownSlot;
        this.name = name;
        this.fleetHash = fleet.hashCode();
        startedAtUnixS = startedAtUnixMs / 1_000;
        this.random = random;
        this.actions = actions;
        this.defect = defect;
        rows = new CellRow[plan.cells().size()];
        Arrays.setAll(rows, cell -> new CellRow());
        view = List.of(name);
        planNumberBySlot = new int[plan.cells().get(ownCell).slots()];
        planNumberBySlot[ownSlot] = plan.number();
    }

    /** Whether this manager may use its share of an engine now. */
    public boolean mayUse(long engine, String zone) {
        return plan.serves(ownCell, engine, zone)
                && (previousPlan == null
                        || previousPlan.serves(ownCell, engine, zone)
                        || defect == InjectedDefect.GAINS_BEFORE_RELEASE
                        || releasedByFormerCells(engine, zone));
    }

    /** This manager's share of an engine's warm-up budget; {@link CellPlan#warmUpShare}. */
    public double warmUpShare(long engine, String zone) {
        return plan.warmUpShare(
                defect == InjectedDefect.GAINS_WARM_UP_SHARE ? null : previousPlan,
                ownCell,
                engine,
                zone);
    }

    /** Whether the new plan gives the engine, and others may not have released it yet. */
    public boolean awaits(long engine, String zone) {
        return plan.serves(ownCell, engine, zone) && !mayUse(engine, zone);
    }

    /** Whether all managers of all cells that lose it are known to hold the new plan. */
    private boolean releasedByFormerCells(long engine, String zone) {
        List<Integer> newCells = plan.servingCells(engine, zone);
        for (int cell : previousPlan.servingCells(engine, zone)) {
            int newIndex = plan.indexOf(previousPlan.cells().get(cell).name());
            if (!newCells.contains(newIndex) && rows[newIndex].planNumber < plan.number()) {
                return false;
            }
        }
        return true;
    }

    /** The cells that are not known to hold this plan in full. */
    public List<String> cellsBehindPlan() {
        List<String> names = new ArrayList<>();
        for (int cell = 0; cell < rows.length; cell++) {
            if (rows[cell].planNumber < plan.number()) {
                names.add(plan.cells().get(cell).name());
            }
        }
        return names;
    }

    /** What is known of each cell, in the plan's order. */
    public List<CellStatus> cells(long now) {
        List<CellStatus> all = new ArrayList<>();
        for (int cell = 0; cell < rows.length; cell++) {
            CellPlan.Cell planned = plan.cells().get(cell);
            CellRow row = rows[cell];
            all.add(
                    new CellStatus(
                            planned.name(),
                            planned.zone(),
                            row.state,
                            row.receivedAt == NEVER ? -1 : now - row.receivedAt,
                            row.planNumber,
                            row.aliveManagers,
                            planned.slots(),
                            row.sheddingThreshold));
        }
        return all;
    }

    /** Messages that changed nothing, by cause. */
    public Map<String, Long> rejectedMessages() {
        return rejectedMessages;
    }

    /** The alive managers of this cell. */
    public void onViewChanged(List<String> names) {
        view = names;
        largestView = names.size() > largestView.size() ? names : largestView;
        viewChanged = true;
    }

    /** To be called each 20 ms or so. */
    public void tick(long now) {
        if (startedAt == NEVER) {
            startedAt = now;
            // Managers that start together must not all send at once.
            nextSendAt = now + random.nextLong(SEND_INTERVAL);
        }
        if (now >= nextExpiryCheckAt) {
            nextExpiryCheckAt = now + EXPIRY_CHECK_INTERVAL;
            for (int cell = 0; cell < rows.length; cell++) {
                if (cell != ownCell
                        && rows[cell].receivedAt != NEVER
                        && now - rows[cell].receivedAt > SILENT_AFTER) {
                    applyEvent(now, cell, Event.ROW_EXPIRED);
                }
            }
        }
        if (now >= nextRowAt) {
            nextRowAt = now + MIN_ROW_INTERVAL;
            long rank = delegateRank();
            // The second and the third delegate renew it only where those before them do not.
            if (rank < DELEGATES
                    && (viewChanged
                            || now - rows[ownCell].receivedAt
                                    >= ROW_INTERVAL + rank * SEND_INTERVAL)) {
                renewOwnRow(now);
            }
            viewChanged = false;
        }
        if (now >= nextSendAt) {
            nextSendAt = now + SEND_INTERVAL;
            if (delegateRank() < DELEGATES) {
                sendRows(now);
            }
        }
    }

    /** This manager's rank among the alive ones of its cell; the first ones are its delegates. */
    private long delegateRank() {
        // With the defect: the first of the largest view, alive or not.
        List<String> candidates = defect == InjectedDefect.FIXED_DELEGATES ? largestView : view;
        return RendezvousHash.countBefore(ownCell, candidates, name);
    }

    /**
     * The lowest plan number in this cell. Only what each manager has sent itself counts: a silent
     * one may hold the old plan and use it.
     */
    private int leastPlanNumber() {
        return Math.min(
                plan.number(),
                Arrays.stream(planNumberBySlot)
                        .filter(
                                number ->
                                        number > 0
                                                || defect != InjectedDefect.SILENT_MANAGERS_IGNORED)
                        .min()
                        .orElse(0));
    }

    private void renewOwnRow(long now) {
        CellRow row = rows[ownCell];
        int clock = (int) (startedAtUnixS + (now - startedAt) / SEND_INTERVAL);
        applyRow(
                now,
                ownCell,
                row.receivedAt != NEVER && row.timestamp - clock >= 0 ? row.timestamp + 1 : clock,
                leastPlanNumber(),
                view.size(),
                actions.sheddingThreshold());
    }

    private void sendRows(long now) {
        if (rows.length < 2) {
            return;
        }
        byte[] datagram = encodeDatagram();
        if (defect == InjectedDefect.SENT_TO_ALL_CELLS) {
            for (int cell = 0; cell < rows.length; cell++) {
                send(cell, datagram);
            }
            return;
        }
        int to = random.nextInt(rows.length - 1);
        send(to >= ownCell ? to + 1 : to, datagram);
    }

    private void send(int cell, byte[] datagram) {
        if (cell != ownCell) {
            actions.send(cell, random.nextInt(plan.cells().get(cell).slots()), datagram);
        }
    }

    private void applyRow(
            long now,
            int cell,
            int timestamp,
            int planNumber,
            int aliveManagers,
            int sheddingThreshold) {
        CellRow row = rows[cell];
        if (row.receivedAt != NEVER
                && timestamp - row.timestamp <= 0
                && defect != InjectedDefect.OLDER_ROW_WINS) {
            return;
        }
        row.timestamp = timestamp;
        row.aliveManagers = aliveManagers;
        row.sheddingThreshold = sheddingThreshold;
        row.receivedAt = now;
        if (row.sendsLeft == 0) {
            newRows.add(cell);
        }
        row.sendsLeft = SENDS_PER_NEW_ROW;
        applyEvent(now, cell, Event.NEWER_ROW);
        // A plan number never goes down: an old row, received again, takes nothing away.
        if (planNumber > row.planNumber) {
            row.planNumber = planNumber;
            if (previousPlan != null && planNumber >= plan.number()) {
                actions.logCellEvent(
                        now,
                        "follows",
                        plan.cells().get(cell).name(),
                        "all of it hold plan " + plan.number());
                actions.enginesReleased(now);
            }
        } else if (defect == InjectedDefect.OLDER_ROW_WINS) {
            row.planNumber = planNumber;
        }
    }

    private void applyEvent(long now, int cell, Event event) {
        CellRow row = rows[cell];
        for (Transition transition : TRANSITIONS) {
            if (transition.state == row.state && transition.event == event) {
                row.state = transition.next;
                String cellName = plan.cells().get(cell).name();
                switch (transition.effect) {
                    case NONE -> {}
                    case FIRST_HEARD ->
                            actions.logCellEvent(
                                    now, "met", cellName, row.aliveManagers + " of it are here");
                    case LOST ->
                            actions.logCellEvent(
                                    now,
                                    "silent",
                                    cellName,
                                    "no row for " + SILENT_AFTER / SEND_INTERVAL + " s");
                    case HEARD_AGAIN ->
                            actions.logCellEvent(
                                    now,
                                    "heard again",
                                    cellName,
                                    row.aliveManagers + " of it are here");
                }
                return;
            }
        }
    }

    private BigEndianBytes newMessage(int bytes) {
        return new BigEndianBytes(new byte[HEADER_BYTES + bytes])
                .put(VERSION, 1)
                .put(fleetHash, 4)
                .put(plan.number(), 4)
                .put(planFingerprint, 4);
    }

    private void writeRow(BigEndianBytes writer, int cell) {
        CellRow row = rows[cell];
        writer.put(cell, 2)
                .put(row.timestamp, 4)
                .put(row.planNumber, 4)
                .put(Math.min(MAX_BYTE, row.aliveManagers), 1)
                .put(Math.min(MAX_BYTE, row.sheddingThreshold), 1);
    }

    /** All rows that are known, or as many as a datagram holds, by turns. */
    private byte[] encodeDatagram() {
        List<Integer> selected = new ArrayList<>();
        int room = (MAX_DATAGRAM_BYTES - HEADER_BYTES) / ROW_BYTES;
        for (int i = 0; i < rows.length && selected.size() < room; i++) {
            int cell = (nextDatagramRow + i) % rows.length;
            if (rows[cell].state == CellState.ACTIVE) {
                selected.add(cell);
            }
        }
        nextDatagramRow = (nextDatagramRow + room) % rows.length;
        BigEndianBytes writer = newMessage(selected.size() * ROW_BYTES);
        selected.forEach(cell -> writeRow(writer, cell));
        return writer.bytes();
    }

    /**
     * The rows for a message within the cell, followed by {@code rest}, the digest of the fleet
     * coordinator.
     */
    public byte[] encodeDigest(byte[] rest) {
        List<Integer> selected = new ArrayList<>();
        for (int i = newRows.size(); i > 0 && selected.size() < MAX_ROWS_PER_MESSAGE; i--) {
            int cell = newRows.poll();
            selected.add(cell);
            if (--rows[cell].sendsLeft > 0) {
                newRows.add(cell);
            }
        }
        int most = Math.min(MAX_ROWS_PER_MESSAGE, selected.size() + ROWS_BY_TURNS);
        for (int i = 0; i < rows.length && selected.size() < most; i++) {
            lastDigestRow = (lastDigestRow + 1) % rows.length;
            if (rows[lastDigestRow].state == CellState.ACTIVE
                    && !selected.contains(lastDigestRow)) {
                selected.add(lastDigestRow);
            }
        }
        BigEndianBytes writer =
                newMessage(1 + selected.size() * ROW_BYTES + rest.length).put(selected.size(), 1);
        selected.forEach(cell -> writeRow(writer, cell));
        return writer.put(rest).bytes();
    }

    /**
     * Takes the rows out of a digest from the manager of this slot of the cell, and returns the
     * rest; empty where it can't be read.
     */
    public byte[] onDigest(long now, int slot, byte[] bytes) {
        BigEndianBytes reader = new BigEndianBytes(bytes);
        int number = readHeader(now, reader);
        if (number < 0 || reader.remaining() == 0) {
            return new byte[0];
        }
        // A manager never goes back to an older plan: an old message, received again, takes
        // nothing away.
        planNumberBySlot[slot] = Math.max(planNumberBySlot[slot], number);
        int count = reader.read(1);
        if (reader.remaining() < count * ROW_BYTES) {
            reject("spoilt rows");
            return new byte[0];
        }
        for (int i = 0; i < count; i++) {
            readRow(now, reader);
        }
        return reader.readRest();
    }

    /** A datagram from a manager of another cell. */
    public void onDatagram(long now, byte[] datagram) {
        BigEndianBytes reader = new BigEndianBytes(datagram);
        if (readHeader(now, reader) < 0) {
            return;
        }
        if (reader.remaining() % ROW_BYTES != 0) {
            reject("spoilt rows");
            return;
        }
        while (reader.remaining() > 0) {
            readRow(now, reader);
        }
    }

    /** The number of the sender's plan; -1 where it is of another fleet, form or plan. */
    private int readHeader(long now, BigEndianBytes reader) {
        if (reader.remaining() < HEADER_BYTES || reader.read(1) != VERSION) {
            reject("another form");
            return -1;
        }
        if (reader.read(4) != fleetHash) {
            reject("another fleet");
            return -1;
        }
        int planNumber = reader.read(4);
        int fingerprint = reader.read(4);
        if (planNumber == plan.number() && fingerprint != planFingerprint) {
            reject("another plan of this number");
            if (!planConflictLogged) {
                planConflictLogged = true;
                actions.logCellEvent(
                        now,
                        "differs",
                        plan.cells().get(ownCell).name(),
                        "two plans have the number "
                                + planNumber
                                + "; give the later one a higher number");
            }
            return -1;
        }
        return Math.max(0, planNumber);
    }

    /** Cells keep their places from one plan to the next; new ones are added at the end. */
    private void readRow(long now, BigEndianBytes reader) {
        int cell = reader.read(2);
        int timestamp = reader.read(4);
        int planNumber = reader.read(4);
        int aliveManagers = reader.read(1);
        int sheddingThreshold = reader.read(1);
        if (cell < rows.length) {
            applyRow(now, cell, timestamp, planNumber, aliveManagers, sheddingThreshold);
        }
    }

    private void reject(String why) {
        rejectedMessages.merge(why, 1L, Long::sum);
    }
}
