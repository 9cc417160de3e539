package firstage.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Service as the brief counts it: the utility answered within each response goal over the utility
 * asked for, a client's retries with its first try, a late answer at its group's late value; over
 * the whole run, its worst 10 s, the worst-served group and customer, and all of them by the goal's
 * weights.
 */
public final class Scoreboard {
    private static final long SPAN = 100_000;
    private static final long MOST_LATENCY = 36_000_000;

    private final FleetPlan plan;
    private final long start;
    private final double[] asked;
    private final double[] served;
    private final double[][] byGroup;
    private final double[][] byCustomer;
    private final List<Histogram> latency = new ArrayList<>();
    private long batches;
    private long returned;
    private long late;
    private long pushedBack;
    private long errored;

    public Scoreboard(FleetPlan plan, long start) {
        this.plan = plan;
        this.start = start;
        int spans = (int) (plan.length() / SPAN) + 1;
        asked = new double[spans];
        served = new double[spans];
        byGroup = new double[plan.trafficClasses().size()][2];
        byCustomer = new double[plan.tenants().size()][2];
        plan.trafficClasses().forEach(g -> latency.add(new Histogram(MOST_LATENCY, 2)));
    }

    private int span(TrueRequest is) {
        return (int) Math.min(asked.length - 1, (is.firstRequestedAt - start) / SPAN);
    }

    public void asked(TrueRequest is) {
        double utility = plan.trafficClasses().get(is.trafficClass).priorityWeight();
        batches++;
        asked[span(is)] += utility;
        byGroup[is.trafficClass][0] += utility;
        byCustomer[is.tenant][0] += utility;
    }

    public void returned(long now, TrueRequest is) {
        FleetPlan.TrafficClassPlan group = plan.trafficClasses().get(is.trafficClass);
        long took = now - is.firstRequestedAt;
        boolean inTime =
                took
                        <= group.latencyObjective()
                                + group.latencyObjectivePerWork() * is.work / group.threads();
        double earned =
                now > is.deadline
                        ? 0
                        : group.priorityWeight() * (inTime ? 1 : group.lateValueShare());
        returned++;
        late += inTime ? 0 : 1;
        served[span(is)] += earned;
        byGroup[is.trafficClass][1] += earned;
        byCustomer[is.tenant][1] += earned;
        latency.get(is.trafficClass).recordValue(Math.min(took, MOST_LATENCY));
    }

    public void pushedBack() {
        pushedBack++;
    }

    public void errored() {
        errored++;
    }

    private static double share(double part, double whole) {
        return whole > 0 ? part / whole : 1;
    }

    /** The run's figures by name, in a stated order. */
    public Map<String, Double> figures() {
        double all = 0;
        double got = 0;
        double worst = 1;
        for (int i = 0; i < asked.length; i++) {
            all += asked[i];
            got += served[i];
            // A last piece of a span has too few batches to be anybody's worst.
            worst =
                    i == asked.length - 1 && plan.length() % SPAN < SPAN / 2
                            ? worst
                            : Math.min(worst, share(served[i], asked[i]));
        }
        Map<String, Double> figures = new LinkedHashMap<>();
        double worstGroup = 1;
        double worstCustomer = 1;
        for (double[] g : byGroup) {
            worstGroup = Math.min(worstGroup, share(g[1], g[0]));
        }
        for (double[] c : byCustomer) {
            worstCustomer = Math.min(worstCustomer, share(c[1], c[0]));
        }
        FleetPlan.ScoreWeights goal = plan.scoreWeights();
        double weights =
                goal.wholeRun() + goal.worstSpan() + goal.worstTrafficClass() + goal.worstTenant();
        figures.put(
                "service",
                (goal.wholeRun() * share(got, all)
                                + goal.worstSpan() * worst
                                + goal.worstTrafficClass() * worstGroup
                                + goal.worstTenant() * worstCustomer)
                        / weights);
        figures.put("whole run", share(got, all));
        figures.put("worst 10 s", worst);
        figures.put("worst group", worstGroup);
        figures.put("worst customer", worstCustomer);
        for (int g = 0; g < byGroup.length; g++) {
            figures.put(
                    "group " + plan.trafficClasses().get(g).name(),
                    share(byGroup[g][1], byGroup[g][0]));
        }
        for (int c = 0; c < byCustomer.length; c++) {
            figures.put(
                    "customer " + plan.tenants().get(c).name(),
                    share(byCustomer[c][1], byCustomer[c][0]));
        }
        for (int g = 0; g < byGroup.length; g++) {
            String name = plan.trafficClasses().get(g).name();
            figures.put("median ms " + name, latency.get(g).getValueAtPercentile(50) / 10.0);
            figures.put("99th ms " + name, latency.get(g).getValueAtPercentile(99) / 10.0);
        }
        figures.put("pushed back a batch", share(pushedBack, Math.max(1, batches)));
        figures.put("errored a batch", share(errored, Math.max(1, batches)));
        figures.put("late of returned", share(late, Math.max(1, returned)));
        return figures;
    }

    long batches() {
        return batches;
    }
}
