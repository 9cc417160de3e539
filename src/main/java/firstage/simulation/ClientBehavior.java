package firstage.simulation;

import java.util.random.RandomGenerator;

/**
 * How clients spread over the managers and ask again: for the model's in virtual time and the fault
 * tests' on sockets.
 */
public final class ClientBehavior {
    private final FleetPlan plan;
    private final RandomGenerator random;
    private final double[] managerBounds;

    public ClientBehavior(FleetPlan plan, RandomGenerator random) {
        this.plan = plan;
        this.random = random;
        double skew = plan.managers().trafficSkew();
        managerBounds = new double[plan.managers().count()];
        double sum = 0;
        for (int managerIndex = 0; managerIndex < managerBounds.length; managerIndex++) {
            sum += 1 - skew + 2 * skew * (managerIndex + 0.5) / managerBounds.length;
            managerBounds[managerIndex] = sum;
        }
    }

    /** The manager of a request; those of one key have one. */
    public int managerFor(TrueRequest request) {
        double position =
                request.orderingKey >= 0
                        ? Math.floorMod(request.orderingKey * 0x9E3779B97F4A7C15L, 1L << 40)
                                / (double) (1L << 40)
                        : random.nextDouble();
        position *= managerBounds[managerBounds.length - 1];
        int managerIndex = 0;
        while (managerIndex < managerBounds.length - 1 && managerBounds[managerIndex] <= position) {
            managerIndex++;
        }
        return managerIndex;
    }

    /**
     * After how long it is asked for again, told to come back after {@code comeBack}, 0 for
     * nothing; -1 for never.
     */
    public long retryDelay(TrueRequest request, long now, long retryAfter, boolean harmless) {
        FleetPlan.Clients behavior = plan.clients();
        long wait = behavior.retryPause().drawTime(random);
        if (retryAfter > 0 && random.nextDouble() < behavior.retryAfterHonouredShare()) {
            wait = Math.max(wait, retryAfter);
        }
        return !request.succeeded
                        && harmless
                        && request.tries <= behavior.retries()
                        && now + wait < request.deadline
                ? wait
                : -1;
    }
}
