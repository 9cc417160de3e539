package firstage.bench;

import firstage.config.MalformedLineException;
import firstage.config.WireFields;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.PrintStream;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads rounds of events from the wire, hands them to their managers and writes one reply a round.
 */
public final class BenchAdapter {
    private final BufferedReader in;
    private final Writer out;
    private final PrintStream err;
    private final Map<String, BenchManager> seats = new HashMap<>();
    private final Map<Integer, List<WireFields>> lists = new HashMap<>();

    /** The managers with news in this round, in the order of their first event. */
    private final Map<String, BenchManager> called = new LinkedHashMap<>();

    private final StringBuilder faults = new StringBuilder();
    private List<WireFields> filling;
    private int expected;
    private long now;
    private String round;

    public BenchAdapter(InputStream in, PrintStream out, PrintStream err) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = new BufferedWriter(new OutputStreamWriter(out, StandardCharsets.UTF_8), 1 << 16);
        this.err = err;
    }

    /** Runs until the input ends. */
    public void run() throws IOException {
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.isEmpty()) {
                continue;
            }
            try {
                read(line);
            } catch (MalformedLineException fault) {
                String shown = line.length() > 200 ? line.substring(0, 200) + "..." : line;
                err.println("skipped a line: " + fault.getMessage() + ": " + shown);
            }
        }
    }

    private void read(String line) throws IOException {
        int space = line.indexOf(' ');
        String word = space < 0 ? line : line.substring(0, space);
        if (word.equals("COMMIT")) {
            reply();
            return;
        }
        WireFields f = new WireFields(line);
        switch (word) {
            case "SYNC" -> {
                round = f.require("n");
                now = WireFields.secondsToTicks(f.requireDouble("now"));
            }
            case "DEFINE_LIST" -> {
                filling = new ArrayList<>();
                expected = f.getInt("elements", 0);
                lists.put(f.getInt("ref", 0), filling);
            }
            case "ITEM" -> {
                if (filling == null || filling.size() == expected) {
                    throw new MalformedLineException("an entry outside its list");
                }
                filling.add(f);
            }
            default -> event(word, f);
        }
    }

    private void event(String word, WireFields f) {
        String number = f.require("i");
        if (word.equals("DOWN")) {
            // What the killed manager still meant to do dies with it.
            seats.remove(number);
            called.remove(number);
            return;
        }
        BenchManager seat = null;
        try {
            if (word.equals("POWER_ON")) {
                seats.put(number, new BenchManager(number, f));
            }
            seat = seats.get(number);
            if (seat == null) {
                throw new MalformedLineException("no manager runs as " + number);
            }
            called.put(number, seat);
            if (!word.equals("POWER_ON")) {
                seat.tell(now, word, f, lists);
            }
        } catch (MalformedLineException fault) {
            throw fault;
        } catch (RuntimeException fault) {
            fatal(number, fault);
        }
    }

    private void fatal(String number, RuntimeException fault) {
        fault.printStackTrace(err);
        String text = String.valueOf(fault).replace('\n', ' ');
        faults.append("FATAL i=").append(number).append(" line=").append(text).append('\n');
    }

    private void reply() throws IOException {
        for (Map.Entry<String, BenchManager> entry : called.entrySet()) {
            try {
                entry.getValue().turn(now);
            } catch (RuntimeException fault) {
                fatal(entry.getKey(), fault);
            }
            out.write(entry.getValue().takeReply());
        }
        called.clear();
        out.write(faults.toString());
        faults.setLength(0);
        out.write("FINISHED n=" + round + "\n");
        out.flush();
    }
}
