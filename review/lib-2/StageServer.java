import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A server of stages: one call at a time, two may wait. While it garbles, a share of its answers comes once more, late. */
final class StageServer extends Server {

    static final int CALL_MILLIS = 240;
    private static final double ITEM_MILLIS = 17.5;
    private static final int PLACES = 3;

    private final Ledger ledger;
    private final int[] inputsOf;
    private final AtomicLong made = new AtomicLong(System.nanoTime());
    private final Semaphore slot = new Semaphore(1, true);
    private final AtomicInteger places = new AtomicInteger();
    private volatile double garbledShare;

    /** Creates a server; {@code inputsOf} holds for each stage the stage that it follows, or -1. */
    StageServer(Deployment deployment, String service, String ip, int port, String zone, Ledger ledger, int... inputsOf)
            throws IOException {
        super(deployment, service, ip, port, zone, 1);
        this.ledger = ledger;
        this.inputsOf = inputsOf;
    }

    /** Sets which share of its answers it sends a second time, where the next answer is expected. */
    void garble(double share) {
        garbledShare = share;
    }

    @Override
    boolean handle(Connection connection, Message request) throws Exception {
        if (connection.late.length > 0) {
            record.add("server %s sends an answer a second time, where that to %s is expected", id, request.target());
            connection.write(connection.late);
            connection.late = new byte[0];
        }
        String answer = answer(request);
        connection.write(answer);
        if (request.target().equals("/v1/stage-run") && random.nextDouble() < garbledShare) {
            connection.late = answer.getBytes();
        }
        return true;
    }

    private String answer(Message request) throws Exception {
        if (!request.field("X-Expect-Instance").isEmpty() && !request.field("X-Expect-Instance").equals(id)) {
            return response(421, Map.of("X-Not-Executed", "1", "X-Instance-Id", id), "");
        }
        if (request.target().equals("/v1/stage-free")) {
            return response(200, head(request), "{}");
        }
        if (request.target().equals("/v1/report")) {
            return response(200, head(request), "{\"Waiting\":0,\"Busy\":false,\"FreeMb\":14}");
        }
        if (!request.target().equals("/v1/stage-run")) {
            return response(200, Map.of("X-Instance-Id", id), "");
        }
        if (places.incrementAndGet() > PLACES) {
            places.decrementAndGet();
            return response(503, Map.of("X-Not-Executed", "1", "X-Server-Load", load()), "");
        }
        slot.acquire();
        try {
            return response(200, head(request), run(request));
        } finally {
            slot.release();
            places.decrementAndGet();
        }
    }

    private Map<String, String> head(Message request) {
        Map<String, String> fields = new java.util.LinkedHashMap<>();
        fields.put("Content-Type", "application/json");
        fields.put("X-Server-Load", load());
        if (!request.field("X-Request-Id").isEmpty()) {
            // A server repeats the id of the call, which tells a late answer from the one that is expected.
            fields.put("X-Request-Id", request.field("X-Request-Id"));
        }
        return fields;
    }

    private String load() {
        return Math.min(1, places.get()) + "," + Math.max(0, places.get() - 1) + ",1";
    }

    private String run(Message request) {
        List<Object> items = Json.list(Json.object(request.text()).get("Items"));
        List<Object> outcomes = new ArrayList<>();
        for (Object each : items) {
            Map<?, ?> item = (Map<?, ?>) each;
            String of = (String) item.get("Id");
            int stage = ((Double) item.get("Stage")).intValue();
            int piece = ((Double) item.get("Piece")).intValue();
            if (inputsOf[stage] >= 0) {
                List<String> inputs = Json.list(item.get("Inputs")).stream().map(String.class::cast).toList();
                ledger.given("piece " + stage + "/" + piece, of, inputsOf[stage], inputs);
            }
            String handle = address + '/' + Long.toHexString(made.incrementAndGet());
            ledger.results.put(handle, new Ledger.Result(of, stage, piece));
            record.add("server %s runs piece %d/%d of %s -> %s", id, stage, piece, of, handle);
            outcomes.add(Json.of("Handle", handle));
        }
        sleep(CALL_MILLIS + (long) (ITEM_MILLIS * items.size()));
        return Json.write(Json.of("Items", outcomes));
    }
}
