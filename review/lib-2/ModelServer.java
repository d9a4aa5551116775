import java.io.IOException;
import java.util.List;
import java.util.Map;

/** A model server: it checks the inputs of a request and answers with a stream of events. */
final class ModelServer extends Server {

    private final Ledger ledger;
    private final int lastStage;
    private final int events;
    private final int eventMillis;

    ModelServer(Deployment deployment, String service, String ip, int port, String zone, Ledger ledger, int lastStage, int events,
            int eventMillis) throws IOException {
        super(deployment, service, ip, port, zone, 64);
        this.ledger = ledger;
        this.lastStage = lastStage;
        this.events = events;
        this.eventMillis = eventMillis;
    }

    @Override
    boolean handle(Connection connection, Message request) throws Exception {
        if (request.target().equals("/v1/report")) {
            connection.write(response(200, Map.of("Content-Type", "application/json"),
                    "{\"Stage\":\"both\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],\"Busy\":false,\"Seq\":1,"
                            + "\"Waiting\":0,\"Running\":0,\"KvUsed\":0,\"KvTotal\":860173,\"Handles\":0}"));
            return true;
        }
        if (request.target().equals("/healthz")) {
            connection.write(response(200, Map.of("X-Instance-Id", id), ""));
            return true;
        }
        String of = request.field("X-Request-Id");
        if (!request.field("X-Expect-Instance").isEmpty() && !request.field("X-Expect-Instance").equals(id)) {
            connection.write(response(421, Map.of("X-Not-Executed", "1", "X-Instance-Id", id, "X-Request-Id", of), ""));
            return true;
        }
        if (lastStage >= 0) {
            List<String> inputs = request.field("X-Inputs").isEmpty() ? List.of() : List.of(request.field("X-Inputs").split(","));
            ledger.given("the request", of, lastStage, inputs);
        }
        record.add("server %s runs request %s (run %d)", id, of, ledger.ran(of));
        connection.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + of
                + "\r\nX-Response-Signature: s." + of + "\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; event <= events; event++) {
            sleep(eventMillis);
            String text = "id: " + event + "\ndata: " + of + " piece " + event + "\n\n";
            connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        connection.write("0\r\n\r\n");
        return true;
    }
}
