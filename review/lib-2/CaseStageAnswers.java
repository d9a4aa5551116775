import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers of stages send some answers a second time, where the next answer on the connection is expected. No piece and
 * no request may be given the results of another request.
 */
public final class CaseStageAnswers {

    private static final double SHARE_OF_SERVERS = 0.6;
    private static final double SHARE_OF_ANSWERS = 0.03;
    private static final int GARBLE_SECONDS = 5;
    private static final int PAUSE_SECONDS = 1;
    private static final int LOAD_SECONDS = 75;
    private static final int REQUESTS_PER_SECOND = 10;
    private static final String KEY = "9dnn2ctnfzs989anu6ws";

    private CaseStageAnswers() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(args[1])); Deployment deployment = new Deployment(Path.of(args[0]), record, 3, 3)) {
            exit = run(deployment, record, trouble);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        Ledger ledger = new Ledger(record);
        List<StageServer> stages = new ArrayList<>();
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            String zone = Deployment.ZONES.get(i % 3);
            stages.add(new StageServer(deployment, "kafi81c", deployment.ip(20 + i), 8080, zone, ledger, -1, 0));
            stages.add(new StageServer(deployment, "lovo22d", deployment.ip(30 + i), 8080, zone, ledger, -1, 0));
            servers.add(new ModelServer(deployment, "huvo11a", deployment.ip(40 + i), 8080, zone, ledger, 1, 8, 30));
        }
        servers.addAll(stages);
        deployment.startAll();
        String acknowledged = deployment.put(config(), 20, deployment.nodes);
        if (acknowledged == null) {
            record.say("configuration not acknowledged");
            return 2;
        }
        servers.forEach(Server::start);
        Deployment.await("nodes ready", 20, () -> deployment.nodes.stream().allMatch(deployment::isReady));
        Server.sleep(2000);
        record.say("load begins, trouble=%s", trouble);
        if (trouble) {
            Server.daemon(() -> garble(stages, record), "garble");
        }
        AtomicInteger served = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        ExecutorService clients = Executors.newCachedThreadPool();
        Random random = new Random();
        for (int i = 0; i < LOAD_SECONDS * REQUESTS_PER_SECOND; i++) {
            String request = String.format("%016x", random.nextLong());
            clients.execute(() -> (ask(deployment, record, ledger, request) ? served : failed).incrementAndGet());
            Server.sleep(1000 / REQUESTS_PER_SECOND);
        }
        Server.sleep(4000);
        clients.shutdownNow();
        for (Server server : servers) {
            server.close();
        }
        record.say("served=%d failed=%d inputs checked=%d with foreign, missing or repeated inputs=%d", served.get(), failed.get(),
                ledger.checked.get(), ledger.mixed.get());
        if (served.get() < LOAD_SECONDS * REQUESTS_PER_SECOND / 2) {
            record.say("too few requests were served to judge");
            return 2;
        }
        record.say(ledger.mixed.get() > 0 ? "RULE BROKEN: MIXED" : "rule held");
        return ledger.mixed.get() > 0 ? 1 : 0;
    }

    private static void garble(List<StageServer> stages, Record record) {
        Random random = new Random();
        while (true) {
            List<StageServer> order = new ArrayList<>(stages);
            java.util.Collections.shuffle(order, random);
            List<StageServer> faulty = order.subList(0, (int) (SHARE_OF_SERVERS * order.size()));
            faulty.forEach(server -> server.garble(SHARE_OF_ANSWERS));
            record.add("garble begins at %d of %d servers", faulty.size(), order.size());
            Server.sleep(GARBLE_SECONDS * 1000L);
            faulty.forEach(server -> server.garble(0));
            Server.sleep(PAUSE_SECONDS * 1000L);
        }
    }

    private static boolean ask(Deployment deployment, Record record, Ledger ledger, String request) {
        ledger.asked(request, 1, 1);
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("Host", "pule25.example");
        fields.put("X-Request-Id", request);
        fields.put("X-Model", "m");
        fields.put("X-Token-Usage", "830,80");
        fields.put("X-Prefix-Hash", "5c1e07a2:119," + request.substring(8) + ":711");
        fields.put("X-Pieces", "1,1");
        fields.put("X-Piece-Key", request.substring(0, 12));
        fields.put("X-Deadline-Ms", "15000");
        fields.put("Authorization", "Bearer " + KEY);
        Deployment.Node node = deployment.nodes.get((int) (Math.abs(request.hashCode()) % deployment.nodes.size()));
        try {
            Message response = Call.send(node.front(), "POST", "/puxa400/2f", fields, "prompt".getBytes(), 15_000);
            record.add("client %s at=%s status=%d", request, node.name(), response.status());
            return response.status() == 200;
        } catch (Exception e) {
            record.add("client %s at=%s failed=%s", request, node.name(), e);
            return false;
        }
    }

    static String config() {
        Map<String, Object> route = Json.of("Name", "r-one", "Host", "pule25.example", "PathPrefix", "/puxa400/", "RouteType", "stream",
                "TimeoutMs", 15000, "SloMs", 1900, "Priority", 0, "Service", "huvo11a", "MaxAttempts", 2,
                "Stages", List.of(Json.of("Service", "kafi81c", "After", List.of(), "SizeBytes", 8000),
                        Json.of("Service", "lovo22d", "After", List.of(0), "SizeBytes", 60000)),
                "Public", false, "Sticky", true, "Resumable", true, "GapTargetMs", 200);
        Map<String, Object> engine = Json.of("Slots", 64, "KvCapacityTokens", 860173, "KvTokenBytes", 35136, "LinkMbps", 550000.0,
                "Moves", true, "Backups", true, "Stride", 6, "most", 12, "PinMs", 4000.0, "HoldMs", 2000.0, "HandleS", 5.0,
                "Models", List.of(Json.of("Name", "m")));
        return Json.write(Json.of("Version", 7, "Routes", List.of(route),
                "Services", List.of(
                        Json.of("Name", "huvo11a", "HealthPath", "/healthz", "MaxConns", 370, "Protocol", "h1", "Tls", false, "Engine", engine),
                        stage("kafi81c"), stage("lovo22d")),
                "Limits", Json.of("MaxHeaderBytes", 16384, "MaxBodyBytes", 4194304, "HeaderTimeoutMs", 3000, "IdleTimeoutMs", 15000),
                "Tenants", List.of(Json.of("Name", "bozi300", "ApiKeys", List.of(KEY), "Priority", 1))));
    }

    private static Map<String, Object> stage(String name) {
        return Json.of("Name", name, "HealthPath", "/healthz", "MaxConns", 370, "Protocol", "h1", "Tls", false,
                "Pieces", Json.of("Slots", 1, "Queue", 2, "Batch", 12, "CallMs", 240.0, "ItemMs", 17.5, "HeadroomMb", 14.57,
                        "HandleS", 4.0, "LinkMbps", 10000));
    }
}
