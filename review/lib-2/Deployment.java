import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Nodes as processes of their own, started with the command of the deploy file; and the platform's and operator's calls. */
final class Deployment implements AutoCloseable {

    static final List<String> ZONES = List.of("bern-a", "bern-b", "olten");

    final Record record;
    final List<Node> nodes = new ArrayList<>();
    private final Path root;
    private final Path folder;
    private final String network;
    private final int firstPort;
    private final Random random = new Random();
    private List<String> seeds = List.of();

    Deployment(Path root, Record record, int count, int durable) throws IOException {
        this.root = root;
        this.record = record;
        this.folder = Files.createTempDirectory("review-2-");
        this.network = "127." + (20 + random.nextInt(200)) + '.' + random.nextInt(256) + '.';
        this.firstPort = freePorts();
        for (int i = 0; i < count; i++) {
            nodes.add(new Node(i, i < durable));
        }
        seeds = nodes.stream().limit(3).map(Node::control).toList();
        // If the script itself is ended, no process of it stays.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> nodes.forEach(Node::destroy)));
    }

    /** Returns the loopback address of a number from 1 to 250 in the network of this run. */
    String ip(int number) {
        return network + number;
    }

    /** Chooses 40 ports in a row that are free in the network of this run, below the ports that the system hands out. */
    private int freePorts() throws IOException {
        for (int attempt = 0; attempt < 50; attempt++) {
            int first = 10_000 + random.nextInt(400) * 40;
            if (isFree(first) && isFree(first + 20)) {
                return first;
            }
        }
        throw new IOException("no free ports");
    }

    private boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(ip(1)), port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sets whose addresses the settings of processes that start from now on name. */
    void seeds(List<Node> named) {
        seeds = named.stream().map(Node::control).toList();
    }

    void startAll() throws IOException {
        for (Node node : nodes) {
            node.start(true);
        }
    }

    /** Waits until a condition holds; throws if it doesn't in time. */
    static void await(String what, double seconds, Condition condition) throws Exception {
        long end = System.nanoTime() + (long) (seconds * 1e9);
        while (!condition.holds()) {
            if (System.nanoTime() > end) {
                throw new IOException("not in time: " + what);
            }
            Thread.sleep(50);
        }
    }

    /** Sends a configuration like the operator: to one node after the other, following redirects, until it is acknowledged. */
    String put(String text, double seconds, List<Node> targets) throws Exception {
        long end = System.nanoTime() + (long) (seconds * 1e9);
        int next = random.nextInt(targets.size());
        while (System.nanoTime() < end) {
            Node node = targets.get(next++ % targets.size());
            String by = order(node.control(), "POST", "/v1/Config.Put", text, new StringBuilder());
            if (by != null) {
                return by;
            }
            Thread.sleep(200);
        }
        return null;
    }

    /** Sends one order, following two redirects; returns who acknowledged it, or null. */
    String order(String address, String method, String target, String body, StringBuilder answer) {
        String at = address;
        try {
            for (int hop = 0; hop < 3; hop++) {
                Message response = Call.send(at, method, target, body, 1500);
                record.add("operator %s %s at=%s status=%d", method, target, at, response.status());
                if (response.status() == 307) {
                    String location = response.field("Location").substring("http://".length());
                    at = location.substring(0, location.indexOf('/'));
                    continue;
                }
                answer.setLength(0);
                answer.append(response.text());
                return response.status() == 200 ? at : null;
            }
        } catch (IOException e) {
            record.add("operator %s %s at=%s failed=%s", method, target, at, e);
        }
        return null;
    }

    /** Starts the balancer: it asks each node once a second, and takes it out after two misses until it is ready again. */
    void startBalancer() {
        for (Node node : nodes) {
            Server.daemon(() -> {
                int misses = 0;
                while (true) {
                    misses = isReady(node) ? 0 : misses + 1;
                    node.inRotation = misses < 2;
                    Server.sleep(1000);
                }
            }, "balancer-" + node.name());
        }
    }

    /** Returns the node to which the balancer hands a connection of a client: by a hash, among those in rotation. */
    Node balanced(int client) {
        List<Node> in = nodes.stream().filter(node -> node.inRotation).toList();
        // While fewer than half are in rotation, all are used.
        List<Node> used = 2 * in.size() < nodes.size() ? nodes : in;
        return used.get(client % used.size());
    }

    boolean isReady(Node node) {
        try {
            return Call.send(node.ready(), "GET", "/v1/ready", "", 1000).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() throws Exception {
        for (Node node : nodes) {
            node.kill();
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    /** One machine with one process. */
    final class Node {
        final int number;
        final boolean durable;
        final String zone;
        private volatile Process process;
        volatile boolean inRotation = true;

        private Node(int number, boolean durable) {
            this.number = number;
            this.durable = durable;
            this.zone = ZONES.get(number % ZONES.size());
        }

        String name() {
            return "front-" + zone + '-' + number;
        }

        String ip() {
            return Deployment.this.ip(1 + number);
        }

        String front() {
            return ip() + ':' + firstPort;
        }

        String ready() {
            return ip() + ':' + (firstPort + 1);
        }

        String control() {
            return ip() + ':' + (firstPort + 2);
        }

        Path log() {
            return folder.resolve("log-" + number);
        }

        long pid() {
            return process.pid();
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        int exitCode() {
            return process.exitValue();
        }

        /** Starts the process; {@code bootstrap} is true only when the whole system starts for the first time. */
        void start(boolean bootstrap) throws IOException {
            Path data = folder.resolve("data-" + number);
            if (durable) {
                Files.createDirectories(data);
            }
            Path settings = folder.resolve("settings-" + number + ".json");
            Map<String, Object> all = Json.of(
                    "Node", name(), "Role", "node", "MachineClass", "front", "Serves", List.of("front", "control"),
                    "Ip", ip(), "Zone", zone, "Region", "ch-mittelland",
                    "Zones", Json.of("bern-a", "ch-mittelland", "bern-b", "ch-mittelland", "olten", "ch-mittelland"),
                    "Listen", Json.of("Front", front(), "Ready", ready(), "Control", control()),
                    "PortRange", List.of(firstPort + 3, firstPort + 18),
                    "Seeds", seeds, "Bootstrap", bootstrap, "InTolerance", durable,
                    "Limits", Json.of("CpuShare", 0.675, "Cores", 2, "MemoryMb", 430, "MaxFds", 4100, "LinkMbps", 1000.0, "DiskMb", durable ? 64 : 0),
                    "Discovery", "registry", "Entry", "vip", "HeartbeatMs", 1200,
                    "Invariants", List.of("base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "stages"),
                    "FaultTolerance", Json.of("Machines", 1, "Zones", 0, "Regions", 0),
                    "Bounds", Json.of("SeedLagS", 3, "ReuseDelayS", 2, "ContactMs", 3000, "AckMs", 4000, "CatchUpS", 4,
                            "DrainMs", 2000, "GraceS", 8, "LossSlackMs", 200, "ConfigMs", 2000, "RollbackSlackMs", 250,
                            "OuterMs", 5000, "StrictRevoke", true, "RevokeMs", 5000, "RetryRatio", 0.2,
                            "RetryWindowS", 10, "RetrySlack", 58, "RecoveryS", 12, "PassMs", 120, "ReuseWindowS", 10),
                    "ConfigMode", "highest");
            if (durable) {
                all.put("DataDir", data.toString());
            }
            Files.writeString(settings, Json.write(all));
            ProcessBuilder builder = new ProcessBuilder(command()).directory(root.toFile());
            builder.environment().put("COPPERSPINDLE_SETTINGS", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
            process = builder.start();
            record.add("platform starts %s pid=%d ip=%s disk=%s bootstrap=%s", name(), process.pid(), ip(), durable, bootstrap);
        }

        /** Sends a signal by its name to this process. */
        void signal(String signal) throws Exception {
            record.add("platform SIG%s %s", signal, name());
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
        }

        private void destroy() {
            if (process != null) {
                process.destroyForcibly();
            }
        }

        void kill() throws Exception {
            if (process != null) {
                process.destroyForcibly();
                process.waitFor(10, TimeUnit.SECONDS);
            }
        }

        /** Adds lines of the log that hold a word to the record. */
        void quote(String... words) throws IOException {
            if (!Files.exists(log())) {
                return;
            }
            for (String line : Files.readAllLines(log())) {
                for (String word : words) {
                    if (line.contains(word)) {
                        record.add("log of %s: %s", name(), line);
                        break;
                    }
                }
            }
        }
    }

    private List<String> command() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring("run = \"".length(), line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("deploy file without a command");
    }
}
