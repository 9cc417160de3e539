package firstage.overload;

import firstage.door.Demand;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.openhft.hashing.LongHashFunction;

/** One level of shedding for all. Times are tenths of a millisecond. */
public final class Level {
    private static final double SMOOTH = Double.parseDouble(System.getProperty("x.smooth", "10000"));
    private static final long FRESH = 30_000;
    private static final double WAIT = Double.parseDouble(System.getProperty("x.wait", "0.25"));
    private static final double GROW = Double.parseDouble(System.getProperty("x.grow", "0.1"));
    private static final double DROP = Double.parseDouble(System.getProperty("x.drop", "0.15"));

    public interface Effects {
        void cut(int band, double part);
    }

    /** What one manager tells of itself: rates in seconds of work a second, and seconds of work that wait. */
    public record Row(int name, int stamp, double[] came, double sent, double waits) {
    }

    private record Told(Row row, long at) {
    }

    private final int me;
    private final double target;
    private final Effects effects;
    private final Map<Integer, Told> told = new HashMap<>();
    private final double[] cameBefore = new double[Demand.BANDS];
    private final double[] came = new double[Demand.BANDS];
    private double sentBefore;
    private double sent;
    private double waits;
    private long measuredAt = -1;
    private Set<Integer> view = Set.of();
    private int cut;
    private double part = 1;

    public Level(String me, long goal, Effects effects) {
        this.me = id(me);
        this.target = goal / 1e4 * WAIT;
        this.effects = effects;
    }

    private static int id(String name) {
        return (int) LongHashFunction.xx3().hashChars(name);
    }

    public void viewed(List<String> names) {
        view = new HashSet<>(names.stream().map(Level::id).toList());
        told.keySet().retainAll(view);
    }

    public void heard(long now, List<Row> rows) {
        for (Row r : rows) {
            Told before = told.get(r.name);
            if (r.name != me && view.contains(r.name) && (before == null || r.stamp - before.row.stamp > 0)) {
                told.put(r.name, new Told(r, now));
            }
        }
    }

    public List<Row> rows(long now) {
        List<Row> rows = new ArrayList<>();
        rows.add(mine(now));
        told.values().removeIf(t -> now - t.at >= FRESH);
        told.values().forEach(t -> rows.add(t.row));
        return rows;
    }

    private Row mine(long now) {
        return new Row(me, (int) (now / 100), came.clone(), sent, waits);
    }

    public void measure(long now, Demand d) {
        double[] all = d.came();
        if (measuredAt >= 0 && now > measuredAt) {
            double dt = now - measuredAt;
            double by = 1 - Math.exp(-dt / SMOOTH);
            for (int i = 0; i < all.length; i++) {
                came[i] += ((all[i] - cameBefore[i]) / dt - came[i]) * by;
            }
            sent += ((d.sent() - sentBefore) / dt - sent) * by;
            waits += (d.waits() / 1e4 - waits) * (1 - Math.exp(-dt / 3000));
        }
        measuredAt = now;
        System.arraycopy(all, 0, cameBefore, 0, all.length);
        sentBefore = d.sent();
    }

    public void look(long now) {
        double[] sum = came.clone();
        double sends = sent;
        double wait = waits;
        for (Told t : told.values()) {
            if (now - t.at < FRESH) {
                for (int i = 0; i < sum.length; i++) {
                    sum[i] += t.row.came[i];
                }
                sends += t.row.sent;
                wait += t.row.waits;
            }
        }
        double delay = wait / Math.max(0.01, sends);
        double g = delay <= target ? GROW * (1 - delay / target)
                : -DROP * Math.min(1, (delay - target) / target);
        double allowed = sends * (1 + g);
        int band = Demand.BANDS;
        double left = allowed;
        while (band > 0 && left > 0) {
            band--;
            left -= sum[band];
        }
        double next = left >= 0 ? 1 : 1 + left / sum[band];
        int at = left >= 0 ? 0 : band;
        if (at != cut || next != part) {
            cut = at;
            part = next;
            effects.cut(at, next);
        }
    }
}
