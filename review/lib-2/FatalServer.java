import java.io.IOException;
import java.util.Map;
import java.util.function.BiConsumer;

/** A server of a plain service that crashes as soon as it begins to run a request with the fatal path. */
final class FatalServer extends Server {

    static final String FATAL_PATH = "/puxa400/fatal";

    private final BiConsumer<FatalServer, Message> crash;

    FatalServer(Deployment deployment, String service, String ip, int port, String zone, BiConsumer<FatalServer, Message> crash)
            throws IOException {
        super(deployment, service, ip, port, zone, 6);
        this.crash = crash;
    }

    @Override
    boolean handle(Connection connection, Message request) throws Exception {
        String of = request.field("X-Request-Id");
        if (!request.field("X-Expect-Instance").isEmpty() && !request.field("X-Expect-Instance").equals(id)) {
            connection.write(response(421, Map.of("X-Not-Executed", "1", "X-Instance-Id", id, "X-Request-Id", of), ""));
        } else if (request.target().equals(FATAL_PATH)) {
            crash.accept(this, request);
            return false;
        } else {
            sleep(20);
            connection.write(response(200, Map.of("X-Request-Id", of, "X-Response-Signature", "s." + of), "done " + of));
        }
        return true;
    }
}
