package firstage.simulation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.random.RandomGenerator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/**
 * The managers or engines that a fault affects. Plans write {@code managers} or {@code engines},
 * followed by nothing (all of them), numbers from 0 ({@code managers 1, 4}), a share that is drawn
 * at random ({@code engines 25%}), or a zone ({@code managers of north}).
 */
public final class FaultTarget {
    private static final Pattern SYNTAX =
            Pattern.compile(
                    "(managers|engines)\\s*"
                            + "(?:of\\s+(\\S+)|(\\d+(?:\\.\\d+)?)%|(\\d+(?:\\s*,\\s*\\d+)*))?");
    private final String text;
    private final boolean engines;
    private final int zone;
    private final double share;
    private final List<Integer> numbers;

    private FaultTarget(
            String text, boolean engines, int zone, double share, List<Integer> numbers) {
        this.text = text;
        this.engines = engines;
        this.zone = zone;
        this.share = share;
        this.numbers = numbers;
    }

    /**
     * Parses a target.
     *
     * @throws IllegalArgumentException if the target is malformed or not part of the plan; the
     *     message says what is wrong and gives valid values
     */
    static FaultTarget of(String text, List<String> zones, int managers, int engineCount) {
        Matcher matcher = SYNTAX.matcher(text.trim());
        if (!matcher.matches()) {
            throw new IllegalArgumentException(
                    "'"
                            + text
                            + "' is not a fault target; write \"managers 1, 4\", \"engines 25%\", "
                            + "\"managers of "
                            + zones.get(0)
                            + "\" or \"engines\"");
        }
        boolean engines = matcher.group(1).equals("engines");
        int zone = matcher.group(2) == null ? -1 : zones.indexOf(matcher.group(2));
        if (matcher.group(2) != null && zone < 0) {
            throw new IllegalArgumentException(
                    "zone '"
                            + matcher.group(2)
                            + "' is unknown; zones are "
                            + String.join(", ", zones));
        }
        List<Integer> numbers =
                matcher.group(4) == null
                        ? null
                        : Pattern.compile(",")
                                .splitAsStream(matcher.group(4))
                                .map(n -> Integer.valueOf(n.trim()))
                                .toList();
        int count = engines ? engineCount : managers;
        if (numbers != null && numbers.stream().anyMatch(n -> n >= count)) {
            throw new IllegalArgumentException(
                    "'"
                            + text
                            + "' names one that the plan does not have; 0 to "
                            + (count - 1)
                            + " would do");
        }
        return new FaultTarget(
                text.trim(),
                engines,
                zone,
                matcher.group(3) == null ? -1 : Double.parseDouble(matcher.group(3)) / 100,
                numbers);
    }

    public boolean targetsEngines() {
        return engines;
    }

    /** Returns the numbers of the affected managers or engines; those of a share are drawn. */
    public List<Integer> select(FleetPlan plan, RandomGenerator random) {
        int count = engines ? plan.engines().count() : plan.managers().count();
        List<Integer> candidates =
                new ArrayList<>(
                        IntStream.range(0, count)
                                .filter(n -> zone < 0 || plan.zoneOf(n) == zone)
                                .boxed()
                                .toList());
        if (numbers != null) {
            return numbers.stream().filter(n -> n < count).toList();
        }
        if (share >= 0) {
            Collections.shuffle(candidates, new Random(random.nextLong()));
            return List.copyOf(
                    candidates.subList(
                            0, (int) Math.min(count, Math.max(1, Math.round(count * share)))));
        }
        return candidates;
    }

    @Override
    public String toString() {
        return text;
    }
}
