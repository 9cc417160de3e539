package firstage.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Measures the service of a run: the priority weight earned by answers, over the priority weight of
 * all requests. An answer within the latency objective earns the whole weight of its request, a
 * late one the late value of the traffic class; a request counts once, with all its tries. The
 * share is computed for the whole run, its worst 10 s, and the traffic class and the tenant that
 * are served worst; the service as a whole is their weighted mean.
 */
public final class Scoreboard {
    private static final long INTERVAL = 100_000;

    /** The highest latency that the histograms tell apart: 1 hour. */
    private static final long MAX_LATENCY = 36_000_000;

    private final FleetPlan plan;
    private final long start;

    /** Priority weight of the requests of each interval. */
    private final double[] onRequested;

    /** Priority weight earned by the requests of each interval. */
    private final double[] served;

    /** For each traffic class, its requested and its earned weight. */
    private final double[][] byTrafficClass;

    /** For each tenant, its requested and its earned weight. */
    private final double[][] byTenant;

    private final List<Histogram> latency = new ArrayList<>();
    private long requests;
    private long onSucceeded;
    private long late;
    private long onRejected;
    private long onFailed;

    public Scoreboard(FleetPlan plan, long start) {
        this.plan = plan;
        this.start = start;
        int spans = (int) (plan.length() / INTERVAL) + 1;
        onRequested = new double[spans];
        served = new double[spans];
        byTrafficClass = new double[plan.trafficClasses().size()][2];
        byTenant = new double[plan.tenants().size()][2];
        plan.trafficClasses().forEach(g -> latency.add(new Histogram(MAX_LATENCY, 2)));
    }

    private int interval(TrueRequest request) {
        return (int)
                Math.min(onRequested.length - 1, (request.firstRequestedAt - start) / INTERVAL);
    }

    public void onRequested(TrueRequest request) {
        double weight = plan.trafficClasses().get(request.trafficClass).priorityWeight();
        requests++;
        onRequested[interval(request)] += weight;
        byTrafficClass[request.trafficClass][0] += weight;
        byTenant[request.tenant][0] += weight;
    }

    public void onSucceeded(long now, TrueRequest request) {
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
        onSucceeded++;
        late += inTime ? 0 : 1;
        served[interval(request)] += earned;
        byTrafficClass[request.trafficClass][1] += earned;
        byTenant[request.tenant][1] += earned;
        latency.get(request.trafficClass).recordValue(Math.min(latencyTicks, MAX_LATENCY));
    }

    public void onRejected() {
        onRejected++;
    }

    public void onFailed() {
        onFailed++;
    }

    private static double share(double part, double whole) {
        return whole > 0 ? part / whole : 1;
    }

    /** Returns the figures of the run by name; the service as a whole comes first. */
    public Map<String, Double> figures() {
        double requestedWeight = 0;
        double servedWeight = 0;
        double worst = 1;
        for (int i = 0; i < onRequested.length; i++) {
            requestedWeight += onRequested[i];
            servedWeight += served[i];
            // A last interval of less than half the length has too few requests to be the worst.
            worst =
                    i == onRequested.length - 1 && plan.length() % INTERVAL < INTERVAL / 2
                            ? worst
                            : Math.min(worst, share(served[i], onRequested[i]));
        }
        Map<String, Double> figures = new LinkedHashMap<>();
        double worstTrafficClass = 1;
        double worstTenant = 1;
        for (double[] g : byTrafficClass) {
            worstTrafficClass = Math.min(worstTrafficClass, share(g[1], g[0]));
        }
        for (double[] c : byTenant) {
            worstTenant = Math.min(worstTenant, share(c[1], c[0]));
        }
        FleetPlan.ScoreWeights scoreWeights = plan.scoreWeights();
        double weights =
                scoreWeights.wholeRun()
                        + scoreWeights.worstSpan()
                        + scoreWeights.worstTrafficClass()
                        + scoreWeights.worstTenant();
        figures.put(
                "service",
                (scoreWeights.wholeRun() * share(servedWeight, requestedWeight)
                                + scoreWeights.worstSpan() * worst
                                + scoreWeights.worstTrafficClass() * worstTrafficClass
                                + scoreWeights.worstTenant() * worstTenant)
                        / weights);
        figures.put("whole run", share(servedWeight, requestedWeight));
        figures.put("worst 10 s", worst);
        figures.put("worst group", worstTrafficClass);
        figures.put("worst customer", worstTenant);
        for (int g = 0; g < byTrafficClass.length; g++) {
            figures.put(
                    "group " + plan.trafficClasses().get(g).name(),
                    share(byTrafficClass[g][1], byTrafficClass[g][0]));
        }
        for (int c = 0; c < byTenant.length; c++) {
            figures.put(
                    "customer " + plan.tenants().get(c).name(),
                    share(byTenant[c][1], byTenant[c][0]));
        }
        for (int g = 0; g < byTrafficClass.length; g++) {
            String name = plan.trafficClasses().get(g).name();
            figures.put("median ms " + name, latency.get(g).getValueAtPercentile(50) / 10.0);
            figures.put("99th ms " + name, latency.get(g).getValueAtPercentile(99) / 10.0);
        }
        figures.put("pushed back a batch", share(onRejected, Math.max(1, requests)));
        figures.put("errored a batch", share(onFailed, Math.max(1, requests)));
        figures.put("late of returned", share(late, Math.max(1, onSucceeded)));
        return figures;
    }

    long requests() {
        return requests;
    }
}
