package firstage.simulation.schedule;

import firstage.membership.MembershipProtocol;
import firstage.membership.QuotaLeases;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.math3.stat.descriptive.DescriptiveStatistics;

/** The table of docs/membership.md, played in virtual time; all of it simulated. */
public final class MembershipFigures {
    private static final long SECOND = 10_000;

    private MembershipFigures() {}

    private static SimulatedMembership field(int count, long seed) {
        SimulatedMembership f =
                new SimulatedMembership(
                        count,
                        seed,
                        MembershipProtocol.InjectedDefect.NONE,
                        QuotaLeases.InjectedDefect.NONE);
        f.startAll();
        f.pass(5 * SECOND);
        f.changes();
        return f;
    }

    /** Figures by name, for so many managers and seeds. */
    public static Map<String, Double> play(int count, int seeds) {
        Map<String, Double> figures = new LinkedHashMap<>();
        DescriptiveStatistics known = new DescriptiveStatistics();
        DescriptiveStatistics half = new DescriptiveStatistics();
        DescriptiveStatistics halfViews = new DescriptiveStatistics();
        DescriptiveStatistics healed = new DescriptiveStatistics();
        DescriptiveStatistics bytes = new DescriptiveStatistics();
        DescriptiveStatistics start = new DescriptiveStatistics();
        double never = 0;
        for (long seed = 0; seed < seeds; seed++) {
            SimulatedMembership first =
                    new SimulatedMembership(
                            count,
                            seed,
                            MembershipProtocol.InjectedDefect.NONE,
                            QuotaLeases.InjectedDefect.NONE);
            long took = first.startAll();
            never += took < 0 ? 1 : 0;
            start.addValue(took / 1e4);
            SimulatedMembership f = field(count, seed);
            long before = f.places().stream().mapToLong(SimulatedMembership.Place::bytes).sum();
            f.pass(10 * SECOND);
            bytes.addValue(
                    (f.places().stream().mapToLong(SimulatedMembership.Place::bytes).sum() - before)
                            / 10.0
                            / count);
            f.places().get(0).kill();
            f.untilKnown(0, 20 * SECOND).forEach(t -> known.addValue(t < 0 ? 99 : t / 1e4));
            f = field(count, seed);
            List<SimulatedMembership.Place> all = new ArrayList<>(f.places());
            f.pass(f.chance().nextLong(SECOND));
            for (int i = 0; i < count / 2; i++) {
                all.get(2 * i).kill();
            }
            long agreed = f.untilAgreed(30 * SECOND);
            never += agreed < 0 ? 1 : 0;
            half.addValue(agreed / 1e4);
            halfViews.addValue((double) f.changes().size() / (count - count / 2));
            f = field(count, seed);
            split(f, count, true);
            f.pass(20 * SECOND);
            split(f, count, false);
            long one = f.untilAgreed(60 * SECOND);
            never += one < 0 ? 1 : 0;
            healed.addValue(one / 1e4);
        }
        figures.put("start to one view, s, median", start.getPercentile(50));
        figures.put("a killed one doubted everywhere, s, median", known.getPercentile(50));
        figures.put("a killed one doubted everywhere, s, 99th", known.getPercentile(99));
        figures.put("half killed, one view, s, median", half.getPercentile(50));
        figures.put("half killed, one view, s, most", half.getMax());
        figures.put("half killed, views on the way, most", halfViews.getMax());
        figures.put("split of 20 s healed, one view, s, median", healed.getPercentile(50));
        figures.put("split of 20 s healed, one view, s, most", healed.getMax());
        figures.put("bytes a second and manager", bytes.getMean());
        figures.put("never agreed", never);
        return figures;
    }

    private static void split(SimulatedMembership f, int count, boolean is) {
        for (int a = 0; a < count; a++) {
            for (int b = 0; b < count; b++) {
                if (a < count / 2 != b < count / 2) {
                    f.cut(a, b, is);
                }
            }
        }
    }

    /**
     * Live ones held for gone in so many minutes of pauses up to {@code most}, each 2 s one, with
     * 20% loss.
     */
    public static int falselyGone(int count, long seed, int minutes, long most) {
        SimulatedMembership f = field(count, seed);
        f.loses(0.2);
        for (int i = 0; i < minutes * 30; i++) {
            f.places()
                    .get(f.chance().nextInt(count))
                    .pause(most / 5 + f.chance().nextLong(most * 4 / 5));
            f.pass(2 * SECOND);
        }
        return f.falselyGone().size();
    }
}
