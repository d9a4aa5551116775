package org.copperspindle.entry;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.copperspindle.agent.AttemptCancelMessage;
import org.copperspindle.agent.AttemptOrderMessage;
import org.copperspindle.agent.OutcomeQueryMessage;
import org.copperspindle.config.Priority;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.daemon.MessageCatalog;
import org.copperspindle.time.SystemTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Connections to agents that misbehave, over real sockets. */
class AgentLinksTest {

    private static final int GENEROUS_SECONDS = 30;

    private final BlockingQueue<WireMessage> notSent = new LinkedBlockingQueue<>();
    private final DecisionRing ring = new DecisionRing("test", 4096);
    private final SystemTimerService timers = new SystemTimerService("test", ring);
    private final WireTransport transport = new WireTransport(
            1, MessageCatalog.registry(), new GreetingMessage(GreetingMessage.PROTOCOL, "process", "entry", 1));
    private final AgentLinks links = new AgentLinks(ring, timers, transport, new NotSentListener());
    private ServerSocket agent;
    private InetSocketAddress address;

    @BeforeEach
    void listen() throws Exception {
        agent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        address = new InetSocketAddress(agent.getInetAddress(), agent.getLocalPort());
    }

    @AfterEach
    void close() throws Exception {
        agent.close();
        timers.close();
        transport.close();
        ring.close();
    }

    /**
     * The agent's VM accepts the connection and dies before it greets. No byte of the order was sent, so it comes back at
     * once with that proof and can go elsewhere; before, it waited until its request's deadline.
     */
    @Test
    void orderForAnAgentThatNeverGreetsComesBack() throws Exception {
        ring.execute(() -> links.send(address, new OutcomeQueryMessage("a", 1)));
        Socket accepted = agent.accept();
        accepted.close();

        assertThat(notSent.poll(GENEROUS_SECONDS, TimeUnit.SECONDS)).isEqualTo(new OutcomeQueryMessage("a", 1));
    }

    /**
     * An agent accepts and stays silent while a burst of orders is meant for it. What waits for it is bounded; the rest
     * comes back at once. A cancelled order that still waits is withdrawn, never to be sent.
     */
    @Test
    void silentAgentHoldsABoundedNumberOfMessages() throws Exception {
        ring.execute(() -> {
            for (int i = 0; i < AgentLinks.MAX_WAITING + 1; i++) {
                links.send(address, order("a" + i));
            }
            links.send(address, new AttemptCancelMessage("a0"));
        });
        AttemptOrderMessage over = (AttemptOrderMessage) notSent.poll(GENEROUS_SECONDS, TimeUnit.SECONDS);
        assertThat(over.attemptId()).isEqualTo("a" + AgentLinks.MAX_WAITING);

        agent.accept().close();
        for (int i = 1; i < AgentLinks.MAX_WAITING; i++) {
            AttemptOrderMessage back = (AttemptOrderMessage) notSent.poll(GENEROUS_SECONDS, TimeUnit.SECONDS);
            assertThat(back.attemptId()).isEqualTo("a" + i);
        }
        assertThat(notSent).isEmpty();
    }

    private static AttemptOrderMessage order(String attemptId) {
        return new AttemptOrderMessage(
                attemptId, "r", "u", 1, "/", new byte[0], false, false, Priority.STANDARD, 1_000_000, 1);
    }

    private final class NotSentListener implements AgentListener {

        @Override
        public void onMessage(InetSocketAddress from, WireMessage message) {
            throw new AssertionError("a silent agent sent " + message);
        }

        @Override
        public void onNotSent(WireMessage message) {
            notSent.add(message);
        }

        @Override
        public void onLinkLost(InetSocketAddress from) {
            throw new AssertionError("a connection that was never open was lost");
        }
    }
}
