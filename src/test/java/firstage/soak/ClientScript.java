package firstage.soak;

import java.util.random.RandomGenerator;

/**
 * Script of one client of a soak, drawn before the run.
 *
 * @param startMs time at which the client connects
 * @param trafficClass index of the traffic class in the plan
 * @param timeoutMs time that the client allows for each answer
 * @param workMs work of each request
 * @param departure way in which the client leaves during its first request, if it does
 * @param leaveAfterMs time from the sending of the first request until the client leaves
 * @param bodyDelayMs pause between head and body of the first request; 0 to send it in one piece
 * @param repeats number of further requests on the connection, while it stays open
 * @param idleMs pause before each further request
 */
record ClientScript(
        int number,
        long startMs,
        int manager,
        int trafficClass,
        long timeoutMs,
        long workMs,
        Departure departure,
        long leaveAfterMs,
        long bodyDelayMs,
        int repeats,
        long idleMs) {
    /** Ways in which a client leaves. */
    enum Departure {
        /** Stays until it has its answer. */
        STAYS,
        /** Closes its connection, whatever response it is waiting for. */
        CLOSES,
        /** Resets its connection. */
        RESETS,
        /** Shuts down only the sending side of its connection. */
        HALF_CLOSES,
        /** Polls, and cancels on another connection while the poll stays open. */
        DELETES_ON_NEW_CONNECTION,
        /** Polls, closes the connection of the poll and cancels on another one. */
        CLOSES_AND_DELETES,
        /** Gets a path to poll, does not poll and cancels on the same connection. */
        DELETES_ON_SAME_CONNECTION,
        /** Gets a path to poll and closes its connection without polling. */
        CLOSES_WITH_PATH,
        /** Stops reading and polling, and leaves its connection open for a while. */
        VANISHES
    }

    private static final long[] TIMEOUTS_MS = {50, 200, 600, 1_500, 3_000, 6_000, 10_000};
    private static final int MAX_LEAVE_AFTER_MS = 1_500;

    /**
     * Draws a script.
     *
     * @param leaveAfterMs time from the sending of the request until the client leaves; below 0 to
     *     draw the time and whether the client leaves at all
     */
    static ClientScript draw(
            RandomGenerator random, int number, int manager, long startMs, long leaveAfterMs) {
        Departure[] departures = Departure.values();
        boolean stays = leaveAfterMs < 0 && random.nextInt(3) == 0;
        Departure departure =
                stays ? Departure.STAYS : departures[1 + random.nextInt(departures.length - 1)];
        long timeoutMs =
                stays
                        ? TIMEOUTS_MS[random.nextInt(TIMEOUTS_MS.length)]
                        : 3_000 + random.nextInt(7_000);
        long drawnLeaveAfterMs =
                random.nextBoolean() ? random.nextInt(400) : random.nextInt(MAX_LEAVE_AFTER_MS);
        return new ClientScript(
                number,
                startMs,
                manager,
                random.nextInt(3),
                timeoutMs,
                100 + random.nextInt(1_000),
                departure,
                leaveAfterMs < 0 ? drawnLeaveAfterMs : leaveAfterMs,
                random.nextInt(8) == 0 ? 200 + random.nextInt(1_200) : 0,
                stays ? random.nextInt(4) : 0,
                random.nextInt(1_500));
    }
}
