package firstage.simulation;

import java.util.random.RandomGenerator;

/**
 * How clients spread over the managers and ask again: for the model's in virtual time and the
 * yard's on sockets.
 */
public final class ClientBehavior {
    private final FleetPlan plan;
    private final RandomGenerator chance;
    private final double[] ends;

    public ClientBehavior(FleetPlan plan, RandomGenerator chance) {
        this.plan = plan;
        this.chance = chance;
        double unequal = plan.managers().trafficSkew();
        ends = new double[plan.managers().count()];
        double sum = 0;
        for (int m = 0; m < ends.length; m++) {
            sum += 1 - unequal + 2 * unequal * (m + 0.5) / ends.length;
            ends[m] = sum;
        }
    }

    /** The manager of a batch; those of one key have one. */
    public int manager(TrueRequest is) {
        double at =
                is.orderingKey >= 0
                        ? Math.floorMod(is.orderingKey * 0x9E3779B97F4A7C15L, 1L << 40)
                                / (double) (1L << 40)
                        : chance.nextDouble();
        at *= ends[ends.length - 1];
        int m = 0;
        while (m < ends.length - 1 && ends[m] <= at) {
            m++;
        }
        return m;
    }

    /**
     * After how long it is asked for again, told to come back after {@code comeBack}, 0 for
     * nothing; -1 for never.
     */
    public long again(TrueRequest is, long now, long comeBack, boolean may) {
        FleetPlan.Clients like = plan.clients();
        long wait = like.retryPause().drawTime(chance);
        if (comeBack > 0 && chance.nextDouble() < like.retryAfterHonouredShare()) {
            wait = Math.max(wait, comeBack);
        }
        return !is.succeeded && may && is.tries <= like.retries() && now + wait < is.deadline
                ? wait
                : -1;
    }
}
