package firstage.cells;

import firstage.overload.RendezvousHash;
import java.util.List;
import java.util.stream.IntStream;
import net.openhft.hashing.LongHashFunction;

/**
 * Which cells there are and which engines each serves, as all managers have it from their files. An
 * engine belongs to so many cells of its own zone ({@code spread}), the first by rendezvous of its
 * id and the cells' names: who holds the same plan answers alike without a word, and a cell that
 * comes or goes moves no engine between two others.
 *
 * <p>{@code number}: a later plan has a higher one.
 */
public record CellPlan(int number, int spread, List<Cell> cells) {
    /**
     * Of what a cold engine bears, for cells that gain it: what others gave up is known by their
     * word alone.
     */
    private static final double GAINING_CELLS_FRACTION = 0.125;

    /**
     * {@code slots}: managers in it; {@code serves}: false for one whose engines are taken over by
     * others.
     */
    public record Cell(String name, String zone, int slots, boolean serves) {}

    /** What makes two plans the same; equal numbers with different marks are an operator's slip. */
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

    /** The place of a cell; -1 where there is none of the name. */
    public int indexOf(String name) {
        return IntStream.range(0, cells.size())
                .filter(cell -> cells.get(cell).name.equals(name))
                .findFirst()
                .orElse(-1);
    }

    /**
     * The part of each engine that one manager of this cell has: over all that serve an engine they
     * make one.
     */
    public double share(int cell) {
        return 1.0 / (spread * cells.get(cell).slots);
    }

    /**
     * Of what an engine bears while it is cold, the part of one manager of this cell, which it
     * serves. It rests on the two plans alone, as the rule on cold engines rests on nobody's word:
     * those that have an engine by the plan before share seven eighths of that, also such as lose
     * it and have not heard; those that gain it, the rest. {@code before}: the plan that this one
     * replaces, or null.
     */
    public double warmUpShare(CellPlan previousPlan, int cell, long engine, String zone) {
        if (previousPlan == null) {
            return share(cell) * (1 - GAINING_CELLS_FRACTION);
        }
        return previousPlan.serves(cell, engine, zone)
                ? Math.min(share(cell), previousPlan.share(cell)) * (1 - GAINING_CELLS_FRACTION)
                : share(cell) * GAINING_CELLS_FRACTION;
    }

    /** The cells that serve an engine, by place; none where its zone has none. */
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
