package firstage.simulation;

import java.util.random.RandomGenerator;

/**
 * The clients' choice of a manager and their retries, for simulated clients in virtual time and for
 * the load generator of the fault tests, which uses sockets.
 */
public final class ClientBehavior {
    private final FleetPlan plan;
    private final RandomGenerator random;

    /** Cumulative traffic weights of the managers: the upper bound of each manager's range. */
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

    /** Returns the manager that gets the request; requests of one ordering key share a manager. */
    public int managerFor(GeneratedRequest request) {
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
     * Returns the delay in ticks after which the client sends a request again; -1 if it gives up.
     *
     * @param retryAfter the delay that the manager asked for; 0 for none
     * @param safeToRetry whether the request may run twice, or cannot have run yet
     */
    public long retryDelay(
            GeneratedRequest request, long now, long retryAfter, boolean safeToRetry) {
        FleetPlan.Clients clients = plan.clients();
        long delay = clients.retryPause().drawTime(random);
        if (retryAfter > 0 && random.nextDouble() < clients.retryAfterHonouredShare()) {
            delay = Math.max(delay, retryAfter);
        }
        return !request.succeeded
                        && safeToRetry
                        && request.tries <= clients.retries()
                        && now + delay < request.deadline
                ? delay
                : -1;
    }
}
