package org.copperspindle.daemon;

import java.util.Set;

import org.copperspindle.agent.AgentService;
import org.copperspindle.agent.AgentSettings;
import org.copperspindle.agent.AttemptCancelMessage;
import org.copperspindle.agent.AttemptOrderMessage;
import org.copperspindle.agent.LoadSubscribeMessage;
import org.copperspindle.agent.OutcomeAckMessage;
import org.copperspindle.agent.OutcomeQueryMessage;
import org.copperspindle.agent.StampedOrderMessage;
import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;

/**
 * The agent role: runs next to one upstream and passes attempts to it.
 */
final class AgentRole implements ProcessRole {

    private final ProcessContext context;
    private final AgentService service;

    AgentRole(ProcessContext context, AgentSettings settings) {
        this.context = context;
        this.service = new AgentService(
                context.ring(),
                context.timers(),
                context.transport(),
                settings,
                context.settings().controls(),
                context.wireAddress(),
                context.incarnation());
    }

    @Override
    public Set<Class<? extends WireMessage>> messages() {
        return Set.of(
                AttemptOrderMessage.class,
                StampedOrderMessage.class,
                AttemptCancelMessage.class,
                OutcomeAckMessage.class,
                OutcomeQueryMessage.class,
                LoadSubscribeMessage.class);
    }

    @Override
    public PeerListener listener() {
        return service;
    }

    @Override
    public void start() {
        context.ring().execute(service::start);
    }

    @Override
    public void stop(Runnable done) {
        service.drain(() -> {
            service.stop();
            done.run();
        });
    }

    @Override
    public void close() {
        service.close();
    }
}
