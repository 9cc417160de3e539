package firstage.simulation;

import java.util.random.RandomGenerator;

/** The range from which a run draws a value; both bounds are equal for a fixed value. */
public record Range(double low, double high) {
    public static Range of(double figure) {
        return new Range(figure, figure);
    }

    public double draw(RandomGenerator chance) {
        return low + (high - low) * chance.nextDouble();
    }

    /** Draws a time, rounded to ticks. */
    public long drawTime(RandomGenerator chance) {
        return Math.round(draw(chance));
    }
}
