import java.io.IOException;
import java.util.Map;

/** A model server of one software version, which it writes into its events. It goes on after Last-Event-Id without a check. */
final class StreamServer extends Server {

    static final int EVENTS = 60;
    private static final int EVENT_MILLIS = 120;
    private static final int DRAIN_MILLIS = 2000;

    StreamServer(Deployment deployment, String service, String ip, int port, String zone, String version) throws IOException {
        super(deployment, service, ip, port, zone, 64);
        this.version = version;
    }

    @Override
    boolean handle(Connection connection, Message request) throws Exception {
        String of = request.field("X-Request-Id");
        if (request.target().equals("/v1/report")) {
            connection.write(response(200, Map.of("Content-Type", "application/json"),
                    "{\"Stage\":\"both\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],\"Busy\":false,\"Seq\":1,"
                            + "\"Waiting\":0,\"Running\":0,\"KvUsed\":0,\"KvTotal\":860173,\"Handles\":0}"));
            return true;
        }
        if (!request.field("X-Expect-Instance").isEmpty() && !request.field("X-Expect-Instance").equals(id)) {
            connection.write(response(421, Map.of("X-Not-Executed", "1", "X-Instance-Id", id, "X-Request-Id", of), ""));
            return true;
        }
        int last = request.field("Last-Event-Id").isEmpty() ? 0 : Integer.parseInt(request.field("Last-Event-Id"));
        record.add("server %s (%s) runs request %s after event %d", id, version, of, last);
        connection.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + of + "\r\nX-Response-Signature: s." + of
                + "\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = last + 1; event <= EVENTS; event++) {
            sleep(EVENT_MILLIS);
            String text = "id: " + event + "\ndata: " + version + "\n\n";
            connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        connection.write("0\r\n\r\n");
        return true;
    }

    /** Drains as the pages tell: says so, serves for a while after the acknowledgement, deregisters and exits. */
    void leave() throws IOException {
        state = "draining";
        int node = random.nextInt(100);
        while (!call("Heartbeat", node, Json.write(announcement()))) {
            node++;
            sleep(100);
        }
        record.add("server %s (%s) has said that it drains", id, version);
        sleep(DRAIN_MILLIS + 500);
        boolean acknowledged = false;
        for (int attempt = 0; attempt < 20 && !acknowledged; attempt++) {
            acknowledged = call("Deregister", node + attempt, "");
            sleep(acknowledged ? 0 : 100);
        }
        record.add("server %s (%s) exits", id, version);
        close();
    }
}
