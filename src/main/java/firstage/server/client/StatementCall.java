package firstage.server.client;

import io.undertow.server.HttpServerExchange;

/**
 * A client's call that submits a statement, parsed but not validated yet.
 *
 * @param requestId id of the request; null if it is missing
 * @param trafficClass name of the traffic class, which is the last part of the path
 * @param trafficClassIndex index of the traffic class; -1 if it is unknown
 * @param tenant index of the tenant; 0 if the settings define none, -1 if it is missing or unknown
 * @param orderingKey ordering key; null without one
 * @param timeoutMs time that the client waits, in ms; -1 if it is missing, NaN if it is malformed
 * @param estimateMs the client's estimate of the work in ms; 0 if missing, NaN if malformed
 * @param memoryMb the client's estimate of the memory in MB; 0 if missing, NaN if malformed
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
                ClientProtocol.stringHeader(exchange, ClientProtocol.REQUEST_ID),
                trafficClass,
                classes.indexOf(trafficClass),
                classes.tenantIndex(ClientProtocol.stringHeader(exchange, ClientProtocol.TENANT)),
                ClientProtocol.stringHeader(exchange, ClientProtocol.ORDERING_KEY),
                ClientProtocol.doubleHeader(exchange, ClientProtocol.TIMEOUT_MS, -1),
                ClientProtocol.doubleHeader(exchange, ClientProtocol.ESTIMATE_MS, 0),
                ClientProtocol.doubleHeader(exchange, ClientProtocol.MEMORY_MB, 0),
                statement);
    }
}
