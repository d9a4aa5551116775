import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request crashes each server that runs it, and comes again every few seconds. All processes of the system are killed at
 * the same moment and restarted, three times. Once it has crashed three servers, no more than three of its retries may reach
 * servers.
 */
public final class CaseForgotten {

    private static final double FATAL_EVERY_SECONDS = 5;
    private static final double CYCLE_SECONDS = 22;
    private static final int KILLS = 3;
    private static final double DOWN_SECONDS = 1;
    private static final double CONTACT_SECONDS = 3;
    private static final long SERVER_BACK_MILLIS = 3000;
    private static final int ALLOWED_RETRIES = 3;
    private static final String KEY = "9dnn2ctnfzs989anu6ws";

    private final Deployment deployment;
    private final Record record;
    private final boolean trouble;
    private final List<Double> crashes = new ArrayList<>();
    private final Set<String> late = ConcurrentHashMap.newKeySet();
    private final AtomicInteger lateArrivals = new AtomicInteger();
    private final AtomicInteger sound = new AtomicInteger();
    private final AtomicInteger soundServed = new AtomicInteger();
    private final ConcurrentLinkedQueue<Server> servers = new ConcurrentLinkedQueue<>();
    private volatile double startedAgainAt = -100;

    private CaseForgotten(Deployment deployment, Record record, boolean trouble) {
        this.deployment = deployment;
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(args[1])); Deployment deployment = new Deployment(Path.of(args[0]), record, 3, 3)) {
            exit = new CaseForgotten(deployment, record, trouble).run();
            for (Deployment.Node node : deployment.nodes) {
                node.quote("event=request-suspected", "event=request-held-off", "event=upstream-ended");
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private int run() throws Exception {
        deployment.startAll();
        if (deployment.put(config(), 20, deployment.nodes) == null) {
            record.say("configuration not acknowledged");
            return 2;
        }
        for (int i = 0; i < 8; i++) {
            start(deployment.ip(20 + i), Deployment.ZONES.get(i % 3));
        }
        Deployment.await("nodes ready", 20, () -> deployment.nodes.stream().allMatch(deployment::isReady));
        Server.sleep(3000);
        deployment.startBalancer();
        double start = record.seconds();
        record.say("load begins, trouble=%s", trouble);
        Server.daemon(this::sendSound, "sound");
        double nextFatal = start;
        int kills = 0;
        while (record.seconds() < start + (KILLS + 1) * CYCLE_SECONDS) {
            double at = record.seconds();
            if (trouble && kills < KILLS && at >= start + (kills + 1) * CYCLE_SECONDS - 10) {
                kills++;
                killAll();
            }
            // The caller waits for a while after the kills, until the core is stable again for twice ContactMs.
            if (at >= nextFatal && at > startedAgainAt + 2 * CONTACT_SECONDS) {
                nextFatal = at + FATAL_EVERY_SECONDS;
                Server.daemon(() -> send(FatalServer.FATAL_PATH, "fatal"), "fatal");
            }
            Server.sleep(50);
        }
        record.say("crashes=%d; retries that reached servers later than ContactMs after the third: %d, in %d arrivals; sound requests served %d of %d",
                crashes.size(), late.size(), lateArrivals.get(), soundServed.get(), sound.get());
        if (crashes.size() < 3 || soundServed.get() < sound.get() / 2) {
            return 2;
        }
        boolean broken = late.size() > ALLOWED_RETRIES;
        record.say(broken ? "RULE BROKEN: BUDGET" : "rule held");
        return broken ? 1 : 0;
    }

    private void killAll() throws Exception {
        record.say("all processes are killed at %.1f s", record.seconds());
        for (Deployment.Node node : deployment.nodes) {
            node.signal("KILL");
        }
        Server.sleep((long) (DOWN_SECONDS * 1000));
        for (Deployment.Node node : deployment.nodes) {
            node.start(false);
        }
        startedAgainAt = record.seconds();
    }

    private void start(String ip, String zone) throws IOException {
        FatalServer server = new FatalServer(deployment, "klassenzimmer", ip, 8080, zone, this::crash);
        servers.add(server);
        server.start();
    }

    private synchronized void crash(FatalServer server, Message request) {
        String of = request.field("X-Request-Id");
        double now = record.seconds();
        boolean inTouch = now > startedAgainAt + 2 * CONTACT_SECONDS;
        if (crashes.size() >= 3 && now > crashes.get(2) + CONTACT_SECONDS && inTouch) {
            late.add(of);
            lateArrivals.incrementAndGet();
        }
        crashes.add(now);
        record.add("server %s crashes under request %s (crash %d)", server.id, of, crashes.size());
        try {
            server.close();
        } catch (IOException e) {
            record.add("server %s: %s", server.id, e);
        }
        String ip = server.address.substring(0, server.address.indexOf(':'));
        Server.daemon(() -> {
            Server.sleep(SERVER_BACK_MILLIS);
            try {
                start(ip, server.zone);
            } catch (IOException e) {
                record.add("server at %s not back: %s", ip, e);
            }
        }, "back");
    }

    private void sendSound() {
        int number = 0;
        while (true) {
            int path = number++;
            Server.daemon(() -> {
                sound.incrementAndGet();
                if (send("/puxa400/" + Integer.toHexString(path), "sound") == 200) {
                    soundServed.incrementAndGet();
                }
            }, "sound-request");
            Server.sleep(100);
        }
    }

    private int send(String target, String kind) {
        Random random = new Random();
        String request = String.format("%016x", random.nextLong());
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("Host", "jepu9.example");
        fields.put("X-Request-Id", request);
        fields.put("X-Deadline-Ms", "1500");
        fields.put("Authorization", "Bearer " + KEY);
        Deployment.Node node = deployment.balanced(random.nextInt(1000));
        try {
            int status = Call.send(node.front(), "GET", target, fields, new byte[0], 1500).status();
            record.add("client %s request %s at=%s: %d", kind, request, node.name(), status);
            return status;
        } catch (IOException e) {
            record.add("client %s request %s at=%s: %s", kind, request, node.name(), e);
            return 0;
        }
    }

    private static String config() {
        Map<String, Object> route = Json.of("Name", "r-view", "Host", "jepu9.example", "PathPrefix", "/puxa400/", "RouteType", "safe",
                "TimeoutMs", 1500, "SloMs", 120, "Priority", 2, "Service", "klassenzimmer", "MaxAttempts", 2, "Public", false,
                "Sticky", false, "Resumable", false);
        return Json.write(Json.of("Version", 7, "Routes", List.of(route),
                "Services", List.of(Json.of("Name", "klassenzimmer", "HealthPath", "/healthz", "MaxConns", 110, "Protocol", "h1", "Tls", false)),
                "Limits", Json.of("MaxHeaderBytes", 16384, "MaxBodyBytes", 4194304, "HeaderTimeoutMs", 3000, "IdleTimeoutMs", 15000),
                "Tenants", List.of(Json.of("Name", "bozi300", "ApiKeys", List.of(KEY), "Priority", 1))));
    }
}
