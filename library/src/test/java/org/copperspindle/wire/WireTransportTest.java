package org.copperspindle.wire;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.ToLongFunction;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import io.netty.channel.EventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class WireTransportTest {

    private static final int MAX_FRAME = 4096;
    private static final long MAX_PENDING = 64 << 10;
    private static final Duration LONG = Duration.ofSeconds(60);
    private static final Duration SHORT = Duration.ofMillis(60);
    private static final Duration HEARTBEAT = Duration.ofMillis(10);
    private static final GreetingMessage GREETING = new GreetingMessage(GreetingMessage.PROTOCOL, "process", "test", 1);

    private final List<WireTransport> transports = new ArrayList<>();
    private final RecordingListener server = new RecordingListener();
    private final RecordingListener client = new RecordingListener();
    private WireTransport listening;
    private InetSocketAddress address;

    @AfterEach
    void close() {
        transports.forEach(WireTransport::close);
    }

    /**
     * The listener refuses all events at first, then two of three, while open, 200 messages and the close arrive. It
     * must receive each event once and in order: if the close overtook an outcome, finished work would count as work
     * that may have run.
     */
    @Test
    void fullRingKeepsOrderAndClose() throws Exception {
        listen(new WireLimits(MAX_FRAME, MAX_PENDING, LONG, LONG, LONG));
        server.acceptOneIn = Integer.MAX_VALUE;
        connect();
        await(() -> client.peer != null);
        LongStream.range(0, 100).forEach(i -> client.peer.send(new NumberMessage(i)));
        await(() -> server.refusals > 1);
        server.acceptOneIn = 3;
        LongStream.range(100, 200).forEach(i -> client.peer.send(new NumberMessage(i)));
        client.peer.close();

        await(() -> server.events.contains("close"));
        List<String> expected = new ArrayList<>(List.of("open"));
        LongStream.range(0, 200).forEach(i -> expected.add(String.valueOf(i)));
        expected.add("close");
        assertThat(server.events).isEqualTo(expected);
        assertThat(listening.counters().pauses()).isPositive();
    }

    /**
     * A peer stops reading while more bytes are sent to it than may be pending. The first send over the limit must
     * return false and the connection must close; otherwise memory would grow with each message.
     */
    @Test
    void peerThatDoesNotReadIsClosed() throws Exception {
        listen(new WireLimits(MAX_FRAME, MAX_PENDING, LONG, LONG, LONG));
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(MAX_FRAME);
            socket.connect(address);
            socket.getOutputStream().write(frame(GreetingMessage.CODEC.encode(GREETING)));
            await(() -> server.events.contains("open"));
            int sent = 0;
            // Far more than the socket buffers of both sides hold.
            while (sent < 100_000 && server.peer.send(new NumberMessage(sent, new byte[1024]))) {
                sent++;
            }
            assertThat(sent).isLessThan(100_000);
            await(() -> server.events.contains("close"));
            assertThat(server.peer.send(new NumberMessage(sent))).isFalse();
        }
        assertThat(listening.counters().messagesRefused()).isEqualTo(1);
    }

    /**
     * A message larger than the frame limit would make the peer close the connection. It is refused, and other
     * messages arrive.
     */
    @Test
    void messageTooLargeIsNotSent() throws Exception {
        listen(new WireLimits(MAX_FRAME, MAX_PENDING, LONG, LONG, LONG));
        connect();
        await(() -> client.peer != null);

        assertThat(client.peer.send(new NumberMessage(1, new byte[MAX_FRAME]))).isFalse();
        assertThat(client.peer.send(new NumberMessage(2))).isTrue();

        await(() -> server.events.size() == 2);
        assertThat(server.events).containsExactly("open", "2");
    }

    /**
     * A peer sends its greeting and then nothing, as in a network partition without a TCP reset. Its connection must
     * be closed, so that work waiting for it is decided. A peer of the older version sends no heartbeats and stays
     * connected.
     */
    @Test
    void silentPeerIsClosedUnlessItsVersionHasNoHeartbeats() throws Exception {
        listen(new WireLimits(MAX_FRAME, MAX_PENDING, LONG, HEARTBEAT, SHORT));
        try (Socket old = new Socket(address.getAddress(), address.getPort());
                Socket silent = new Socket(address.getAddress(), address.getPort())) {
            old.getOutputStream().write(frame(GreetingMessage.CODEC.encode(new GreetingMessage(1, "p", "old", 1))));
            silent.getOutputStream().write(frame(GreetingMessage.CODEC.encode(GREETING)));

            await(() -> listening.counters().silentPeers() == 1);
            readToEnd(silent);
            // Heartbeats keep arriving for several times the silence after which the other connection was closed.
            old.getInputStream().readNBytes(30 * HeartbeatMessage.CODEC.encode(HeartbeatMessage.INSTANCE).length);
        }
        assertThat(listening.counters().silentPeers()).isEqualTo(1);
    }

    /** Heartbeats alone keep the connection of two idle processes open. */
    @Test
    void heartbeatsKeepAnIdleConnection() throws Exception {
        listen(new WireLimits(MAX_FRAME, MAX_PENDING, LONG, HEARTBEAT, LONG));
        WireTransport other = connect();
        await(() -> other.counters().messagesReceived() > 20);
        assertThat(client.events).containsExactly("open");
        assertThat(server.events).containsExactly("open");
    }

    /**
     * A peer sends its greeting one byte at a time: the timeout covers the whole greeting, not the gaps between
     * bytes.
     */
    @Test
    void slowGreetingIsClosed() throws Exception {
        listen(new WireLimits(1 << 30, MAX_PENDING, SHORT, LONG, LONG));
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.getOutputStream().write(bytes(0x3f, 0, 0, 0));
            await(() -> {
                try {
                    socket.getOutputStream().write(0);
                    return listening.counters().closedConnections() == 1;
                } catch (IOException e) {
                    return true;
                }
            });
        }
        await(() -> listening.counters().closedConnections() == 1);
    }

    static Stream<Arguments> hostileBytes() throws IOException {
        byte[] greeting = frame(GreetingMessage.CODEC.encode(GREETING));
        byte[] number = NumberMessage.CODEC.encode(new NumberMessage(1));
        ToLongFunction<WireCounters> malformed = WireCounters::malformedFrames;
        ToLongFunction<WireCounters> oversized = WireCounters::oversizedFrames;
        ToLongFunction<WireCounters> closed = WireCounters::closedConnections;
        return Stream.of(
                Arguments.of("message before greeting", frame(number), closed),
                Arguments.of("second greeting", join(greeting, greeting), closed),
                Arguments.of(
                        "too old", frame(GreetingMessage.CODEC.encode(new GreetingMessage(0, "p", "p", 1))), closed),
                Arguments.of("frame over the limit", new byte[] {0, 1, 0, 0}, oversized),
                Arguments.of("largest length", new byte[] {-1, -1, -1, -1}, oversized),
                Arguments.of("no message", join(greeting, frame(new byte[] {(byte) 0xc1})), malformed),
                Arguments.of("bytes after the message", join(greeting, frame(join(number, new byte[1]))), malformed),
                Arguments.of("binary of 2 GiB", join(greeting, frame(field(0xc6, 0x7f, 0xff, 0xff, 0xff))), malformed),
                Arguments.of("string of 2 GiB", join(greeting, frame(field(0xdb, 0x7f, 0xff, 0xff, 0xff))), malformed),
                Arguments.of("list of 2^31", join(greeting, frame(field(0xdd, 0x7f, 0xff, 0xff, 0xff))), malformed),
                Arguments.of("map of 2^31", join(greeting, frame(field(0xdf, 0x7f, 0xff, 0xff, 0xff))), malformed),
                Arguments.of("extension of 2 GiB", join(greeting, frame(field(0xc9, 0x7f, -1, -1, -1, 1))), malformed),
                Arguments.of("2^31 fields", join(greeting, frame(bytes(100, 0xdf, 0x7f, -1, -1, -1))), malformed),
                Arguments.of("lists 4000 deep", join(greeting, frame(field(nestedLists(4000)))), malformed));
    }

    /** Invalid bytes close the connection that sent them and are counted, and another connection keeps working. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("hostileBytes")
    void hostileBytesCloseOnlyTheirConnection(String name, byte[] bytes, ToLongFunction<WireCounters> counter)
            throws Exception {
        listen(new WireLimits(MAX_FRAME, MAX_PENDING, LONG, LONG, LONG));
        connect();
        await(() -> client.peer != null);
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            // A valid message after the invalid one, in the same read, must not be accepted from a refused peer.
            socket.getOutputStream().write(join(bytes, frame(NumberMessage.CODEC.encode(new NumberMessage(77)))));
            readToEnd(socket);
        }
        assertThat(counter.applyAsLong(listening.counters())).isEqualTo(1);
        client.peer.send(new NumberMessage(5));
        await(() -> server.events.contains("5"));
        assertThat(server.events).doesNotContain("77");
    }

    /**
     * Each of 20,000 damaged or random payloads (seed 7) decodes to a message or to nothing, or is reported as a
     * malformed frame.
     */
    @Test
    void damagedPayloadsNeverEscapeTheDecoder() {
        MessageRegistry registry = WireTransport.registry().register(NumberMessage.CODEC);
        byte[] valid = NumberMessage.CODEC.encode(new NumberMessage(9, new byte[20]));
        Random random = new Random(7);
        int refused = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] payload = i % 2 == 0 ? valid.clone() : new byte[random.nextInt(40)];
            int damage = i % 2 == 0 ? 1 + random.nextInt(3) : payload.length;
            for (int d = 0; d < damage; d++) {
                payload[random.nextInt(payload.length)] = (byte) random.nextInt();
            }
            try {
                registry.decode(payload);
            } catch (MalformedFrameException e) {
                refused++;
            }
        }
        assertThat(refused).isBetween(1, 19_999);
    }

    /**
     * 300 connections send random bytes (seed 11) while a valid one sends messages, all of which must arrive in
     * order.
     */
    @Test
    void randomBytesDoNotAffectOtherConnections() throws Exception {
        listen(new WireLimits(MAX_FRAME, MAX_PENDING, LONG, LONG, LONG));
        connect();
        await(() -> client.peer != null);
        Random random = new Random(11);
        List<String> expected = new ArrayList<>(List.of("open"));
        for (int i = 0; i < 300; i++) {
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                byte[] noise = new byte[1 + random.nextInt(200)];
                random.nextBytes(noise);
                byte[] greeting = frame(GreetingMessage.CODEC.encode(GREETING));
                greeting[random.nextInt(greeting.length)] ^= (byte) (1 << random.nextInt(8));
                socket.getOutputStream().write(join(i % 2 == 0 ? greeting : new byte[0], noise));
            } catch (SocketException e) {
                // closed by the other side already
            }
            client.peer.send(new NumberMessage(i));
            expected.add(String.valueOf(i));
        }
        // Some damaged greetings are still valid; their open and close events don't belong to the valid connection.
        await(() -> server.events.contains("299"));
        assertThat(server.events.stream().filter(e -> !e.equals("open") && !e.equals("close")))
                .containsSubsequence(expected.subList(1, expected.size()));
        assertThat(client.events).containsExactly("open");
    }

    /**
     * A process closes its transport in a shared JVM while its network thread is busy. The peer must see the close
     * and the port must be free. An event loop that shut down without closing its sockets kept the port bound, so
     * that a successor at the same address could not bind, and left the peer waiting on a connection that nobody
     * read.
     */
    @Test
    void closeDuringABusyLoopLeavesNoSocketOpen() throws Exception {
        listen(new WireLimits(MAX_FRAME, MAX_PENDING, LONG, LONG, LONG));
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.getOutputStream().write(frame(GreetingMessage.CODEC.encode(GREETING)));
            await(() -> server.events.contains("open"));
            EventLoopGroup loops = (EventLoopGroup) listening.scheduler();
            loops.execute(() -> {
                while (!loops.isShuttingDown()) {
                    Thread.onSpinWait();
                }
            });

            listening.close();

            readToEnd(socket);
        }
        assertThatThrownBy(() -> new Socket(address.getAddress(), address.getPort()))
                .isInstanceOf(ConnectException.class);
    }

    private void listen(WireLimits limits) {
        listening = transport(limits);
        address = (InetSocketAddress)
                listening.listen(new InetSocketAddress("127.0.0.1", 0), server).localAddress();
    }

    private WireTransport connect() {
        WireTransport other = transport(new WireLimits(MAX_FRAME, MAX_PENDING, LONG, HEARTBEAT, LONG));
        other.connect(address, client);
        return other;
    }

    private WireTransport transport(WireLimits limits) {
        MessageRegistry registry = WireTransport.registry().register(NumberMessage.CODEC);
        WireTransport transport = new WireTransport(1, registry, GREETING, limits);
        transports.add(transport);
        return transport;
    }

    private static void readToEnd(Socket socket) throws IOException {
        socket.setSoTimeout(20_000);
        try {
            socket.getInputStream().readAllBytes();
        } catch (SocketException e) {
            // a reset is an end too
        }
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + Duration.ofSeconds(20).toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("waited for too long").isLessThan(end);
            Thread.onSpinWait();
        }
    }

    private static byte[] frame(byte[] payload) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new DataOutputStream(out).writeInt(payload.length);
        out.write(payload);
        return out.toByteArray();
    }

    private static byte[] field(int... value) {
        return join(bytes(100, 0x81, 2), bytes(value));
    }

    private static int[] nestedLists(int levels) {
        int[] lists = new int[levels];
        java.util.Arrays.fill(lists, 0x91);
        return lists;
    }

    private static byte[] bytes(int... values) {
        byte[] bytes = new byte[values.length];
        for (int i = 0; i < values.length; i++) {
            bytes[i] = (byte) values[i];
        }
        return bytes;
    }

    private static byte[] join(byte[] first, byte[] second) {
        byte[] both = java.util.Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, both, first.length, second.length);
        return both;
    }
}
