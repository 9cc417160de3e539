package firstage.simulation;

import java.util.random.RandomGenerator;

/** A figure, or the range that a run draws it from. */
public record Range(double low, double high) {
    public static Range of(double figure) {
        return new Range(figure, figure);
    }

    public double draw(RandomGenerator chance) {
        return low + (high - low) * chance.nextDouble();
    }

    /** For times. */
    public long drawTime(RandomGenerator chance) {
        return Math.round(draw(chance));
    }
}
