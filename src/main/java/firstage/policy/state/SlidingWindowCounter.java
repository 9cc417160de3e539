package firstage.policy.state;

import java.util.ArrayDeque;

/**
 * Sums amounts over a sliding window, which is cut into pieces; a piece is as old as its first
 * amount. Times are in ticks.
 */
public final class SlidingWindowCounter {
    private static final class Piece {
        private final long startedAt;
        private double sum;

        private Piece(long startedAt) {
            this.startedAt = startedAt;
        }
    }

    private final ArrayDeque<Piece> pieces = new ArrayDeque<>();
    private final long span;
    private final long pieceSpan;

    /** A window over so many ticks, in so many pieces. */
    public SlidingWindowCounter(long span, int pieces) {
        this.span = span;
        this.pieceSpan = span / pieces;
    }

    /** Adds an amount now. */
    public void add(long now, double amount) {
        while (!pieces.isEmpty() && pieces.peek().startedAt < now - span - pieceSpan) {
            pieces.poll();
        }
        if (pieces.isEmpty() || now - pieces.peekLast().startedAt > pieceSpan) {
            pieces.add(new Piece(now));
        }
        pieces.peekLast().sum += amount;
    }

    /** The sum of the pieces that lie wholly within the window: never too much. */
    public double lowerBound(long now) {
        return sumSince(now - span);
    }

    /** The sum of the pieces that touch the window: never too little. */
    public double upperBound(long now) {
        return sumSince(now - span - pieceSpan);
    }

    private double sumSince(long from) {
        double sum = 0;
        for (Piece piece : pieces) {
            sum += piece.startedAt >= from ? piece.sum : 0;
        }
        return sum;
    }
}
