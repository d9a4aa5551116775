import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** A stand-in for one server: it listens, announces itself, and passes each request to a handler. */
abstract class Server implements AutoCloseable {

    final Deployment deployment;
    final Record record;
    final String service;
    final String id;
    final String address;
    final String zone;
    final Random random = new Random();
    private final ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final AtomicLong sequence = new AtomicLong();
    private final int slots;
    volatile String state = "ready";
    volatile String version = "v1";
    private volatile boolean ended;

    Server(Deployment deployment, String service, String ip, int port, String zone, int slots) throws IOException {
        this.deployment = deployment;
        this.record = deployment.record;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.id = "i-" + Long.toHexString(random.nextLong() >>> 32) + ip.substring(ip.lastIndexOf('.') + 1);
        this.listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 256);
        this.address = ip + ':' + listener.getLocalPort();
    }

    /** Starts to accept connections and to announce itself. */
    void start() {
        daemon(this::accept, "accept-" + id);
        daemon(this::announce, "announce-" + id);
    }

    /** Handles one request; returns false if the connection is to be closed. */
    abstract boolean handle(Connection connection, Message request) throws Exception;

    Map<String, Object> announcement() {
        return Json.of("Service", service, "Address", address, "Zone", zone, "Version", version, "Slots", slots,
                "State", state, "ColdLeftMs", 0, "Stage", "both",
                "Models", List.of(Json.of("Name", "m", "Version", 1, "Adapters", List.of())), "Seq", sequence.incrementAndGet());
    }

    /** Ends like a crash: the listener and all connections close, and nothing is announced. */
    @Override
    public void close() throws IOException {
        ended = true;
        listener.close();
        for (Socket socket : open) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    boolean hasEnded() {
        return ended;
    }

    static void daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void announce() {
        int at = random.nextInt(deployment.nodes.size());
        while (!ended) {
            boolean acknowledged = call("Heartbeat", at, Json.write(announcement()));
            at += acknowledged ? 0 : 1;
            sleep(acknowledged ? 1200 : 100);
        }
    }

    /** Sends a call of the discovery to one node; returns whether it was acknowledged. */
    boolean call(String name, int node, String body) {
        try {
            String control = deployment.nodes.get(node % deployment.nodes.size()).control();
            return Call.send(control, "POST", "/v1/Instances." + name + '/' + id, body, 1000).status() / 100 == 2;
        } catch (IOException e) {
            return false;
        }
    }

    private void accept() {
        while (!ended) {
            try {
                Socket socket = listener.accept();
                open.add(socket);
                daemon(() -> serve(socket), "serve-" + id);
            } catch (IOException e) {
                if (!ended) {
                    record.add("server %s accept failed: %s", id, e);
                }
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            Connection connection = new Connection(socket);
            Message request = Message.read(connection.in);
            while (request != null && !ended && handle(connection, request)) {
                request = Message.read(connection.in);
            }
        } catch (Exception e) {
            // The peer has closed the connection, or this server has ended.
        } finally {
            open.remove(socket);
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One connection of a server. */
    static final class Connection {
        final Socket socket;
        final BufferedInputStream in;
        private final OutputStream out;

        private Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream());
            this.out = socket.getOutputStream();
        }

        void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Builds a whole response. */
    static String response(int status, Map<String, String> fields, String body) {
        StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        fields.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
        return text.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body).toString();
    }
}
