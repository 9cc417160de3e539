package firstage.soak;

import java.util.random.RandomGenerator;

/**
 * What one client of a soak does, drawn before the run.
 *
 * @param startMs when it connects
 * @param trafficClass an index of the plan
 * @param timeoutMs how long it waits for its answer
 * @param workMs of its request
 * @param departure how it leaves, if it does
 * @param leaveAfterMs after its request was sent
 * @param bodyDelayMs between the head and the end of its request; 0 for one piece
 * @param repeats how many more requests it sends on the connection, where that stays open
 * @param restMs before each of these
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
        long restMs) {
    /** How a client leaves. */
    enum Departure {
        /** It stays until it has its answer. */
        STAYS,
        /** It closes its connection, whatever it waits for. */
        CLOSES,
        /** It resets its connection. */
        RESETS,
        /** It ends its own side of the connection only. */
        HALF_CLOSES,
        /** It polls, and cancels on another connection; its poll stays open. */
        DELETES_ON_NEW_CONNECTION,
        /** The same, and it closes the connection of its poll first. */
        CLOSES_AND_DELETES,
        /** It is given a path, does not poll and cancels on the same connection. */
        DELETES_ON_SAME_CONNECTION,
        /** It is given a path and closes without a poll. */
        CLOSES_WITH_PATH,
        /** It neither reads nor polls any more, and leaves its connection open. */
        VANISHES
    }

    private static final long[] TIMEOUTS_MS = {50, 200, 600, 1_500, 3_000, 6_000, 10_000};
    private static final int MAX_LEAVE_AFTER_MS = 1_500;

    /** {@code leaveAfterMs}: below 0 to draw it, too. */
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
        long drawnLeaveAfter =
                random.nextBoolean() ? random.nextInt(400) : random.nextInt(MAX_LEAVE_AFTER_MS);
        return new ClientScript(
                number,
                startMs,
                manager,
                random.nextInt(3),
                timeoutMs,
                100 + random.nextInt(1_000),
                departure,
                leaveAfterMs < 0 ? drawnLeaveAfter : leaveAfterMs,
                random.nextInt(8) == 0 ? 200 + random.nextInt(1_200) : 0,
                stays ? random.nextInt(4) : 0,
                random.nextInt(1_500));
    }
}
