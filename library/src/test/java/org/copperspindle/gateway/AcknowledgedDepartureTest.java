package org.copperspindle.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.copperspindle.dialect.StandardDialects;
import org.copperspindle.discovery.DirectoryGossip;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamRecordsMessage;
import org.copperspindle.http.HttpLimits;
import org.copperspindle.http.HttpListener;
import org.copperspindle.http.HttpRequestHandler;
import org.copperspindle.mesh.MeshSettings;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.time.EventLoopTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireLimits;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A departure that a node acknowledges while its network thread has much else to read.
 */
class AcknowledgedDepartureTest {

    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final String OWN = "127.0.0.1:1";
    private static final String OTHER = "127.0.0.1:2";
    private static final NodeHelloMessage HELLO = new NodeHelloMessage(OWN, "d", false, true, false, 0, "", 0, 1);
    private static final String DEPARTURE = "DELETE /v1/upstreams/u1 HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final String GET = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final long TIMEOUT_SECONDS = 20;
    private static final long ARRIVAL_MILLIS = 100;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final EventLoopTimerService timers = new EventLoopTimerService(loop);
    private final WireTransport transport =
            new WireTransport(group, GatewayMessages.registry(), greeting(OWN), WireLimits.DEFAULT);
    private final WireTransport otherTransport =
            new WireTransport(1, GatewayMessages.registry(), greeting(OTHER), WireLimits.DEFAULT);
    private final NodeMesh mesh = new NodeMesh(
            new MeshSettings(ANY_PORT, ANY_PORT, OWN, "d", false, List.of()), transport, timers, () -> HELLO);
    private final DirectoryGossip gossip = new DirectoryGossip(mesh, timers, new UpstreamDirectory());
    private final OtherNode other = new OtherNode();

    @AfterEach
    void close() {
        otherTransport.close();
        transport.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Guards against departures that are acknowledged long before they are sent to the other nodes. */
    @Test
    void departureIsSentBeforeItsAcknowledgement() throws Exception {
        AtomicBoolean isHandled = new AtomicBoolean();
        CountDownLatch released = new CountDownLatch(1);
        HttpRequestHandler endpoint = new StandardDialects()
                .controlEndpoint(new ControlRequestHandler(gossip, null, null, null, null, null, null));
        HttpRequestHandler control = exchange -> {
            endpoint.handle(exchange);
            isHandled.set(true);
        };
        // Whichever of these the thread reads after the departure keeps it in the same turn.
        HttpRequestHandler busy = exchange -> {
            if (isHandled.get()) {
                await(released);
            }
        };
        connectOtherNode();
        try (HttpListener controls = new HttpListener(group, ANY_PORT, () -> HttpLimits.DEFAULT, control);
                HttpListener callers = new HttpListener(group, ANY_PORT, () -> HttpLimits.DEFAULT, busy);
                Socket upstream = connect(controls);
                Socket before = connect(callers);
                Socket after = connect(callers)) {
            CountDownLatch arrived = new CountDownLatch(1);
            sleep(ARRIVAL_MILLIS);
            loop.execute(() -> await(arrived));
            write(before, GET);
            sleep(ARRIVAL_MILLIS);
            write(upstream, DEPARTURE);
            sleep(ARRIVAL_MILLIS);
            write(after, GET);
            sleep(ARRIVAL_MILLIS);
            arrived.countDown();
            byte[] status = upstream.getInputStream().readNBytes("HTTP/1.1 200".length());
            assertThat(new String(status, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 200");
            try {
                assertThat(other.hasLearned.get(TIMEOUT_SECONDS, TimeUnit.SECONDS))
                        .isTrue();
            } finally {
                // The listeners close on the thread that waits.
                released.countDown();
            }
        }
    }

    private void connectOtherNode() throws Exception {
        InetSocketAddress address =
                (InetSocketAddress) transport.listen(ANY_PORT, mesh).localAddress();
        otherTransport.connect(address, other);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (loop.submit(mesh::count).get() == 0 && System.nanoTime() < end) {
            sleep(1);
        }
    }

    private static GreetingMessage greeting(String name) {
        return new GreetingMessage(GreetingMessage.PROTOCOL, "gateway", name, 1);
    }

    private static Socket connect(HttpListener listener) throws IOException {
        return new Socket(listener.address().getAddress(), listener.address().getPort());
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Another node, which records that it learns of the departure. */
    private static final class OtherNode implements PeerListener {
        private final CompletableFuture<Boolean> hasLearned = new CompletableFuture<>();

        @Override
        public boolean onOpen(Peer peer) {
            peer.send(HELLO);
            return true;
        }

        @Override
        public boolean onMessage(Peer peer, WireMessage message) {
            if (message instanceof UpstreamRecordsMessage) {
                hasLearned.complete(true);
            }
            return true;
        }

        @Override
        public boolean onClose(Peer peer) {
            return true;
        }
    }
}
