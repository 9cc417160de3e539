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
 * Tracks what a manager knows of the other cells, and decides which engines it may use.
 *
 * <p><b>Rows.</b> Each cell publishes one row of fixed size about itself: a timestamp, the lowest
 * plan number that its managers hold, the number of its alive managers and its load-shedding
 * threshold. The delegates of the cell, the first three managers by rendezvous hashing over its
 * view, renew the row; once a second each of them sends all rows that it knows to one random
 * manager of one random other cell. Within a cell, rows travel with the membership messages, a few
 * on each: new rows first, the others in turn. The data that a manager sends and holds therefore
 * grows by only 12 bytes for each cell of the fleet.
 *
 * <p><b>Engines.</b> A manager holds one plan during its whole life and, during a change of plans,
 * also the previous plan. It uses its share of an engine that both plans assign to its cell, and
 * does not use an engine that only the previous plan assigns to its cell. It uses an engine that
 * only the new plan assigns to its cell once the rows show that all managers of all cells that lose
 * the engine hold the new plan. Invariant: the shares of an engine never add up to more than the
 * whole, in whatever order managers restart, and whichever messages are lost, delayed or
 * duplicated, since each manager releases an engine before it reports the new plan, and never goes
 * back to the previous plan. A cell that sends no rows keeps its engines.
 *
 * <p>States of another cell: UNKNOWN (no row yet), ACTIVE, SILENT (its row was not renewed for a
 * long time). Times are in ticks of a monotonic clock.
 */
public final class CellDirectory {
    /** Number of delegates of a cell. Two may fail within a second; the next view has others. */
    private static final int DELEGATES = 3;

    /**
     * Interval between two datagrams of a delegate; each has about 1 KB, whatever the fleet's size.
     */
    private static final long SEND_INTERVAL = Ticks.ofSeconds(1);

    /** Interval between renewals of a row that does not change. */
    private static final long ROW_INTERVAL = Ticks.ofSeconds(5);

    /**
     * Age of a row after which its cell counts as silent: five renewals, some of which may still be
     * in transit.
     */
    private static final long SILENT_AFTER = Ticks.ofSeconds(25);

    /** Interval between renewals of a row while the view keeps changing. */
    private static final long MIN_ROW_INTERVAL = Ticks.ofMillis(500);

    /** Interval between two checks for rows that were not renewed. */
    private static final long EXPIRY_CHECK_INTERVAL = Ticks.ofMillis(500);

    /** Maximum number of rows on a membership message; they take 72 bytes. */
    private static final int MAX_ROWS_PER_MESSAGE = 6;

    /** Number of messages on which each manager sends a new row ahead of the others. */
    private static final int SENDS_PER_NEW_ROW = 2;

    /**
     * Number of rows on a message that are taken in turn, new or not, so that a manager also
     * receives a row if the messages that carried it as new went to other managers or were lost.
     */
    private static final int ROWS_IN_TURN = 2;

    /** Maximum size of a datagram; with its headers it stays below the minimum MTU of IPv6. */
    private static final int MAX_DATAGRAM_BYTES = 1_200;

    /** Size of the header: version, fleet, number and fingerprint of the plan. */
    private static final int HEADER_BYTES = 1 + 3 * Integer.BYTES;

    /** Size of a row: cell, timestamp, plan number, alive managers, load-shedding threshold. */
    private static final int ROW_BYTES = Short.BYTES + 2 * Integer.BYTES + 2;

    private static final int VERSION = 1;
    private static final int MAX_UNSIGNED_BYTE = 255;
    private static final long NEVER = Long.MIN_VALUE / 4;

    /** Defects that tests inject one at a time, to prove that the checks detect them. */
    public enum InjectedDefect {
        NONE,
        /** A delegate sends its rows to all cells instead of one. */
        SENT_TO_ALL_CELLS,
        /** The delegates are the first managers of the largest view so far, alive or not. */
        FIXED_DELEGATES,
        /** A gained engine is used before other cells have released it. */
        GAINS_BEFORE_RELEASE,
        /** The lowest plan number of a cell ignores managers that have not sent theirs. */
        SILENT_MANAGERS_IGNORED,
        /** A row replaces the known row of its cell even if it is older. */
        OLDER_ROW_WINS,
        /** A cell that gains an engine takes the warm-up share of a cell that served it before. */
        GAINS_WARM_UP_SHARE
    }

    /**
     * State of another cell: no row was received yet, its row was renewed lately, or its row was
     * not renewed.
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

    /** Transitions of a cell; an event that is not in the table for a state changes nothing. */
    private static final Transition[] TRANSITIONS = {
        new Transition(CellState.UNKNOWN, Event.NEWER_ROW, CellState.ACTIVE, Effect.FIRST_HEARD),
        new Transition(CellState.ACTIVE, Event.NEWER_ROW, CellState.ACTIVE, Effect.NONE),
        new Transition(CellState.ACTIVE, Event.ROW_EXPIRED, CellState.SILENT, Effect.LOST),
        new Transition(CellState.SILENT, Event.NEWER_ROW, CellState.ACTIVE, Effect.HEARD_AGAIN),
    };

    /**
     * Status of a cell as known to this manager.
     *
     * @param age ticks since a newer row was received, -1 for never
     * @param planNumber lowest plan number that the managers of the cell hold
     * @param slots number of managers that the plan assigns to the cell
     * @param sheddingThreshold priority band below which the cell refuses requests; 0 for none
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

    /** Plan number that the manager of each slot of this cell has sent; 0 for none. */
    private final int[] planNumberBySlot;

    private final ArrayDeque<Integer> newRows = new ArrayDeque<>();
    private final Map<String, Long> rejectedMessages = new HashMap<>();
    private List<String> view;

    /** Largest view so far; used by an injected defect only. */
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
     * Creates the directory of one manager.
     *
     * @param previousPlan the plan that {@code plan} replaces, or null
     * @param ownCell index of this manager's cell
     * @param ownSlot this manager's slot in its cell
     * @param name name of this manager
     * @param fleet name of the fleet
     * @param startedAtUnixMs Unix time in ms at which this process started
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

    /** Returns whether this manager may use its share of an engine now. */
    public boolean mayUse(long engine, String zone) {
        return plan.serves(ownCell, engine, zone)
                && (previousPlan == null
                        || previousPlan.serves(ownCell, engine, zone)
                        || defect == InjectedDefect.GAINS_BEFORE_RELEASE
                        || releasedByFormerCells(engine, zone));
    }

    /**
     * Returns this manager's share of an engine's warm-up budget; see {@link CellPlan#warmUpShare}.
     */
    public double warmUpShare(long engine, String zone) {
        return plan.warmUpShare(
                defect == InjectedDefect.GAINS_WARM_UP_SHARE ? null : previousPlan,
                ownCell,
                engine,
                zone);
    }

    /**
     * Returns whether the plan assigns the engine to this cell, but other cells may not have
     * released it yet.
     */
    public boolean awaitsRelease(long engine, String zone) {
        return plan.serves(ownCell, engine, zone) && !mayUse(engine, zone);
    }

    /**
     * Returns whether all managers of all cells that lose the engine are known to hold the new
     * plan.
     */
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

    /** Returns the names of the cells in which not all managers are known to hold this plan. */
    public List<String> cellsBehindPlan() {
        List<String> names = new ArrayList<>();
        for (int cell = 0; cell < rows.length; cell++) {
            if (rows[cell].planNumber < plan.number()) {
                names.add(plan.cells().get(cell).name());
            }
        }
        return names;
    }

    /** Returns the status of each cell, in the plan's order. */
    public List<CellStatus> cellStatuses(long now) {
        List<CellStatus> statuses = new ArrayList<>();
        for (int cell = 0; cell < rows.length; cell++) {
            CellPlan.Cell planned = plan.cells().get(cell);
            CellRow row = rows[cell];
            statuses.add(
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
        return statuses;
    }

    /** Returns the number of messages that were ignored, by cause. */
    public Map<String, Long> rejectedMessages() {
        return rejectedMessages;
    }

    /** Records the names of the alive managers of this cell. */
    public void onViewChanged(List<String> names) {
        view = names;
        largestView = names.size() > largestView.size() ? names : largestView;
        viewChanged = true;
    }

    /** Expires, renews and sends the rows that are due. To be called about every 20 ms. */
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
            // Unless the view has changed, the second and the third delegate renew the row only if
            // those ranked before them do not.
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

    /**
     * Returns this manager's rank among the alive managers of its cell; the first ones are its
     * delegates.
     */
    private long delegateRank() {
        List<String> candidates = defect == InjectedDefect.FIXED_DELEGATES ? largestView : view;
        return RendezvousHash.countBefore(ownCell, candidates, name);
    }

    /**
     * Returns the lowest plan number in this cell. Only numbers that managers have sent themselves
     * count: a manager that has sent none may hold the old plan and use its engines, so its number
     * is taken as 0.
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
        int unixSeconds = (int) (startedAtUnixS + (now - startedAt) / SEND_INTERVAL);
        applyRow(
                now,
                ownCell,
                row.receivedAt != NEVER && row.timestamp - unixSeconds >= 0
                        ? row.timestamp + 1
                        : unixSeconds,
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
        int target = random.nextInt(rows.length - 1);
        send(target >= ownCell ? target + 1 : target, datagram);
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
        // A plan number never goes down: an old row that is received again changes nothing.
        if (planNumber > row.planNumber) {
            row.planNumber = planNumber;
            if (previousPlan != null && planNumber >= plan.number()) {
                actions.logCellEvent(
                        now,
                        "follows",
                        plan.cells().get(cell).name(),
                        "all managers of the cell hold plan " + plan.number());
                actions.onEnginesReleased(now);
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
                                    now,
                                    "met",
                                    cellName,
                                    row.aliveManagers + " managers are alive");
                    case LOST ->
                            actions.logCellEvent(
                                    now,
                                    "silent",
                                    cellName,
                                    "no row received for " + SILENT_AFTER / SEND_INTERVAL + " s");
                    case HEARD_AGAIN ->
                            actions.logCellEvent(
                                    now,
                                    "heard again",
                                    cellName,
                                    row.aliveManagers + " managers are alive");
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
                .put(Math.min(MAX_UNSIGNED_BYTE, row.aliveManagers), 1)
                .put(Math.min(MAX_UNSIGNED_BYTE, row.sheddingThreshold), 1);
    }

    /**
     * Encodes all known rows, or, if there are more than a datagram holds, the next ones in turn.
     */
    private byte[] encodeDatagram() {
        List<Integer> selected = new ArrayList<>();
        int maxRows = (MAX_DATAGRAM_BYTES - HEADER_BYTES) / ROW_BYTES;
        for (int i = 0; i < rows.length && selected.size() < maxRows; i++) {
            int cell = (nextDatagramRow + i) % rows.length;
            if (rows[cell].state == CellState.ACTIVE) {
                selected.add(cell);
            }
        }
        nextDatagramRow = (nextDatagramRow + maxRows) % rows.length;
        BigEndianBytes writer = newMessage(selected.size() * ROW_BYTES);
        selected.forEach(cell -> writeRow(writer, cell));
        return writer.bytes();
    }

    /**
     * Returns the rows for a message within the cell, followed by the digest of the fleet
     * coordinator.
     */
    public byte[] encodeDigest(byte[] coordinatorDigest) {
        List<Integer> selected = new ArrayList<>();
        for (int i = newRows.size(); i > 0 && selected.size() < MAX_ROWS_PER_MESSAGE; i--) {
            int cell = newRows.poll();
            selected.add(cell);
            if (--rows[cell].sendsLeft > 0) {
                newRows.add(cell);
            }
        }
        int maxSelected = Math.min(MAX_ROWS_PER_MESSAGE, selected.size() + ROWS_IN_TURN);
        for (int i = 0; i < rows.length && selected.size() < maxSelected; i++) {
            lastDigestRow = (lastDigestRow + 1) % rows.length;
            if (rows[lastDigestRow].state == CellState.ACTIVE
                    && !selected.contains(lastDigestRow)) {
                selected.add(lastDigestRow);
            }
        }
        BigEndianBytes writer =
                newMessage(1 + selected.size() * ROW_BYTES + coordinatorDigest.length)
                        .put(selected.size(), 1);
        selected.forEach(cell -> writeRow(writer, cell));
        return writer.put(coordinatorDigest).bytes();
    }

    /**
     * Applies the rows of a digest that the manager of this slot of the cell has sent, and returns
     * the remaining bytes, the digest of its fleet coordinator; empty if the digest can't be read.
     */
    public byte[] onDigest(long now, int slot, byte[] bytes) {
        BigEndianBytes reader = new BigEndianBytes(bytes);
        int number = readHeader(now, reader);
        if (number < 0 || reader.remaining() == 0) {
            return new byte[0];
        }
        // A manager never goes back to an older plan: an old message that is received again changes
        // nothing.
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

    /** Applies the rows of a datagram from a manager of another cell. */
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

    /**
     * Reads the header and returns the number of the sender's plan; -1 if the sender belongs to
     * another fleet, uses another version, or holds another plan of the same number.
     */
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
                        "two different plans have the number "
                                + planNumber
                                + "; give the later one a higher number");
            }
            return -1;
        }
        return Math.max(0, planNumber);
    }

    /**
     * Reads a row and applies it. Cells keep their index from one plan to the next, and new cells
     * are added at the end, so a row of an unknown cell belongs to a later plan and is skipped.
     */
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

    private void reject(String cause) {
        rejectedMessages.merge(cause, 1L, Long::sum);
    }
}
