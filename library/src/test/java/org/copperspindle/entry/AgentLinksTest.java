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

/** Tests connections to agents that misbehave, over real sockets. */
class AgentLinksTest {

    private static final int TIMEOUT_SECONDS = 30;

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
     * The agent's VM accepts the connection and crashes before it sends its greeting. No byte of the order was sent, so
     * the order must be reported as not sent at once and can go elsewhere, instead of waiting until its request's
     * deadline.
     */
    @Test
    void orderForAgentThatNeverGreetsIsReportedNotSent() throws Exception {
        ring.execute(() -> links.send(address, new OutcomeQueryMessage("a", 1)));
        Socket accepted = agent.accept();
        accepted.close();

        assertThat(notSent.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(new OutcomeQueryMessage("a", 1));
    }

    /**
     * An agent accepts the connection and stays silent while many orders are sent to it. The queue for it is bounded,
     * and the excess is reported as not sent at once. A cancelled order that is still queued is removed and never sent.
     */
    @Test
    void messagesQueuedForASilentAgentAreBounded() throws Exception {
        ring.execute(() -> {
            for (int i = 0; i < AgentLinks.MAX_WAITING + 1; i++) {
                links.send(address, order("a" + i));
            }
            links.send(address, new AttemptCancelMessage("a0"));
        });
        AttemptOrderMessage over = (AttemptOrderMessage) notSent.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(over.attemptId()).isEqualTo("a" + AgentLinks.MAX_WAITING);

        agent.accept().close();
        for (int i = 1; i < AgentLinks.MAX_WAITING; i++) {
            AttemptOrderMessage back = (AttemptOrderMessage) notSent.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
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
