package org.copperspindle.benchmarks;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

import org.copperspindle.agent.AgentClock;
import org.copperspindle.agent.AgentLimits;
import org.copperspindle.agent.AgentService;
import org.copperspindle.agent.AgentSettings;
import org.copperspindle.agent.AttemptChunkMessage;
import org.copperspindle.agent.AttemptOrderMessage;
import org.copperspindle.agent.AttemptOutcomeMessage;
import org.copperspindle.agent.LoadReportMessage;
import org.copperspindle.agent.LoadSubscribeMessage;
import org.copperspindle.agent.OutcomeAckMessage;
import org.copperspindle.config.Priority;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.daemon.MessageCatalog;
import org.copperspindle.time.SystemTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;

/**
 * Measures what one agent costs: processor time of its three threads per attempt and per streamed piece, and heap per
 * kept outcome and per running attempt. Entry and upstream are stand-ins on loopback in the same JVM; their threads are
 * not counted, their part of the heap per running attempt is.
 */
public final class AgentCost {

    private static final int CONCURRENCY = 64;
    private static final int PIECE_BYTES = 200;
    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
    private static final InetSocketAddress NOWHERE = new InetSocketAddress("127.0.0.1", 1);
    private static final AgentLimits LIMITS = new AgentLimits(
            5000,
            64,
            200_000,
            1L << 30,
            64 << 10,
            Duration.ofMinutes(15),
            Duration.ofMinutes(1),
            Duration.ofMinutes(10),
            Duration.ofSeconds(30),
            Duration.ZERO);

    private AgentCost() {}

    /**
     * Runs the measurement and prints it.
     *
     * @param args none
     * @throws Exception if a socket fails
     */
    public static void main(String[] args) throws Exception {
        try (Bench bench = new Bench()) {
            bench.attempts(20_000, true, true);
            for (boolean repeatable : new boolean[] {true, false}) {
                long before = agentCpu();
                bench.attempts(50_000, repeatable, true);
                print("processor time per attempt, repeatable=" + repeatable, agentCpu() - before, 50_000, "ns");
            }
            for (int run = 0; run < 2; run++) {
                long before = agentCpu();
                int pieces = bench.stream("stream" + run, 300_000);
                print("processor time per streamed piece of 200 bytes", agentCpu() - before, pieces, "ns");
            }
            long empty = heap();
            bench.attempts(10_000, false, false);
            print("heap per kept outcome with 200 bytes of answer", heap() - empty, 10_000, "bytes");
            long kept = heap();
            bench.hold(1000);
            print("heap per running attempt, stand-ins included", heap() - kept, 1000, "bytes");
        }
        System.exit(0);
    }

    private static void print(String what, long total, int count, String unit) {
        System.out.printf("%s: %.0f %s (over %d)%n", what, (double) total / count, unit, count);
    }

    private static long agentCpu() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long sum = 0;
        for (long id : threads.getAllThreadIds()) {
            ThreadInfo info = threads.getThreadInfo(id);
            boolean agent = info != null
                    && (info.getThreadName().startsWith("agent-ring")
                            || info.getThreadName().startsWith("wire-agent")
                            || info.getThreadName().startsWith("upstream-client"));
            sum += agent ? threads.getThreadCpuTime(id) : 0;
        }
        return sum;
    }

    private static long heap() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** Agent, entry and upstream. */
    private static final class Bench implements PeerListener, AutoCloseable {
        private final StandInUpstream upstream = new StandInUpstream();
        private final DecisionRing ring = new DecisionRing("agent-ring", DecisionRing.DEFAULT_SLOTS);
        private final SystemTimerService timers = new SystemTimerService("timer-agent", ring);
        private final WireTransport agentSide = transport("agent");
        private final WireTransport entrySide = transport("entry");
        private final AgentService agent;
        private final Semaphore inFlight = new Semaphore(CONCURRENCY);
        private final CountDownLatch ready = new CountDownLatch(1);
        private final AtomicInteger pieces = new AtomicInteger();
        private volatile Peer peer;
        private volatile AgentClock clock;
        private volatile boolean acknowledge;
        private int next;

        private Bench() throws IOException, InterruptedException {
            AgentSettings settings = new AgentSettings(
                    "up",
                    "pool",
                    "north",
                    upstream.address(),
                    List.of(),
                    Duration.ofSeconds(1),
                    "",
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(2),
                    Set.of(),
                    LIMITS);
            agent = new AgentService(ring, timers, agentSide, settings, List.of(NOWHERE), ANY, 1);
            InetSocketAddress address =
                    (InetSocketAddress) agentSide.listen(ANY, agent).localAddress();
            ring.execute(agent::start);
            entrySide.connect(address, this).join();
            ready.await();
        }

        private static WireTransport transport(String id) {
            return new WireTransport(
                    1, MessageCatalog.registry(), new GreetingMessage(GreetingMessage.PROTOCOL, "process", id, 1));
        }

        private void attempts(int count, boolean repeatable, boolean acknowledged) throws InterruptedException {
            acknowledge = acknowledged;
            for (int i = 0; i < count; i++) {
                inFlight.acquire();
                order("attempt-with-a-usual-length-" + next++, "/call", repeatable, false);
            }
            inFlight.acquire(CONCURRENCY);
            inFlight.release(CONCURRENCY);
        }

        private int stream(String id, int count) throws InterruptedException {
            pieces.set(0);
            inFlight.acquire(CONCURRENCY);
            order(id, "/stream/" + count, true, true);
            inFlight.acquire();
            inFlight.release(CONCURRENCY);
            return pieces.get();
        }

        private void hold(int count) throws InterruptedException {
            for (int i = 0; i < count; i++) {
                order("held-with-a-usual-length-of-id-" + i, "/hold", false, false);
            }
            while (upstream.held.get() < count) {
                Thread.onSpinWait();
            }
        }

        private void order(String id, String path, boolean repeatable, boolean streaming) {
            AttemptOrderMessage order = new AttemptOrderMessage(
                    id,
                    "request-1",
                    "up",
                    1,
                    path,
                    new byte[PIECE_BYTES],
                    streaming,
                    repeatable,
                    Priority.STANDARD,
                    Duration.ofMinutes(2).toNanos() / 1000,
                    1);
            long now = timers.nanoTime();
            peer.send(clock.stamp(order, now, now).orElseThrow());
        }

        @Override
        public boolean onOpen(Peer opened) {
            peer = opened;
            opened.send(new LoadSubscribeMessage());
            return true;
        }

        @Override
        public boolean onMessage(Peer from, WireMessage message) {
            if (message instanceof LoadReportMessage report) {
                clock = AgentClock.of(report, timers.nanoTime());
                if (!report.refusing()) {
                    ready.countDown();
                }
            } else if (message instanceof AttemptChunkMessage) {
                pieces.incrementAndGet();
            } else if (message instanceof AttemptOutcomeMessage outcome) {
                if (!outcome.complete()) {
                    System.out.println("not whole: " + outcome.verdict());
                }
                if (acknowledge) {
                    from.send(new OutcomeAckMessage(outcome.attemptId()));
                }
                inFlight.release();
            }
            return true;
        }

        @Override
        public boolean onClose(Peer closed) {
            return true;
        }

        @Override
        public void close() throws IOException {
            upstream.server.close();
            ring.close();
            timers.close();
        }
    }

    /** Answers at once, streams, or never answers, by the path. */
    private static final class StandInUpstream {
        private final ServerSocket server = new ServerSocket(0, 5000, InetAddress.getByName("127.0.0.1"));
        private final AtomicInteger held = new AtomicInteger();
        private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();

        private StandInUpstream() throws IOException {
            start(() -> {
                while (true) {
                    Socket socket = server.accept();
                    sockets.add(socket);
                    start(() -> serve(socket));
                }
            });
        }

        private InetSocketAddress address() {
            return (InetSocketAddress) server.getLocalSocketAddress();
        }

        private void serve(Socket socket) throws IOException {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1024);
            OutputStream out = socket.getOutputStream();
            byte[] whole = ("HTTP/1.1 200 OK\r\nContent-Length: " + PIECE_BYTES + "\r\n\r\n" + "x".repeat(PIECE_BYTES))
                    .getBytes(StandardCharsets.ISO_8859_1);
            for (String path = read(in); !path.isEmpty(); path = read(in)) {
                if (path.startsWith("/hold")) {
                    held.incrementAndGet();
                    return;
                }
                if (path.startsWith("/stream/")) {
                    stream(out, Integer.parseInt(path.substring(8)));
                } else {
                    out.write(whole);
                }
            }
        }

        private static void stream(OutputStream out, int count) throws IOException {
            byte[] piece = (Integer.toHexString(PIECE_BYTES) + "\r\n" + "x".repeat(PIECE_BYTES) + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            for (int i = 0; i < count; i++) {
                out.write(piece);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }

        private static String read(InputStream in) throws IOException {
            String path = "";
            int length = 0;
            for (String line = line(in); !line.isEmpty(); line = line(in)) {
                if (path.isEmpty()) {
                    path = line.split(" ")[1];
                } else if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                    length = Integer.parseInt(line.substring(15).trim());
                }
            }
            in.skipNBytes(length);
            return path;
        }

        private static String line(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int c = in.read(); c >= 0 && c != '\n'; c = in.read()) {
                if (c != '\r') {
                    line.append((char) c);
                }
            }
            return line.toString();
        }

        private static void start(Task task) {
            Thread thread = new Thread(
                    () -> {
                        try {
                            task.run();
                        } catch (IOException e) {
                            // The measurement ends by closing the sockets.
                            Thread.currentThread().interrupt();
                        }
                    },
                    "stand-in-upstream");
            thread.setDaemon(true);
            thread.start();
        }
    }

    private interface Task {
        void run() throws IOException;
    }
}
