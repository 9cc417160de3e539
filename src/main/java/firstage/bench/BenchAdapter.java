package firstage.bench;

import firstage.config.InvalidInputException;
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
 * Reads rounds of events from the simulator, passes them to their managers and writes one reply for
 * each round. A line that can't be read is skipped and reported on standard error; a manager that
 * fails is reported in the reply.
 */
public final class BenchAdapter {
    private static final int BUFFER_CHARS = 1 << 16;
    private static final int MAX_REPORTED_CHARS = 200;

    private final BufferedReader in;
    private final Writer out;
    private final PrintStream err;
    private final Map<String, BenchManager> managers = new HashMap<>();

    /** Managers with events in this round, in the order of their first event. */
    private final Map<String, BenchManager> managersInRound = new LinkedHashMap<>();

    private final Map<Integer, List<WireFields>> endpointLists = new HashMap<>();

    /** Endpoint list whose entries are being read; null before the first list. */
    private List<WireFields> openList;

    private int openListSize;

    private final StringBuilder failures = new StringBuilder();
    private long now;
    private String roundNumber;

    /**
     * Creates an adapter that reads from {@code in}, replies on {@code out} and reports on {@code
     * err}.
     */
    public BenchAdapter(InputStream in, PrintStream out, PrintStream err) {
        this.in =
                new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), BUFFER_CHARS);
        this.out =
                new BufferedWriter(
                        new OutputStreamWriter(out, StandardCharsets.UTF_8), BUFFER_CHARS);
        this.err = err;
    }

    /** Runs until the input ends. */
    public void run() throws IOException {
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.isEmpty()) {
                continue;
            }
            try {
                readLine(line);
            } catch (InvalidInputException exception) {
                reportSkipped(line, exception);
            }
        }
    }

    private void reportSkipped(String line, InvalidInputException exception) {
        String shown =
                line.length() > MAX_REPORTED_CHARS
                        ? line.substring(0, MAX_REPORTED_CHARS) + "..."
                        : line;
        err.println("skipped a line: " + exception.getMessage() + ": " + shown);
    }

    private void readLine(String line) throws IOException {
        int space = line.indexOf(' ');
        String kind = space < 0 ? line : line.substring(0, space);
        if (kind.equals(BenchWire.ROUND_END)) {
            reply();
            return;
        }
        WireFields fields = new WireFields(line);
        switch (kind) {
            case BenchWire.ROUND_START -> {
                roundNumber = fields.require(BenchWire.ROUND_NUMBER);
                now = WireFields.secondsToTicks(fields.requireDouble(BenchWire.ROUND_CLOCK));
            }
            case BenchWire.LIST_START -> startList(fields);
            case BenchWire.LIST_ENTRY -> addListEntry(fields);
            default -> onEvent(kind, fields);
        }
    }

    private void startList(WireFields fields) {
        openList = new ArrayList<>();
        openListSize = fields.getInt(BenchWire.LIST_SIZE, 0);
        endpointLists.put(fields.getInt(BenchWire.LIST_NUMBER, 0), openList);
    }

    private void addListEntry(WireFields entry) {
        if (openList == null || openList.size() == openListSize) {
            throw new InvalidInputException(
                    "list entry without a list, or beyond the size of its list");
        }
        openList.add(entry);
    }

    private void onEvent(String kind, WireFields event) {
        String number = event.require(BenchWire.MANAGER);
        if (kind.equals(BenchWire.MANAGER_KILLED)) {
            // Actions that a killed manager has not sent yet are lost with it.
            managers.remove(number);
            managersInRound.remove(number);
            return;
        }
        try {
            if (kind.equals(BenchWire.MANAGER_STARTED)) {
                managers.put(number, new BenchManager(number, event));
            }
            BenchManager manager = managers.get(number);
            if (manager == null) {
                throw new InvalidInputException("no manager is running with number " + number);
            }
            managersInRound.put(number, manager);
            if (!kind.equals(BenchWire.MANAGER_STARTED)) {
                manager.onEvent(now, kind, event, endpointLists);
            }
        } catch (InvalidInputException exception) {
            throw exception;
        } catch (RuntimeException failure) {
            addFailure(number, failure);
        }
    }

    private void addFailure(String number, RuntimeException failure) {
        failure.printStackTrace(err);
        String text = String.valueOf(failure).replace('\n', ' ');
        failures.append(BenchWire.MANAGER_FAILED)
                .append(' ')
                .append(BenchWire.MANAGER)
                .append('=')
                .append(number)
                .append(' ')
                .append(BenchWire.TEXT)
                .append('=')
                .append(text)
                .append('\n');
    }

    private void reply() throws IOException {
        for (Map.Entry<String, BenchManager> entry : managersInRound.entrySet()) {
            try {
                entry.getValue().runPendingActions(now);
            } catch (RuntimeException failure) {
                addFailure(entry.getKey(), failure);
            }
            out.write(entry.getValue().takeReply());
        }
        managersInRound.clear();
        out.write(failures.toString());
        failures.setLength(0);
        out.write(BenchWire.REPLY_END + " " + BenchWire.ROUND_NUMBER + "=" + roundNumber + "\n");
        out.flush();
    }
}
