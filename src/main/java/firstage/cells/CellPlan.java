package firstage.cells;

import firstage.overload.RendezvousHash;
import java.util.List;
import java.util.stream.IntStream;
import net.openhft.hashing.LongHashFunction;

/**
 * Plan of a fleet's cells and of the engines that each serves, as all managers read it from their
 * files. An engine belongs to {@code spread} cells of its own zone, the first by rendezvous hashing
 * of its id and the names of the cells. Managers that hold the same plan compute the same
 * assignment without a message, and a cell that is added or removed moves no engine between two
 * others.
 *
 * @param number number of the plan, higher than that of the plan before it
 * @param spread number of cells that serve each engine
 */
public record CellPlan(int number, int spread, List<Cell> cells) {
    /**
     * Fraction of the warm-up budget for cells that gain an engine; they learn only from messages
     * whether the other cells have released it.
     */
    private static final double GAINING_CELLS_FRACTION = 0.125;

    /**
     * A cell of the plan.
     *
     * @param slots number of its managers
     * @param serves false for a cell whose engines are taken over by others
     */
    public record Cell(String name, String zone, int slots, boolean serves) {}

    /**
     * Returns a hash that is equal for equal plans. Plans of the same number with different
     * fingerprints are a mistake of an operator.
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

    /** Returns the index of a cell; -1 for an unknown name. */
    public int indexOf(String name) {
        return IntStream.range(0, cells.size())
                .filter(cell -> cells.get(cell).name.equals(name))
                .findFirst()
                .orElse(-1);
    }

    /**
     * Returns the share of each engine that one manager of this cell uses; for every engine the
     * shares of all managers that serve it add up to one.
     */
    public double sharePerManager(int cell) {
        return 1.0 / (spread * cells.get(cell).slots);
    }

    /**
     * Returns the share of an engine's warm-up budget for one manager of this cell, which serves
     * the engine. The share depends on the two plans alone, so that the rule on engines that are
     * warming up depends on no message: cells that serve the engine by the previous plan divide
     * seven eighths, including those that lose it and do not know the new plan yet; cells that gain
     * it divide the rest.
     *
     * @param previousPlan the plan that this one replaces, or null
     */
    public double warmUpShare(CellPlan previousPlan, int cell, long engine, String zone) {
        if (previousPlan == null) {
            return sharePerManager(cell) * (1 - GAINING_CELLS_FRACTION);
        }
        return previousPlan.serves(cell, engine, zone)
                ? Math.min(sharePerManager(cell), previousPlan.sharePerManager(cell))
                        * (1 - GAINING_CELLS_FRACTION)
                : sharePerManager(cell) * GAINING_CELLS_FRACTION;
    }

    /**
     * Returns the indices of the cells that serve an engine; empty if no cell of its zone serves.
     */
    public List<Integer> servingCells(long engine, String zone) {
        return IntStream.range(0, cells.size())
                .filter(cell -> serves(cell, engine, zone))
                .boxed()
                .toList();
    }

    /**
     * Returns whether this cell is among those that serve the engine: fewer than {@code spread}
     * serving cells of its zone rank before it.
     */
    public boolean serves(int cell, long engine, String zone) {
        Cell self = cells.get(cell);
        if (!self.serves || !self.zone.equals(zone)) {
            return false;
        }
        long rank = RendezvousHash.rank(engine, self.name);
        int rankedBefore = 0;
        for (Cell other : cells) {
            if (other != self && other.serves && other.zone.equals(zone)) {
                long otherRank = RendezvousHash.rank(engine, other.name);
                rankedBefore +=
                        Long.compareUnsigned(otherRank, rank) > 0
                                        || otherRank == rank && other.name.compareTo(self.name) < 0
                                ? 1
                                : 0;
            }
        }
        return rankedBefore < spread;
    }
}
