package firstage.server.client;

import io.undertow.server.HttpServerExchange;

/**
 * A client's call with a statement, as read and not checked yet.
 *
 * @param requestId null where it is missing
 * @param trafficClass the last part of the path
 * @param trafficClassIndex -1 where it is unknown
 * @param tenant its index, -1 where it is missing or unknown
 * @param orderingKey null without one
 * @param timeoutMs not positive or not a number where it can't be used; so are the two estimates
 */
record StatementCall(
        String requestId,
        String trafficClass,
        int trafficClassIndex,
        int tenant,
        String orderingKey,
        double timeoutMs,
        double estimateMs,
        double memoryMb,
        byte[] statement) {
    static StatementCall read(
            HttpServerExchange exchange,
            String trafficClass,
            byte[] statement,
            TrafficClasses classes) {
        return new StatementCall(
                ClientProtocol.text(exchange, ClientProtocol.REQUEST_ID),
                trafficClass,
                classes.indexOf(trafficClass),
                classes.tenantIndex(ClientProtocol.text(exchange, ClientProtocol.TENANT)),
                ClientProtocol.text(exchange, ClientProtocol.ORDERING_KEY),
                ClientProtocol.number(exchange, ClientProtocol.TIMEOUT_MS, -1),
                ClientProtocol.number(exchange, ClientProtocol.ESTIMATE_MS, 0),
                ClientProtocol.number(exchange, ClientProtocol.MEMORY_MB, 0),
                statement);
    }
}
