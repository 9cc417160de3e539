package firstage.cells;

import firstage.overload.RendezvousHash;
import java.util.List;
import java.util.stream.IntStream;
import net.openhft.hashing.LongHashFunction;

/**
 * Which cells there are and which engines each serves, as all managers read it from their files. An
 * engine belongs to so many cells of its own zone ({@code spread}), the first by rendezvous hashing
 * of its id and the cells' names: who holds the same plan computes the same without a message, and
 * a cell that is added or removed moves no engine between two others.
 *
 * <p>{@code number}: a later plan has a higher one.
 */
public record CellPlan(int number, int spread, List<Cell> cells) {
    /**
     * Of the warm-up budget, for cells that gain an engine: that others released it is known by
     * their messages alone.
     */
    private static final double GAINING_CELLS_FRACTION = 0.125;

    /**
     * {@code slots}: managers in it; {@code serves}: false for one whose engines are taken over by
     * others.
     */
    public record Cell(String name, String zone, int slots, boolean serves) {}

    /**
     * Equal for equal plans; equal numbers with different fingerprints are an operator's mistake.
     */
    public int fingerprint() {
        StringBuilder text = new StringBuilder().append(number).append(' ').append(spread);
        cells.forEach(
                cell ->
                        text.append(' ')
                                .append(cell.name)
                                .append(' ')
                                .append(cell.zone)
                                .append(' ')
                                .append(cell.slots)
                                .append(' ')
                                .append(cell.serves));
        return (int) LongHashFunction.xx3().hashChars(text);
    }

    /** The index of a cell; -1 for an unknown name. */
    public int indexOf(String name) {
        return IntStream.range(0, cells.size())
                .filter(cell -> cells.get(cell).name.equals(name))
                .findFirst()
                .orElse(-1);
    }

    /**
     * The share of each engine that one manager of this cell has; over all that serve an engine the
     * sum is one.
     */
    public double share(int cell) {
        return 1.0 / (spread * cells.get(cell).slots);
    }

    /**
     * Of an engine's warm-up budget, the share of one manager of this cell, which serves it. It
     * depends on the two plans alone, so that the rule on engines that are warming up depends on no
     * message: cells that serve an engine by the previous plan divide seven eighths, also those
     * that lose it and have not heard; cells that gain it, the rest. {@code previousPlan}: the plan
     * that this one replaces, or null.
     */
    public double warmUpShare(CellPlan previousPlan, int cell, long engine, String zone) {
        if (previousPlan == null) {
            return share(cell) * (1 - GAINING_CELLS_FRACTION);
        }
        return previousPlan.serves(cell, engine, zone)
                ? Math.min(share(cell), previousPlan.share(cell)) * (1 - GAINING_CELLS_FRACTION)
                : share(cell) * GAINING_CELLS_FRACTION;
    }

    /** The cells that serve an engine, by index; none where its zone has none. */
    public List<Integer> servingCells(long engine, String zone) {
        return IntStream.range(0, cells.size())
                .filter(cell -> serves(cell, engine, zone))
                .boxed()
                .toList();
    }

    /**
     * Whether this cell is among those that serve the engine: fewer than the spread of its zone
     * come before it.
     */
    public boolean serves(int cell, long engine, String zone) {
        Cell self = cells.get(cell);
        if (!self.serves || !self.zone.equals(zone)) {
            return false;
        }
        long rank = RendezvousHash.rank(engine, self.name);
        int before = 0;
        for (Cell c : cells) {
            if (c != self && c.serves && c.zone.equals(zone)) {
                long otherRank = RendezvousHash.rank(engine, c.name);
                before +=
                        Long.compareUnsigned(otherRank, rank) > 0
                                        || otherRank == rank && c.name.compareTo(self.name) < 0
                                ? 1
                                : 0;
            }
        }
        return before < spread;
    }
}
