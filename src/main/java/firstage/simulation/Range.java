package firstage.simulation;

import java.util.random.RandomGenerator;

/** The range from which a run draws a value; both bounds are equal for a fixed value. */
public record Range(double low, double high) {
    public static Range of(double value) {
        return new Range(value, value);
    }

    public double draw(RandomGenerator random) {
        return low + (high - low) * random.nextDouble();
    }

    /** Draws a time, rounded to ticks. */
    public long drawTime(RandomGenerator random) {
        return Math.round(draw(random));
    }
}
