package firstage.policy.state;

import java.util.ArrayDeque;

/** Adds up amounts over a sliding window in pieces; a piece is as old as its first entry. */
public final class SlidingWindowCounter {
    private final ArrayDeque<double[]> pieces = new ArrayDeque<>();
    private final long span;
    private final long piece;

    public SlidingWindowCounter(long span, int pieces) {
        this.span = span;
        this.piece = span / pieces;
    }

    public void add(long now, double amount) {
        while (!pieces.isEmpty() && pieces.peek()[0] < now - span - piece) {
            pieces.poll();
        }
        if (pieces.isEmpty() || now - pieces.peekLast()[0] > piece) {
            pieces.add(new double[] {now, 0});
        }
        pieces.peekLast()[1] += amount;
    }

    /** What was added in pieces that lie wholly within the window: never too much. */
    public double lowerBound(long now) {
        return sum(now - span);
    }

    /** What was added in pieces that touch the window: never too little. */
    public double upperBound(long now) {
        return sum(now - span - piece);
    }

    private double sum(long from) {
        double sum = 0;
        for (double[] one : pieces) {
            sum += one[0] >= from ? one[1] : 0;
        }
        return sum;
    }
}
