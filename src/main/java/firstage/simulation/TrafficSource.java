package firstage.simulation;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Random source of the clients' requests: their arrival, traffic class, tenant, ordering key, table
 * group, work and estimates. Ordering keys and table groups follow Zipf distributions.
 */
public final class TrafficSource {
    private final FleetPlan plan;
    private final TrafficShape shape;
    private final RandomGenerator random;

    /**
     * Cumulative shares of the traffic classes, from which {@link #drawIndex} draws an index; the
     * other arrays serve the same purpose for tenants, ordering keys and table groups.
     */
    private final double[] trafficClassBounds;

    private final double[] tenantBounds;
    private final double[] keyBounds;
    private final double[] tableGroupBounds;

    /** Upper bound of the shape's factor on the mean rate. */
    private final double peakFactor;

    private long nextId;

    public TrafficSource(FleetPlan plan, RandomStreams streams) {
        this.plan = plan;
        shape = TrafficShape.of(plan.traffic().shape());
        random = streams.stream("traffic", 0);
        trafficClassBounds =
                cumulate(
                        plan.trafficClasses().stream()
                                .mapToDouble(FleetPlan.TrafficClassPlan::share)
                                .toArray());
        tenantBounds =
                cumulate(
                        plan.tenants().stream().mapToDouble(FleetPlan.TenantPlan::share).toArray());
        keyBounds = cumulate(zipfWeights(plan.traffic().keys(), plan.traffic().keySkew()));
        tableGroupBounds =
                cumulate(
                        zipfWeights(plan.traffic().tableGroups(), plan.traffic().tableGroupSkew()));
        double highestFactor = 0;
        for (int i = 0; i <= 2_000; i++) {
            highestFactor =
                    Math.max(highestFactor, shape.factor(i / 2_000.0, plan.traffic().swing()));
        }
        peakFactor = highestFactor * 1.1;
    }

    private static double[] zipfWeights(int count, double skew) {
        double[] weights = new double[count];
        for (int i = 0; i < count; i++) {
            weights[i] = Math.pow(i + 1, -skew);
        }
        return weights;
    }

    private static double[] cumulate(double[] weights) {
        double[] cumulative = new double[weights.length];
        double sum = 0;
        for (int i = 0; i < weights.length; i++) {
            sum += weights[i];
            cumulative[i] = sum;
        }
        return cumulative;
    }

    private int drawIndex(double[] bounds) {
        double drawn = random.nextDouble() * bounds[bounds.length - 1];
        int low = 0;
        int high = bounds.length - 1;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (bounds[middle] > drawn) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }

    /**
     * Returns the time of the next request after {@code now}, by thinning a Poisson process of the
     * highest rate.
     */
    public long nextArrival(long now, long start, double trafficFactor) {
        double meanInterval = 10_000 / (plan.traffic().rate() * peakFactor * trafficFactor);
        long arrival = now;
        do {
            arrival += Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * meanInterval));
        } while (random.nextDouble() * peakFactor
                > shape.factor(
                        Math.min(1, (double) (arrival - start) / plan.length()),
                        plan.traffic().swing()));
        return arrival;
    }

    /**
     * Draws a request that arrives at {@code now}.
     *
     * @param activeDisturbances the present disturbances that make requests more expensive
     */
    public GeneratedRequest draw(long now, List<FleetPlan.Disturbance> activeDisturbances) {
        int classIndex = drawIndex(trafficClassBounds);
        FleetPlan.TrafficClassPlan trafficClass = plan.trafficClasses().get(classIndex);
        double normal = random.nextGaussian();
        double work =
                trafficClass.work()
                        * Math.exp(
                                trafficClass.workSpread() * normal
                                        - trafficClass.workSpread()
                                                * trafficClass.workSpread()
                                                / 2);
        double workSeenByEstimate = work;
        double uniform = random.nextDouble();
        for (FleetPlan.Disturbance disturbance : activeDisturbances) {
            if (disturbance.trafficClass() == classIndex && uniform < disturbance.extra()) {
                work *= disturbance.size();
                workSeenByEstimate =
                        disturbance.kind() == FleetPlan.Disturbance.Kind.EXPENSIVE
                                ? work
                                : workSeenByEstimate;
            }
        }
        double memory = trafficClass.memoryMb() * Math.exp(0.5 * random.nextGaussian());
        double workError =
                trafficClass.estimateFactor()
                        * Math.exp(trafficClass.estimateScatter() * random.nextGaussian());
        double memoryError = Math.exp(trafficClass.estimateScatter() * random.nextGaussian());
        int tenant = drawIndex(tenantBounds);
        int orderingKey =
                trafficClass.ordered() && plan.traffic().keys() > 0 ? drawIndex(keyBounds) : -1;
        return new GeneratedRequest(
                nextId++,
                classIndex,
                tenant,
                orderingKey,
                drawIndex(tableGroupBounds),
                now,
                now + trafficClass.timeout(),
                Math.max(1, work),
                memory,
                Math.max(1, Math.round(workSeenByEstimate * workError)),
                (int) Math.max(1, memory * memoryError));
    }
}
