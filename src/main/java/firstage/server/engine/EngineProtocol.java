package firstage.server.engine;

import firstage.policy.api.AttemptProgress;
import firstage.policy.api.LoadReport;
import firstage.server.RequestExchange;
import java.util.Optional;

/**
 * The engines' HTTP protocol: maps the paths and header names on the wire to the terms used in the
 * code. Names of response headers are in lower case.
 */
final class EngineProtocol {
    private static final String STATEMENTS = "/x";
    private static final String LINE_END = "\r\n";

    // Headers of a statement.
    private static final String REQUEST_ID = "X-Ticket: ";
    private static final String TRAFFIC_CLASS = "X-Queue: ";
    private static final String TIMEOUT_MS = "X-Max-Ms: ";
    private static final String MEMORY_GRANT_MB = "Grant-Mb: ";
    private static final String PRIORITY = "Rank: ";

    // Headers of a response.
    private static final String LOAD_REPORT = "x-meter";
    private static final String PROGRESS_KIND = "x-remark";
    private static final String PROGRESS_VALUE = "figure";
    private static final String NEVER_RAN = "x-shed";
    private static final String PAGE_COUNT = "page-count";
    private static final String PAGE_NUMBER = "page-no";

    /** Progress value of a queued statement that waits for memory; others wait for a table load. */
    private static final int WAITING_FOR_MEMORY = 1;

    /** Status of the news that a statement is not over yet. */
    static final int RUNNING = 202;

    private EngineProtocol() {}

    /** Returns the method and path that submit a statement. */
    static String post() {
        return "POST " + STATEMENTS;
    }

    /** Returns the method and path that poll (page 0) or fetch a later page of the result. */
    static String get(String requestId, int page) {
        return "GET " + STATEMENTS + "/" + requestId + "/" + page;
    }

    /** Returns the method and path that change the priority of a statement. */
    static String put(String requestId) {
        return "PUT " + STATEMENTS + "/" + requestId;
    }

    /** Returns the method and path that cancel a statement. */
    static String delete(String requestId) {
        return "DELETE " + STATEMENTS + "/" + requestId;
    }

    /** Returns the method and path that request the load of an engine. */
    static String probe() {
        return "GET /busy";
    }

    /**
     * Returns the headers of a statement.
     *
     * @param timeoutMs time until the client's deadline
     */
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

    /** Returns whether the engine refused the statement before running it. */
    static boolean neverRan(EngineResponse response) {
        return "1".equals(response.headers().get(NEVER_RAN));
    }

    /**
     * Returns whether the response to a poll or page fetch shows that the engine knows the
     * statement; one that does not know it answers with an error.
     */
    static boolean knowsStatement(EngineResponse response) {
        return response.status() == RUNNING || response.status() == 200;
    }

    /** Returns the number of pages of the result; 0 if the response does not report it. */
    static int pageCount(EngineResponse response) {
        return response.intHeader(PAGE_COUNT, 0);
    }

    /** Returns the number of the page in the response; -1 if it is not reported. */
    static int pageNumber(EngineResponse response) {
        return response.intHeader(PAGE_NUMBER, -1);
    }

    /** Returns the value of a progress report; 0 without one. */
    static double progressValue(EngineResponse response) {
        return response.doubleHeader(PROGRESS_VALUE, 0);
    }

    /** Returns the kind of a progress report; empty without one or if the kind is unknown. */
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

    /** Returns the load report of a response; null if it is missing or malformed. */
    static LoadReport loadReport(EngineResponse response) {
        String header = response.headers().get(LOAD_REPORT);
        if (header == null) {
            return null;
        }
        double[] fields = {Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN};
        for (String pair : header.split(";")) {
            String[] parts = pair.split(":", 2);
            int field = loadReportFieldIndex(parts[0].trim());
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

    /** Returns the position of a field in {@link LoadReport}; -1 for an unknown field. */
    private static int loadReportFieldIndex(String name) {
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
