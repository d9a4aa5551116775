import java.io.IOException;
import java.util.Map;

/** A server of a plain service: it answers each request after a while, and counts its runs. */
final class WebServer extends Server {

    private final Ledger ledger;
    private final int workMillis;

    WebServer(Deployment deployment, String service, String ip, int port, String zone, Ledger ledger, int workMillis) throws IOException {
        super(deployment, service, ip, port, zone, 6);
        this.ledger = ledger;
        this.workMillis = workMillis;
    }

    @Override
    boolean handle(Connection connection, Message request) throws Exception {
        String of = request.field("X-Request-Id");
        if (request.target().equals("/healthz")) {
            connection.write(response(200, Map.of("X-Instance-Id", id), ""));
        } else if (!request.field("X-Expect-Instance").equals(id)) {
            connection.write(response(421, Map.of("X-Not-Executed", "1", "X-Instance-Id", id, "X-Request-Id", of), ""));
        } else {
            record.add("server %s runs request %s of %d bytes (run %d)", id, of, request.body.length, ledger.ran(of));
            sleep(workMillis);
            connection.write(response(200, Map.of("X-Request-Id", of, "X-Response-Signature", "s." + of), "done " + of));
        }
        return true;
    }
}
