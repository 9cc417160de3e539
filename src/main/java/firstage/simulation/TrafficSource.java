package firstage.simulation;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Draws what clients ask for: unequal customers, keys and tables of unequal heat, work and
 * estimates that scatter.
 */
public final class TrafficSource {
    private final FleetPlan plan;
    private final TrafficShape shape;
    private final RandomGenerator chance;
    private final double[] groupEnds;
    private final double[] customerEnds;
    private final double[] keyEnds;
    private final double[] tableEnds;
    private final double most;
    private long ids;

    public TrafficSource(FleetPlan plan, RandomStreams streams) {
        this.plan = plan;
        shape = TrafficShape.of(plan.traffic().shape());
        chance = streams.of("traffic", 0);
        groupEnds =
                ends(
                        plan.trafficClasses().stream()
                                .mapToDouble(FleetPlan.TrafficClassPlan::share)
                                .toArray());
        customerEnds =
                ends(plan.tenants().stream().mapToDouble(FleetPlan.TenantPlan::share).toArray());
        keyEnds = ends(heat(plan.traffic().keys(), plan.traffic().keySkew()));
        tableEnds = ends(heat(plan.traffic().tableGroups(), plan.traffic().tableGroupSkew()));
        double high = 0;
        for (int i = 0; i <= 2_000; i++) {
            high = Math.max(high, shape.factor(i / 2_000.0, plan.traffic().swing()));
        }
        most = high * 1.1;
    }

    private static double[] heat(int count, double heat) {
        double[] shares = new double[count];
        for (int i = 0; i < count; i++) {
            shares[i] = Math.pow(i + 1, -heat);
        }
        return shares;
    }

    private static double[] ends(double[] shares) {
        double[] ends = new double[shares.length];
        double sum = 0;
        for (int i = 0; i < shares.length; i++) {
            sum += shares[i];
            ends[i] = sum;
        }
        return ends;
    }

    private int pick(double[] ends) {
        double at = chance.nextDouble() * ends[ends.length - 1];
        int low = 0;
        int high = ends.length - 1;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (ends[middle] > at) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }

    /** When the next batch comes after {@code now}, by thinning a stream of the highest rate. */
    public long next(long now, long start, double boost) {
        double mean = 10_000 / (plan.traffic().rate() * most * boost);
        long at = now;
        do {
            at += Math.max(1, Math.round(-Math.log(1 - chance.nextDouble()) * mean));
        } while (chance.nextDouble() * most
                > shape.factor(
                        Math.min(1, (double) (at - start) / plan.length()),
                        plan.traffic().swing()));
        return at;
    }

    /** {@code dear}: spells that are on, by their group. */
    public TrueRequest draw(long now, List<FleetPlan.Disturbance> dear) {
        int g = pick(groupEnds);
        FleetPlan.TrafficClassPlan group = plan.trafficClasses().get(g);
        double z = chance.nextGaussian();
        double work =
                group.work()
                        * Math.exp(
                                group.workSpread() * z
                                        - group.workSpread() * group.workSpread() / 2);
        double told = work;
        double lot = chance.nextDouble();
        for (FleetPlan.Disturbance t : dear) {
            if (t.trafficClass() == g && lot < t.extra()) {
                work *= t.size();
                told = t.kind() == FleetPlan.Disturbance.Kind.EXPENSIVE ? work : told;
            }
        }
        double memory = group.memoryMb() * Math.exp(0.5 * chance.nextGaussian());
        double off =
                group.estimateFactor() * Math.exp(group.estimateScatter() * chance.nextGaussian());
        double memoryOff = Math.exp(group.estimateScatter() * chance.nextGaussian());
        int customer = pick(customerEnds);
        int key = group.ordered() && plan.traffic().keys() > 0 ? pick(keyEnds) : -1;
        return new TrueRequest(
                ids++,
                g,
                customer,
                key,
                pick(tableEnds),
                now,
                now + group.timeout(),
                Math.max(1, work),
                memory,
                Math.max(1, Math.round(told * off)),
                (int) Math.max(1, memory * memoryOff));
    }
}
