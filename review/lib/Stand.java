import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Stand-ins of a small deployment on loopback: nodes as processes, servers, an operator and a plain HTTP client. */
final class Stand implements AutoCloseable {
    static final long START = System.nanoTime();

    final Path home;
    final Path folder;
    final PrintWriter record;
    final List<Node> nodes = new ArrayList<>();
    final List<Server> servers = new CopyOnWriteArrayList<>();
    final int net;
    final int ctl;
    final int front;
    final int ready;
    final int mesh;
    /** Open until this is closed. */
    private ServerSocket reservation;
    /** The first machines have a disk, as in a zone of the platform. */
    int disks = 3;
    String bounds = "{\"SeedLagS\":3,\"ReuseDelayS\":2,\"ContactMs\":3000,\"AckMs\":4000,\"CatchUpS\":4,\"DrainMs\":2000,"
            + "\"GraceS\":8,\"LossSlackMs\":200,\"ConfigMs\":2000,\"RollbackSlackMs\":250,\"OuterMs\":5000,"
            + "\"StrictRevoke\":true,\"RevokeMs\":5000,\"RetryRatio\":0.2,\"RetryWindowS\":10,\"RetrySlack\":58,"
            + "\"RecoveryS\":12,\"PassMs\":120,\"ReuseWindowS\":10}";

    /** home: the repository; record: where the record goes. */
    Stand(Path home, Path recordFile, int count) throws Exception {
        this.home = home;
        this.folder = Files.createTempDirectory("review-stand");
        // Also ends the nodes if this process is told to stop.
        Runtime.getRuntime().addShutdownHook(new Thread(this::endNodes));
        this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        Random random = new Random();
        // An own part of the loopback range, and ports that are free there now.
        int part = 10 + random.nextInt(200);
        while (!isReserved(part)) {
            part = 10 + random.nextInt(200);
        }
        int base;
        do {
            base = 20000 + random.nextInt(10000);
        } while (!isFree("127." + part + ".1.11", base, base + 1, base + 100, base + 101, base + 102));
        net = part;
        mesh = base;
        front = base + 100;
        ready = base + 101;
        ctl = base + 102;
        StringBuilder seeds = new StringBuilder();
        for (int i = 0; i < Math.min(3, count); i++) {
            seeds.append(i == 0 ? "" : ",").append('"').append(nodeIp(i)).append(':').append(ctl).append('"');
        }
        for (int i = 0; i < count; i++) {
            nodes.add(new Node(i, seeds.toString()));
        }
    }

    /** Keeps a part of the loopback range for this process, so that another script at the same time draws another one. */
    private boolean isReserved(int part) throws IOException {
        ServerSocket socket = new ServerSocket();
        try {
            socket.bind(new InetSocketAddress("127." + part + ".250.250", 19999));
            reservation = socket;
            return true;
        } catch (IOException e) {
            socket.close();
            return false;
        }
    }

    private static boolean isFree(String ip, int... ports) {
        for (int port : ports) {
            try (ServerSocket probe = new ServerSocket()) {
                probe.bind(new InetSocketAddress(ip, port));
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }

    String nodeIp(int i) {
        return "127." + net + ".1." + (11 + i);
    }

    String serverIp(int i) {
        return "127." + net + ".2." + (11 + i);
    }

    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    synchronized void log(String text) {
        record.printf(Locale.ROOT, "%8.3f %s%n", now(), text);
    }

    @Override
    public void close() {
        servers.forEach(Server::stop);
        endNodes();
        record.flush();
        try {
            reservation.close();
        } catch (IOException e) {
            // nothing was sent there
        }
        if (!Boolean.getBoolean("keep")) {
            delete(folder.toFile());
        }
    }

    private void endNodes() {
        nodes.forEach(Node::kill);
    }

    private static void delete(File file) {
        File[] inside = file.listFiles();
        if (inside != null) {
            for (File each : inside) {
                delete(each);
            }
        }
        file.delete();
    }

    /** One node of the system, started with the command of the deploy file. */
    final class Node {
        final int index;
        final String ip;
        final Path settings;
        final Path data;
        final Path out;
        final String seeds;
        volatile Process process;
        boolean bootstrap = true;

        Node(int index, String seeds) throws IOException {
            this.index = index;
            this.ip = nodeIp(index);
            this.seeds = seeds;
            this.settings = folder.resolve("node-" + index + ".json");
            this.data = Files.createDirectories(folder.resolve("data-" + index));
            this.out = folder.resolve("node-" + index + ".out");
        }

        void start() throws IOException {
            String zones = "{\"bern-a\":\"m\",\"bern-b\":\"m\",\"olten\":\"m\"}";
            String zone = List.of("bern-a", "bern-b", "olten").get(index % 3);
            Files.writeString(settings, "{\"Node\":\"front-" + zone + "-" + (1 + index) + "\",\"Role\":\"node\","
                    + "\"MachineClass\":\"front\",\"Serves\":[\"front\",\"control\"],\"Ip\":\"" + ip + "\",\"Zone\":\"" + zone
                    + "\",\"Region\":\"m\",\"Zones\":" + zones + ",\"Listen\":{\"Front\":\"" + ip + ":" + front
                    + "\",\"Ready\":\"" + ip + ":" + ready + "\",\"Control\":\"" + ip + ":" + ctl + "\"},\"PortRange\":["
                    + mesh + "," + (mesh + 15) + "],\"Seeds\":[" + seeds + "],\"Bootstrap\":" + bootstrap
                    + ",\"InTolerance\":" + (index < disks) + ",\"Limits\":{\"CpuShare\":0.675,\"Cores\":2,\"MemoryMb\":430,\"MaxFds\":4100,"
                    + "\"LinkMbps\":1000.0,\"DiskMb\":64},\"DataDir\":" + (index < disks ? "\"" + data + "\"" : "null") + ",\"Discovery\":\"registry\","
                    + "\"Entry\":\"vip\",\"HeartbeatMs\":1200,\"Invariants\":[\"base\",\"drain\",\"config\",\"cost\","
                    + "\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"stages\"],\"FaultTolerance\":"
                    + "{\"Machines\":1,\"Zones\":0,\"Regions\":0},\"Bounds\":" + bounds + ",\"ConfigMode\":\"highest\"}");
            ProcessBuilder builder = new ProcessBuilder(runCommand());
            builder.directory(home.toFile());
            builder.environment().put("COPPERSPINDLE_SETTINGS", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(out.toFile()));
            process = builder.start();
            bootstrap = false;
            log("node " + index + " started pid " + process.pid());
            Process started = process;
            started.onExit().thenAccept(p -> log("node " + index + " pid " + p.pid() + " ended with exit code "
                    + p.exitValue()));
        }

        void signal(String name) throws Exception {
            log("node " + index + " signal " + name);
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        void kill() {
            if (process != null && process.isAlive()) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }

        boolean isReady() {
            try {
                return get(ip, ready, "/v1/ready").status == 200;
            } catch (IOException e) {
                return false;
            }
        }
    }

    /** The run command of the deploy file. */
    List<String> runCommand() throws IOException {
        for (String line : Files.readAllLines(home.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return Arrays.asList(line.substring(7, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("no run command in the deploy file");
    }

    void awaitReady(int seconds) throws Exception {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        for (Node node : nodes) {
            while (!node.isReady()) {
                if (System.nanoTime() > end) {
                    throw new IOException("node " + node.index + " isn't ready");
                }
                Thread.sleep(100);
            }
        }
        log("all nodes ready");
    }

    /** Puts a configuration until it is acknowledged; follows redirects. */
    boolean put(String config, int seconds) throws Exception {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        int i = 0;
        while (System.nanoTime() < end) {
            Node node = nodes.get(i++ % nodes.size());
            try {
                Answer a = control(node.ip, "POST", "/v1/Config.Put", config);
                if (a.status != 503) {
                    log("Config.Put at node " + node.index + ": " + a.status + " " + a.text());
                }
                if (a.status == 200) {
                    return true;
                }
                if (a.status == 400) {
                    return false;
                }
            } catch (IOException e) {
                log("Config.Put at node " + node.index + ": " + e);
            }
            Thread.sleep(200);
        }
        return false;
    }

    Answer control(String ip, String method, String path, String body) throws IOException {
        String at = ip;
        for (int hop = 0; hop < 3; hop++) {
            Answer a = call(at, ctl, method, path, Map.of("Content-Type", "application/json"),
                    body == null ? null : body.getBytes(StandardCharsets.UTF_8), 2000);
            if (a.status != 307) {
                return a;
            }
            at = URI.create(a.header("location")).getHost();
        }
        throw new IOException("redirected too often");
    }

    static Answer get(String ip, int port, String path) throws IOException {
        return call(ip, port, "GET", path, Map.of(), null, 1000);
    }

    static Answer call(String ip, int port, String method, String path, Map<String, String> fields, byte[] body, int ms)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), 1000);
            socket.setSoTimeout(ms);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            if (!fields.containsKey("Host")) {
                head.append("Host: ").append(ip).append("\r\n");
            }
            fields.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
            if (body != null) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            head.append("Connection: close\r\n\r\n");
            OutputStream out = socket.getOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            if (body != null) {
                out.write(body);
            }
            out.flush();
            return Answer.read(new BufferedInputStream(socket.getInputStream()));
        }
    }

    /** A complete answer. */
    static final class Answer {
        int status;
        final Map<String, String> fields = new HashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return fields.get(name);
        }

        String text() {
            String text = new String(body, StandardCharsets.UTF_8);
            return text.length() > 200 ? text.substring(0, 200) : text;
        }

        static Answer read(InputStream in) throws IOException {
            Answer a = new Answer();
            String line = line(in);
            if (line == null) {
                throw new EOFException("closed without an answer");
            }
            a.status = Integer.parseInt(line.split(" ")[1]);
            readFields(in, a.fields);
            if ("chunked".equalsIgnoreCase(a.fields.get("transfer-encoding"))) {
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                while (true) {
                    String size = line(in);
                    if (size == null) {
                        throw new EOFException("cut");
                    }
                    int n = Integer.parseInt(size.split(";")[0].trim(), 16);
                    if (n == 0) {
                        readFields(in, new HashMap<>());
                        break;
                    }
                    byte[] part = in.readNBytes(n);
                    if (part.length < n) {
                        throw new EOFException("cut");
                    }
                    all.write(part);
                    line(in);
                }
                a.body = all.toByteArray();
            } else {
                int n = Integer.parseInt(a.fields.getOrDefault("content-length", "0"));
                a.body = in.readNBytes(n);
                if (a.body.length < n) {
                    throw new EOFException("cut");
                }
            }
            return a;
        }
    }

    static void readFields(InputStream in, Map<String, String> fields) throws IOException {
        while (true) {
            String line = line(in);
            if (line == null) {
                throw new EOFException("cut in the head");
            }
            if (line.isEmpty()) {
                return;
            }
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                return text.size() == 0 ? null : text.toString(StandardCharsets.ISO_8859_1);
            }
            if (b == '\n') {
                String s = text.toString(StandardCharsets.ISO_8859_1);
                return s.endsWith("\r") ? s.substring(0, s.length() - 1) : s;
            }
            text.write(b);
        }
    }

    /** A request as a server received it. */
    static final class Request {
        String method;
        String path;
        final Map<String, String> fields = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String id() {
            return fields.getOrDefault("x-request-id", "");
        }
    }

    /** Answers one request; returns false to close the connection. */
    interface Work {
        boolean answer(Server server, Request request, Socket socket, OutputStream out) throws Exception;
    }

    /** Answers a request of which only the head is read; returns false to close the connection. */
    interface EarlyWork {
        boolean answer(EarlyServer server, Request request, Socket socket, InputStream in, OutputStream out)
                throws Exception;
    }

    /** A server that answers before it has read the body. */
    final class EarlyServer extends Server {
        final EarlyWork early;

        EarlyServer(String service, int index, int port, String id, int slots, EarlyWork early) throws IOException {
            super(service, index, port, id, slots, null);
            this.early = early;
        }
    }

    /** One server of a service. It announces itself to the nodes every 1.2 s. */
    class Server {
        final String service;
        final String ip;
        final int port;
        final String id;
        final Work work;
        final int slots;
        final String zone;
        final long born = System.currentTimeMillis();
        final AtomicInteger seq = new AtomicInteger();
        final ServerSocket listener;
        final Set<Socket> open = ConcurrentHashMap.newKeySet();
        volatile boolean stopped;
        volatile String state = "ready";
        volatile boolean beats = true;

        Server(String service, int index, int port, String id, int slots, Work work) throws IOException {
            this.service = service;
            this.ip = serverIp(index);
            this.port = port;
            this.id = id;
            this.slots = slots;
            this.work = work;
            this.zone = List.of("bern-a", "bern-b", "olten").get(index % 3);
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            if (this instanceof EarlyServer) {
                // A small window, as on the platform's links: what the server doesn't read waits at the node.
                listener.setReceiveBufferSize(65536);
            }
            listener.bind(new InetSocketAddress(ip, port), 512);
            servers.add(this);
            daemon(this::accept);
            daemon(this::announce);
        }

        void accept() {
            while (!stopped) {
                try {
                    Socket socket = listener.accept();
                    open.add(socket);
                    daemon(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                while (true) {
                    String first = line(in);
                    if (first == null) {
                        return;
                    }
                    Request r = new Request();
                    r.method = first.split(" ")[0];
                    r.path = first.split(" ")[1];
                    readFields(in, r.fields);
                    if (this instanceof EarlyServer) {
                        EarlyServer own = (EarlyServer) this;
                        if (!own.early.answer(own, r, socket, in, out)) {
                            return;
                        }
                        continue;
                    }
                    r.body = in.readNBytes(Integer.parseInt(r.fields.getOrDefault("content-length", "0")));
                    if (r.path.equals("/healthz")) {
                        respond(out, 200, Map.of("X-Instance-Id", id), new byte[0]);
                        continue;
                    }
                    String expected = r.fields.get("x-expect-instance");
                    if (expected != null && !expected.equals(id)) {
                        respond(out, 421, Map.of("X-Not-Executed", "1", "X-Instance-Id", id, "X-Request-Id", r.id()),
                                new byte[0]);
                        continue;
                    }
                    if (!work.answer(this, r, socket, out)) {
                        return;
                    }
                }
            } catch (Exception e) {
                if (!stopped) {
                    log("server " + id + ": " + e);
                }
            } finally {
                open.remove(socket);
            }
        }

        void announce() {
            int n = 0;
            while (!stopped) {
                if (beats) {
                    beat(nodes.get((n++) % nodes.size()).ip, false);
                }
                sleep(1200);
            }
        }

        boolean beat(String nodeIp, boolean quiet) {
            String body = "{\"Service\":\"" + service + "\",\"Address\":\"" + ip + ":" + port + "\",\"Zone\":\"" + zone
                    + "\",\"Version\":\"v1\",\"Slots\":" + slots + ",\"State\":\"" + state + "\",\"ColdLeftMs\":0,\"born\":"
                    + born + ",\"Seq\":" + seq.incrementAndGet() + "}";
            try {
                return call(nodeIp, ctl, "POST", "/v1/Instances.Heartbeat/" + id,
                        Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8), 1000).status
                        == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void stop() {
            stopped = true;
            try {
                listener.close();
            } catch (IOException e) {
                // closed already
            }
            for (Socket socket : open) {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException e) {
                    // closed already
                }
            }
        }
    }

    static void respond(OutputStream out, int status, Map<String, String> fields, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        fields.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    static Map<String, String> signed(Request r) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("X-Request-Id", r.id());
        fields.put("X-Response-Signature", "s." + r.id());
        return fields;
    }

    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(null, task, "stand", 256 << 10);
        thread.setDaemon(true);
        thread.start();
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }
}
