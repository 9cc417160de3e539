package firstage.simulation;

import java.util.Arrays;
import java.util.List;

/** The course of the traffic over a run, as a factor on the mean rate at each point of the run. */
enum TrafficShape {
    /** Constant traffic. */
    STEADY("steady") {
        @Override
        double factor(double at, double swing) {
            return 1;
        }
    },
    /** One sine wave over the run. */
    WAVE("wave") {
        @Override
        double factor(double at, double swing) {
            return 1 + swing * Math.sin(2 * Math.PI * at);
        }
    },
    /**
     * Seven days compressed into the run, with peaks before dawn and after sunset and a low around
     * noon.
     */
    RAMADAN_WEEK("ramadan-week") {
        @Override
        double factor(double at, double swing) {
            double hour = at * 7 * 24 % 24;
            double beforeDawn = bell(hour, 3.5, 1.2);
            double afterSunset = bell(hour, 19.5, 2.0);
            double noon = bell(hour, 13, 3);
            return Math.max(0.1, 1 + swing * (2.2 * beforeDawn + 2.6 * afterSunset - 0.9 * noon));
        }
    },
    /** Traffic of reports, which rises over the run as over a month and peaks in its last tenth. */
    MONTH_END("month-end") {
        @Override
        double factor(double at, double swing) {
            return 1 - swing / 2 + swing * at + (at > 0.9 ? 2 * swing * (at - 0.9) / 0.1 : 0);
        }
    },
    /** Low traffic until a sale starts at a third of the run: a steep rise, then a slow fall. */
    SALES("sales") {
        @Override
        double factor(double at, double swing) {
            return at < 0.33 ? 1 - swing / 2 : 1 + 3 * swing * Math.exp(-(at - 0.33) * 6);
        }
    };

    static final List<String> NAMES = Arrays.stream(values()).map(s -> s.planName).toList();
    private final String planName;

    TrafficShape(String planName) {
        this.planName = planName;
    }

    static TrafficShape of(String planName) {
        return values()[NAMES.indexOf(planName)];
    }

    /**
     * Returns the factor on the mean rate.
     *
     * @param at the share of the run that has passed, from 0 to 1
     * @param swing how strongly the factor varies
     */
    abstract double factor(double at, double swing);

    private static double bell(double hour, double center, double width) {
        double distance = Math.min(Math.abs(hour - center), 24 - Math.abs(hour - center)) / width;
        return Math.exp(-distance * distance / 2);
    }
}
