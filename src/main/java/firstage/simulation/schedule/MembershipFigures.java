package firstage.simulation.schedule;

import firstage.membership.MembershipProtocol;
import firstage.membership.QuotaLeases;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.math3.stat.descriptive.DescriptiveStatistics;

/** Measures the figures of docs/membership.md in virtual time; all of them are simulated. */
public final class MembershipFigures {
    private static final long SECOND = 10_000;

    private MembershipFigures() {}

    private static SimulatedMembership startedFleet(int managerCount, long seed) {
        SimulatedMembership fleet =
                new SimulatedMembership(
                        managerCount,
                        seed,
                        MembershipProtocol.InjectedDefect.NONE,
                        QuotaLeases.InjectedDefect.NONE);
        fleet.startAll();
        fleet.advance(5 * SECOND);
        fleet.takeViewChanges();
        return fleet;
    }

    /**
     * Returns the measured figures by name, for fleets of {@code managerCount} managers with the
     * seeds from 0 to {@code seedCount} - 1.
     */
    public static Map<String, Double> measure(int managerCount, int seedCount) {
        Map<String, Double> figures = new LinkedHashMap<>();
        DescriptiveStatistics detection = new DescriptiveStatistics();
        DescriptiveStatistics halfKilled = new DescriptiveStatistics();
        DescriptiveStatistics viewChangesPerHost = new DescriptiveStatistics();
        DescriptiveStatistics splitHealed = new DescriptiveStatistics();
        DescriptiveStatistics bytesPerSecond = new DescriptiveStatistics();
        DescriptiveStatistics startUp = new DescriptiveStatistics();
        double neverAgreed = 0;
        for (long seed = 0; seed < seedCount; seed++) {
            SimulatedMembership startingFleet =
                    new SimulatedMembership(
                            managerCount,
                            seed,
                            MembershipProtocol.InjectedDefect.NONE,
                            QuotaLeases.InjectedDefect.NONE);
            long startTime = startingFleet.startAll();
            neverAgreed += startTime < 0 ? 1 : 0;
            startUp.addValue(startTime / 1e4);
            SimulatedMembership fleet = startedFleet(managerCount, seed);
            long bytesBefore =
                    fleet.hosts().stream()
                            .mapToLong(SimulatedMembership.ManagerHost::bytesSent)
                            .sum();
            fleet.advance(10 * SECOND);
            bytesPerSecond.addValue(
                    (fleet.hosts().stream()
                                            .mapToLong(SimulatedMembership.ManagerHost::bytesSent)
                                            .sum()
                                    - bytesBefore)
                            / 10.0
                            / managerCount);
            fleet.hosts().get(0).kill();
            // A manager that never noticed the death counts as 99 s.
            fleet.timesUntilNotAlive(0, 20 * SECOND)
                    .forEach(elapsed -> detection.addValue(elapsed < 0 ? 99 : elapsed / 1e4));
            fleet = startedFleet(managerCount, seed);
            List<SimulatedMembership.ManagerHost> hosts = new ArrayList<>(fleet.hosts());
            fleet.advance(fleet.random().nextLong(SECOND));
            for (int i = 0; i < managerCount / 2; i++) {
                hosts.get(2 * i).kill();
            }
            long agreedAfter = fleet.timeUntilAgreed(30 * SECOND);
            neverAgreed += agreedAfter < 0 ? 1 : 0;
            halfKilled.addValue(agreedAfter / 1e4);
            viewChangesPerHost.addValue(
                    (double) fleet.takeViewChanges().size() / (managerCount - managerCount / 2));
            fleet = startedFleet(managerCount, seed);
            split(fleet, managerCount, true);
            fleet.advance(20 * SECOND);
            split(fleet, managerCount, false);
            long healedAfter = fleet.timeUntilAgreed(60 * SECOND);
            neverAgreed += healedAfter < 0 ? 1 : 0;
            splitHealed.addValue(healedAfter / 1e4);
        }
        figures.put("start to one view, s, median", startUp.getPercentile(50));
        figures.put("a killed one doubted everywhere, s, median", detection.getPercentile(50));
        figures.put("a killed one doubted everywhere, s, 99th", detection.getPercentile(99));
        figures.put("half killed, one view, s, median", halfKilled.getPercentile(50));
        figures.put("half killed, one view, s, most", halfKilled.getMax());
        figures.put("half killed, views on the way, most", viewChangesPerHost.getMax());
        figures.put("split of 20 s healed, one view, s, median", splitHealed.getPercentile(50));
        figures.put("split of 20 s healed, one view, s, most", splitHealed.getMax());
        figures.put("bytes a second and manager", bytesPerSecond.getMean());
        figures.put("never agreed", neverAgreed);
        return figures;
    }

    private static void split(SimulatedMembership fleet, int managerCount, boolean block) {
        for (int from = 0; from < managerCount; from++) {
            for (int to = 0; to < managerCount; to++) {
                if (from < managerCount / 2 != to < managerCount / 2) {
                    fleet.setBlocked(from, to, block);
                }
            }
        }
    }

    /**
     * Returns how often a live manager was declared dead in a run of {@code minutes} minutes, in
     * which a random manager is paused every 2 s for up to {@code maxPause} ticks and 20% of the
     * datagrams are lost.
     */
    public static int countFalselyDead(int managerCount, long seed, int minutes, long maxPause) {
        SimulatedMembership fleet = startedFleet(managerCount, seed);
        fleet.setLossProbability(0.2);
        for (int i = 0; i < minutes * 30; i++) {
            fleet.hosts()
                    .get(fleet.random().nextInt(managerCount))
                    .pause(maxPause / 5 + fleet.random().nextLong(maxPause * 4 / 5));
            fleet.advance(2 * SECOND);
        }
        return fleet.falselyDead().size();
    }
}
