package firstage.server.engine;

import firstage.policy.api.AttemptProgress;
import firstage.policy.api.LoadReport;
import firstage.server.RequestExchange;
import java.util.Optional;

/**
 * The engines' HTTP protocol: its paths and headers, each with the term for it in the code. Header
 * names of answers are in lower case.
 */
final class EngineProtocol {
    private static final String STATEMENTS = "/x";
    private static final String LINE_END = "\r\n";

    // Of a statement.
    private static final String REQUEST_ID = "X-Ticket: ";
    private static final String TRAFFIC_CLASS = "X-Queue: ";
    private static final String TIMEOUT_MS = "X-Max-Ms: ";
    private static final String MEMORY_GRANT_MB = "Grant-Mb: ";
    private static final String PRIORITY = "Rank: ";

    // Of an answer.
    private static final String LOAD_REPORT = "x-meter";
    private static final String PROGRESS_KIND = "x-remark";
    private static final String PROGRESS_VALUE = "figure";
    private static final String NEVER_RAN = "x-shed";
    private static final String PAGE_COUNT = "page-count";
    private static final String PAGE_NUMBER = "page-no";
    private static final int WAITING_FOR_MEMORY = 1;

    private EngineProtocol() {}

    /** Sends a statement. */
    static String post() {
        return "POST " + STATEMENTS;
    }

    /** Polls (page 0), or fetches a page of the result. */
    static String get(String requestId, int page) {
        return "GET " + STATEMENTS + "/" + requestId + "/" + page;
    }

    /** Changes the priority. */
    static String put(String requestId) {
        return "PUT " + STATEMENTS + "/" + requestId;
    }

    /** Ends a statement. */
    static String delete(String requestId) {
        return "DELETE " + STATEMENTS + "/" + requestId;
    }

    /** Asks an engine for its load. */
    static String probe() {
        return "GET /busy";
    }

    /** The headers of a statement; {@code timeoutMs}: how long the client waits still. */
    static String statementHeaders(RequestExchange exchange, long timeoutMs, int priority) {
        return REQUEST_ID
                + exchange.id
                + LINE_END
                + TRAFFIC_CLASS
                + exchange.trafficClass
                + LINE_END
                + TIMEOUT_MS
                + timeoutMs
                + LINE_END
                + (exchange.grantMb > 0 ? MEMORY_GRANT_MB + exchange.grantMb + LINE_END : "")
                + PRIORITY
                + priority
                + LINE_END;
    }

    /** Whether the engine refused the statement before it ran. */
    static boolean neverRan(EngineResponse response) {
        return "1".equals(response.headers().get(NEVER_RAN));
    }

    /** How many pages the result has; 0 where the answer does not say. */
    static int pageCount(EngineResponse response) {
        return response.intHeader(PAGE_COUNT, 0);
    }

    /** Which page this is; -1 where the answer does not say. */
    static int pageNumber(EngineResponse response) {
        return response.intHeader(PAGE_NUMBER, -1);
    }

    /** The value that comes with a progress report; 0 without one. */
    static double progressValue(EngineResponse response) {
        return response.numberHeader(PROGRESS_VALUE, 0);
    }

    /** What a progress report says; empty without one, or where it is unknown. */
    static Optional<AttemptProgress.Kind> progressKind(EngineResponse response) {
        return switch (response.headers().getOrDefault(PROGRESS_KIND, "")) {
            case "pct" -> Optional.of(AttemptProgress.Kind.FRACTION_DONE);
            case "overflow" -> Optional.of(AttemptProgress.Kind.SPILLING);
            case "queued" ->
                    Optional.of(
                            progressValue(response) == WAITING_FOR_MEMORY
                                    ? AttemptProgress.Kind.WAITING_FOR_MEMORY
                                    : AttemptProgress.Kind.WAITING_FOR_TABLE_LOAD);
            default -> Optional.empty();
        };
    }

    /** The load report of an answer; null without one that can be read. */
    static LoadReport loadReport(EngineResponse response) {
        String header = response.headers().get(LOAD_REPORT);
        if (header == null) {
            return null;
        }
        double[] fields = {Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN};
        for (String pair : header.split(";")) {
            String[] parts = pair.split(":", 2);
            int field = loadReportField(parts[0].trim());
            try {
                if (field >= 0 && parts.length == 2) {
                    fields[field] = Double.parseDouble(parts[1].trim());
                }
            } catch (NumberFormatException exception) {
                return null;
            }
        }
        return new LoadReport(fields[0], fields[1], fields[2], fields[3], fields[4]);
    }

    /** The place of a field in {@link LoadReport}; -1 where it is unknown. */
    private static int loadReportField(String name) {
        return switch (name) {
            case "active", "inflight" -> 0;
            case "waiting", "queue" -> 1;
            case "cpu", "util" -> 2;
            case "x0" -> 3;
            case "x1" -> 4;
            default -> -1;
        };
    }
}
