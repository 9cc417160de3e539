package firstage.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * The service of a run so far: the priority weight earned by answers, over the priority weight of
 * all requests. An answer within the latency objective earns the whole weight of its request, a
 * late one the late value of the traffic class, and one after the deadline nothing; a request
 * counts once, with all its tries. The share is computed for the whole run, its worst 10 s, and the
 * traffic class and the tenant that are served worst; the service as a whole is their weighted
 * mean.
 */
public final class Scoreboard {
    /** Length of the intervals of which the worst is reported: 10 s. */
    private static final long INTERVAL = 100_000;

    /** Highest latency that the histograms record, 1 hour; higher ones are recorded as this one. */
    private static final long MAX_LATENCY = 36_000_000;

    private final FleetPlan plan;
    private final long start;

    /** Priority weight of the requests of each interval. */
    private final double[] requestedByInterval;

    /** Priority weight earned by the requests of each interval. */
    private final double[] earnedByInterval;

    /** Requested and earned priority weight, by traffic class. */
    private final double[][] weightsByTrafficClass;

    /** Requested and earned priority weight, by tenant. */
    private final double[][] weightsByTenant;

    private final List<Histogram> latencies = new ArrayList<>();
    private long requestCount;
    private long successCount;
    private long lateCount;
    private long rejectionCount;
    private long failureCount;

    public Scoreboard(FleetPlan plan, long start) {
        this.plan = plan;
        this.start = start;
        int intervals = (int) (plan.length() / INTERVAL) + 1;
        requestedByInterval = new double[intervals];
        earnedByInterval = new double[intervals];
        weightsByTrafficClass = new double[plan.trafficClasses().size()][2];
        weightsByTenant = new double[plan.tenants().size()][2];
        plan.trafficClasses().forEach(trafficClass -> latencies.add(new Histogram(MAX_LATENCY, 2)));
    }

    private int interval(GeneratedRequest request) {
        return (int)
                Math.min(
                        requestedByInterval.length - 1,
                        (request.firstRequestedAt - start) / INTERVAL);
    }

    public void onRequested(GeneratedRequest request) {
        double weight = plan.trafficClasses().get(request.trafficClass).priorityWeight();
        requestCount++;
        requestedByInterval[interval(request)] += weight;
        weightsByTrafficClass[request.trafficClass][0] += weight;
        weightsByTenant[request.tenant][0] += weight;
    }

    public void onSucceeded(long now, GeneratedRequest request) {
        FleetPlan.TrafficClassPlan trafficClass = plan.trafficClasses().get(request.trafficClass);
        long latencyTicks = now - request.firstRequestedAt;
        boolean inTime =
                latencyTicks
                        <= trafficClass.latencyObjective()
                                + trafficClass.latencyObjectivePerWork()
                                        * request.work
                                        / trafficClass.threads();
        double earned =
                now > request.deadline
                        ? 0
                        : trafficClass.priorityWeight()
                                * (inTime ? 1 : trafficClass.lateValueShare());
        successCount++;
        lateCount += inTime ? 0 : 1;
        earnedByInterval[interval(request)] += earned;
        weightsByTrafficClass[request.trafficClass][1] += earned;
        weightsByTenant[request.tenant][1] += earned;
        latencies.get(request.trafficClass).recordValue(Math.min(latencyTicks, MAX_LATENCY));
    }

    public void onRejected() {
        rejectionCount++;
    }

    public void onFailed() {
        failureCount++;
    }

    private static double share(double part, double whole) {
        return whole > 0 ? part / whole : 1;
    }

    /** Returns the figures of the run by name; the service as a whole comes first. */
    public Map<String, Double> figures() {
        double requestedWeight = 0;
        double earnedWeight = 0;
        double worstInterval = 1;
        for (int i = 0; i < requestedByInterval.length; i++) {
            requestedWeight += requestedByInterval[i];
            earnedWeight += earnedByInterval[i];
            // A last interval of less than half the length has too few requests to be the worst.
            worstInterval =
                    i == requestedByInterval.length - 1 && plan.length() % INTERVAL < INTERVAL / 2
                            ? worstInterval
                            : Math.min(
                                    worstInterval,
                                    share(earnedByInterval[i], requestedByInterval[i]));
        }
        Map<String, Double> figures = new LinkedHashMap<>();
        double worstTrafficClass = 1;
        double worstTenant = 1;
        for (double[] weights : weightsByTrafficClass) {
            worstTrafficClass = Math.min(worstTrafficClass, share(weights[1], weights[0]));
        }
        for (double[] weights : weightsByTenant) {
            worstTenant = Math.min(worstTenant, share(weights[1], weights[0]));
        }
        FleetPlan.ScoreWeights scoreWeights = plan.scoreWeights();
        double totalWeight =
                scoreWeights.wholeRun()
                        + scoreWeights.worstInterval()
                        + scoreWeights.worstTrafficClass()
                        + scoreWeights.worstTenant();
        figures.put(
                "service",
                (scoreWeights.wholeRun() * share(earnedWeight, requestedWeight)
                                + scoreWeights.worstInterval() * worstInterval
                                + scoreWeights.worstTrafficClass() * worstTrafficClass
                                + scoreWeights.worstTenant() * worstTenant)
                        / totalWeight);
        figures.put("whole run", share(earnedWeight, requestedWeight));
        figures.put("worst 10 s", worstInterval);
        figures.put("worst group", worstTrafficClass);
        figures.put("worst customer", worstTenant);
        for (int i = 0; i < weightsByTrafficClass.length; i++) {
            figures.put(
                    "group " + plan.trafficClasses().get(i).name(),
                    share(weightsByTrafficClass[i][1], weightsByTrafficClass[i][0]));
        }
        for (int i = 0; i < weightsByTenant.length; i++) {
            figures.put(
                    "customer " + plan.tenants().get(i).name(),
                    share(weightsByTenant[i][1], weightsByTenant[i][0]));
        }
        for (int i = 0; i < weightsByTrafficClass.length; i++) {
            String name = plan.trafficClasses().get(i).name();
            figures.put("median ms " + name, latencies.get(i).getValueAtPercentile(50) / 10.0);
            figures.put("99th ms " + name, latencies.get(i).getValueAtPercentile(99) / 10.0);
        }
        figures.put("pushed back a batch", share(rejectionCount, Math.max(1, requestCount)));
        figures.put("errored a batch", share(failureCount, Math.max(1, requestCount)));
        figures.put("late of returned", share(lateCount, Math.max(1, successCount)));
        return figures;
    }

    long requestCount() {
        return requestCount;
    }
}
