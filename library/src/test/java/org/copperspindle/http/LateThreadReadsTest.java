package org.copperspindle.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.copperspindle.memory.HeldMemories;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A caller that sends a request and leaves while the network thread is busy.
 */
class LateThreadReadsTest {

    private static final String GET = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final long TIMEOUT_SECONDS = 20;
    private static final long TASK_DELAY_MILLIS = 1;
    private static final long HANDLING_MILLIS = 10;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Guards against work for callers whose close is read a turn after their request. */
    @Test
    void closeIsReadInTheTurnOfTheRequest() throws Exception {
        AtomicBoolean hasLeft = new AtomicBoolean();
        CompletableFuture<Boolean> hadLeft = new CompletableFuture<>();
        HttpRequestHandler handler = exchange -> {
            exchange.onClosed(() -> hasLeft.set(true));
            Runnable check = () -> hadLeft.complete(hasLeft.get());
            loop.schedule(() -> loop.execute(check), TASK_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            sleep(HANDLING_MILLIS);
        };
        try (HttpListener listener = new HttpListener(
                        group,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        () -> HttpLimits.DEFAULT,
                        handler,
                        HeldMemories.ofCallers(),
                        ConnectionAdmission.ALL,
                        () -> true);
                Socket caller = new Socket(
                        listener.address().getAddress(), listener.address().getPort())) {
            awaitAccepted(listener);
            CountDownLatch busy = new CountDownLatch(1);
            CountDownLatch left = new CountDownLatch(1);
            loop.execute(() -> {
                busy.countDown();
                await(left);
            });
            await(busy);
            sendAndLeave(caller);
            left.countDown();
            assertThat(hadLeft.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        }
    }

    private void awaitAccepted(HttpListener listener) throws Exception {
        AtomicReference<Integer> connected = new AtomicReference<>(0);
        while (connected.get() == 0) {
            sleep(TASK_DELAY_MILLIS);
            loop.submit(() -> connected.set(listener.counters().connections())).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private static void sendAndLeave(Socket caller) throws IOException {
        caller.getOutputStream().write(GET.getBytes(StandardCharsets.US_ASCII));
        caller.close();
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
            Thread.sleep(Duration.ofMillis(millis).toMillis());
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
