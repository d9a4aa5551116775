import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The servers of a service are replaced by servers of another software version. When the last old ones have left, all processes
 * of the system are killed at the same moment, and are back after a second. Clients take up the streams that broke off. No
 * more than two streams may hold events of both versions.
 */
public final class CaseVersions {

    private static final int STREAMS_PER_SECOND = 10;
    private static final double LOAD_SECONDS = 30;
    private static final long DOWN_MILLIS = 1000;
    private static final int TRIES = 6;
    private static final int DEADLINE_MILLIS = 20_000;
    private static final int ALLOWED = 2;
    private static final String KEY = "9dnn2ctnfzs989anu6ws";

    private final Deployment deployment;
    private final Record record;
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger takenUp = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger joined = new AtomicInteger();

    private CaseVersions(Deployment deployment, Record record) {
        this.deployment = deployment;
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(args[1])); Deployment deployment = new Deployment(Path.of(args[0]), record, 3, 3)) {
            exit = new CaseVersions(deployment, record).run(trouble);
            for (Deployment.Node node : deployment.nodes) {
                node.quote("event=software-seen", "event=origin", "event=started");
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private int run(boolean trouble) throws Exception {
        deployment.startAll();
        if (deployment.put(config(), 20, deployment.nodes) == null) {
            record.say("configuration not acknowledged");
            return 2;
        }
        List<StreamServer> old = start("v1", 40, 4);
        Deployment.await("nodes ready", 20, () -> deployment.nodes.stream().allMatch(deployment::isReady));
        Server.sleep(3000);
        deployment.startBalancer();
        record.say("load begins, trouble=%s", trouble);
        double start = record.seconds();
        Server.daemon(() -> load(start), "load");
        Server.sleep(4000);
        // Two releases, each of half of the servers, two at a time: the new ones start first, the old ones drain.
        start("v2", 50, 2);
        Server.sleep(2500);
        old.subList(0, 2).forEach(server -> Server.daemon(() -> leave(server), "leave"));
        Server.sleep(4000);
        start("v2", 52, 2);
        Server.sleep(2500);
        List<Thread> last = old.subList(2, 4).stream().map(server -> new Thread(() -> leave(server))).toList();
        last.forEach(Thread::start);
        // The last old servers exit 2.5 s after they have said that they drain.
        for (Thread thread : last) {
            thread.join();
        }
        Server.sleep(300);
        if (trouble) {
            record.say("all processes are killed");
            for (Deployment.Node node : deployment.nodes) {
                node.signal("KILL");
            }
            Server.sleep(DOWN_MILLIS);
            for (Deployment.Node node : deployment.nodes) {
                node.start(false);
            }
        }
        while (record.seconds() < start + LOAD_SECONDS + 12) {
            Server.sleep(200);
        }
        record.say("streams whole=%d, failed=%d, taken up=%d, with events of both versions=%d", whole.get(), failed.get(), takenUp.get(),
                joined.get());
        if (whole.get() < 50) {
            return 2;
        }
        boolean broken = joined.get() > ALLOWED;
        record.say(broken ? "RULE BROKEN: ORDER" : "rule held");
        return broken ? 1 : 0;
    }

    private List<StreamServer> start(String version, int firstIp, int count) throws IOException {
        List<StreamServer> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(new StreamServer(deployment, "huvo11a", deployment.ip(firstIp + i), 8080, Deployment.ZONES.get(i % 3), version));
        }
        servers.forEach(Server::start);
        return servers;
    }

    private static void leave(StreamServer server) {
        try {
            server.leave();
        } catch (IOException e) {
            e.printStackTrace();
        }
    }

    private void load(double start) {
        Random random = new Random();
        while (record.seconds() < start + LOAD_SECONDS) {
            int client = random.nextInt(1000);
            Server.daemon(() -> stream(client), "client");
            Server.sleep(1000 / STREAMS_PER_SECOND);
        }
    }

    /** One stream of a client: it is taken up at another node where it broke off, a few times, within its deadline. */
    private void stream(int client) {
        long deadlineAt = System.nanoTime() + DEADLINE_MILLIS * 1_000_000L;
        Set<String> versions = new TreeSet<>();
        int[] lastEvent = new int[1];
        String first = "";
        boolean complete = false;
        for (int attempt = 0; attempt < TRIES && !complete && System.nanoTime() < deadlineAt; attempt++) {
            String request = String.format("%016x", new Random().nextLong());
            long left = (deadlineAt - System.nanoTime()) / 1_000_000;
            long wait = 500;
            try {
                int before = lastEvent[0];
                Answer answer = ask(deployment.balanced(client + attempt), request, first, lastEvent, versions, left);
                complete = answer.complete();
                wait = answer.retryAfterMillis();
                takenUp.addAndGet(before > 0 && lastEvent[0] > before ? 1 : 0);
            } catch (IOException | RuntimeException e) {
                record.add("client request %s (first %s) after event %d: %s", request, first, lastEvent[0], e);
            }
            // The attempt that brought the first event names the stream.
            first = first.isEmpty() && lastEvent[0] > 0 ? request : first;
            if (!complete) {
                // At least as long as it was told, and longer each time; a third of the time left at most.
                Server.sleep(Math.min(Math.max(wait, (long) (500 * Math.pow(1.6, attempt))), left / 3));
            }
        }
        (complete ? whole : failed).incrementAndGet();
        if (versions.size() > 1) {
            joined.incrementAndGet();
            record.add("ORDER the stream that request %s began holds events of %s", first, versions);
        }
    }

    private record Answer(boolean complete, long retryAfterMillis) {}

    private Answer ask(Deployment.Node node, String request, String first, int[] lastEvent, Set<String> versions, long left) throws IOException {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("Host", "pule25.example");
        fields.put("X-Request-Id", request);
        fields.put("X-Model", "m");
        fields.put("X-Token-Usage", "830,80");
        fields.put("X-Prefix-Hash", "5c1e07a2:119," + request.substring(8) + ":711");
        fields.put("X-Deadline-Ms", Long.toString(left));
        fields.put("Authorization", "Bearer " + KEY);
        if (!first.isEmpty()) {
            fields.put("Last-Event-Id", Integer.toString(lastEvent[0]));
            fields.put("Resumes", first);
        }
        try (Socket socket = Call.open(node.front(), (int) left)) {
            Call.write(socket, node.front(), "POST", "/puxa400/2f", fields, "prompt".getBytes());
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Message head = Message.readHead(in);
            if (head == null) {
                throw new IOException("closed without a response");
            }
            if (head.status() != 200) {
                record.add("client request %s (first %s) after event %d at=%s: %d", request, first, lastEvent[0], node.name(), head.status());
                String after = head.field("Retry-After");
                return new Answer(false, after.isEmpty() ? 500 : (long) (1000 * Double.parseDouble(after)));
            }
            byte[] chunk = Message.readChunk(in);
            while (chunk.length > 0) {
                for (String line : new String(chunk).split("\n")) {
                    if (line.startsWith("id: ")) {
                        lastEvent[0] = Integer.parseInt(line.substring(4).trim());
                    } else if (line.startsWith("data: ")) {
                        versions.add(line.substring(6).trim());
                    }
                }
                chunk = Message.readChunk(in);
            }
            return new Answer(true, 0);
        }
    }

    private static String config() {
        Map<String, Object> route = Json.of("Name", "r-draft", "Host", "pule25.example", "PathPrefix", "/puxa400/", "RouteType", "stream",
                "TimeoutMs", 20000, "SloMs", 1900, "Priority", 0, "Service", "huvo11a", "MaxAttempts", 2, "Public", false, "Sticky", true,
                "Resumable", true, "GapTargetMs", 200);
        Map<String, Object> engine = Json.of("Slots", 64, "KvCapacityTokens", 860173, "KvTokenBytes", 35136, "LinkMbps", 550000.0,
                "Models", List.of(Json.of("Name", "m")));
        return Json.write(Json.of("Version", 7, "Routes", List.of(route),
                "Services", List.of(Json.of("Name", "huvo11a", "HealthPath", "/healthz", "MaxConns", 370, "Protocol", "h1", "Tls", false, "Engine", engine)),
                "Limits", Json.of("MaxHeaderBytes", 16384, "MaxBodyBytes", 4194304, "HeaderTimeoutMs", 3000, "IdleTimeoutMs", 15000),
                "Tenants", List.of(Json.of("Name", "bozi300", "ApiKeys", List.of(KEY), "Priority", 1))));
    }
}
