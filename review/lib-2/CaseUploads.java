import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send bodies in chunks, each within the limits of the configuration; then many more come at once for some
 * seconds. The processes must go on.
 */
public final class CaseUploads {

    private static final int BODY_BYTES = 4_000_000;
    private static final int CHUNK_BYTES = 32_768;
    private static final int UPLOAD_MILLIS = 1500;
    private static final int CLIENTS = Integer.getInteger("clients", 30);
    private static final double BURST = 2.4;
    private static final int CALM_SECONDS = 8;
    private static final int BURST_SECONDS = 6;
    private static final int BURSTS = 5;
    private static final int LOAD_SECONDS = CALM_SECONDS + BURSTS * (BURST_SECONDS + CALM_SECONDS);

    /** By the rule: ends of processes on one machine, and machines on which they happen (half of the core, two at least). */
    private static final int ENDS = 3;
    private static final int MACHINES = 2;
    private static final String KEY = "9dnn2ctnfzs989anu6ws";

    private CaseUploads() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(args[1])); Deployment deployment = new Deployment(Path.of(args[0]), record, 3, 3)) {
            exit = run(deployment, record, trouble);
            for (Deployment.Node node : deployment.nodes) {
                node.quote("OutOfMemory", "Terminating", "event=memory-short", "event=node-lost");
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        Ledger ledger = new Ledger(record);
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            servers.add(new WebServer(deployment, "klassenzimmer", deployment.ip(20 + i), 8080, Deployment.ZONES.get(i % 3), ledger, 20));
        }
        deployment.startAll();
        if (deployment.put(config(), 20, deployment.nodes) == null) {
            record.say("configuration not acknowledged");
            return 2;
        }
        servers.forEach(Server::start);
        Deployment.await("nodes ready", 20, () -> deployment.nodes.stream().allMatch(deployment::isReady));
        Server.sleep(2000);
        deployment.startBalancer();
        record.say("load begins, trouble=%s", trouble);
        Map<String, AtomicInteger> ends = new java.util.concurrent.ConcurrentHashMap<>();
        long start = System.nanoTime();
        int all = (int) (CLIENTS * BURST);
        for (int i = 0; i < (trouble ? all : CLIENTS); i++) {
            int number = i;
            Server.daemon(() -> client(deployment, record, ends, number, start), "client-" + i);
        }
        int[] ended = new int[deployment.nodes.size()];
        while (System.nanoTime() - start < LOAD_SECONDS * 1_000_000_000L && !isBroken(ended)) {
            Server.sleep(200);
            for (Deployment.Node node : deployment.nodes) {
                if (!node.isAlive()) {
                    ended[node.number]++;
                    record.say("process of %s ended by itself %.1f s after the load began, exit code %d", node.name(),
                            (System.nanoTime() - start) / 1e9, node.exitCode());
                    // The platform restarts it.
                    node.start(false);
                }
            }
        }
        record.say("answers to clients: %s; ends of processes by machine: %s", ends, Arrays.toString(ended));
        record.say(isBroken(ended) ? "RULE BROKEN: Fault, processes end by themselves" : "rule held");
        return isBroken(ended) ? 1 : 0;
    }

    private static boolean isBroken(int[] ended) {
        return Arrays.stream(ended).filter(count -> count >= ENDS).count() >= MACHINES;
    }

    private static boolean isBurst(double seconds) {
        return seconds % (CALM_SECONDS + BURST_SECONDS) >= CALM_SECONDS;
    }

    private static void client(Deployment deployment, Record record, Map<String, AtomicInteger> ends, int number, long start) {
        Random random = new Random();
        boolean onlyInBurst = number >= CLIENTS;
        while (System.nanoTime() - start < LOAD_SECONDS * 1_000_000_000L) {
            if (onlyInBurst && !isBurst((System.nanoTime() - start) / 1e9)) {
                Server.sleep(20);
                continue;
            }
            String request = String.format("%016x", random.nextLong());
            Deployment.Node node = deployment.balanced(number);
            String end;
            try {
                end = Integer.toString(upload(node, request));
            } catch (IOException e) {
                end = e.getClass().getSimpleName();
            }
            record.add("client %s at=%s: %s", request, node.name(), end);
            ends.computeIfAbsent(end, key -> new AtomicInteger()).incrementAndGet();
            Server.sleep(end.equals("200") ? 50 : 500);
        }
    }

    private static int upload(Deployment.Node node, String request) throws IOException {
        try (Socket socket = Call.open(node.front(), 6000)) {
            OutputStream out = socket.getOutputStream();
            out.write(("POST /upload/" + request.substring(0, 4) + " HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: " + request
                    + "\r\nX-Deadline-Ms: 6000\r\nAuthorization: Bearer " + KEY + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            byte[] data = new byte[CHUNK_BYTES];
            Arrays.fill(data, (byte) 'x');
            long start = System.nanoTime();
            for (int sent = 0; sent < BODY_BYTES; sent += CHUNK_BYTES) {
                int size = Math.min(CHUNK_BYTES, BODY_BYTES - sent);
                out.write((Integer.toHexString(size) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.write(data, 0, size);
                out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
                long ahead = (long) ((double) sent / BODY_BYTES * UPLOAD_MILLIS) - (System.nanoTime() - start) / 1_000_000;
                if (ahead > 0 && ahead < UPLOAD_MILLIS) {
                    Server.sleep(ahead);
                }
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            Message response = Message.read(new BufferedInputStream(socket.getInputStream()));
            if (response == null) {
                throw new IOException("closed without a response");
            }
            return response.status();
        }
    }

    private static String config() {
        Map<String, Object> route = Json.of("Name", "r-upload", "Host", "jepu9.example", "PathPrefix", "/upload/", "RouteType", "unsafe",
                "TimeoutMs", 5000, "SloMs", 2000, "Priority", 2, "Service", "klassenzimmer", "MaxAttempts", 1, "Public", false,
                "Sticky", false, "Resumable", false);
        return Json.write(Json.of("Version", 7, "Routes", List.of(route),
                "Services", List.of(Json.of("Name", "klassenzimmer", "HealthPath", "/healthz", "MaxConns", 110, "Protocol", "h1", "Tls", false)),
                "Limits", Json.of("MaxHeaderBytes", 16384, "MaxBodyBytes", 4194304, "HeaderTimeoutMs", 3000, "IdleTimeoutMs", 15000),
                "Tenants", List.of(Json.of("Name", "bozi300", "ApiKeys", List.of(KEY), "Priority", 1))));
    }
}
