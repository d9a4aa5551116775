package org.copperspindle.benchmarks;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.copperspindle.config.DeploymentLoader;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.membership.ControlLink;
import org.copperspindle.membership.ControlLinkListener;
import org.copperspindle.membership.ControlUpdateMessage;
import org.copperspindle.membership.LeaseRequestMessage;
import org.copperspindle.settings.SettingsException;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;

/**
 * An entry's side of control without the rest of an entry: holds a lease and reads each version, as an entry does.
 */
final class StandInMember implements ControlLinkListener {

    private static final Duration RENEW = Duration.ofSeconds(1);

    private final ControlLink link;
    private final WireTransport transport;
    private final AtomicLong parseNanos;
    private final boolean parses;
    private volatile long version;
    private long revision;

    StandInMember(
            int number,
            DecisionRing ring,
            TimerService timers,
            WireTransport shared,
            InetSocketAddress control,
            boolean parses,
            AtomicLong parseNanos) {
        this.transport = shared.withGreeting(
                new GreetingMessage(GreetingMessage.PROTOCOL, "process", "entry-" + number, number + 1L));
        this.parses = parses;
        this.parseNanos = parseNanos;
        this.link = new ControlLink(ring, timers, transport, List.of(control), RENEW, this::request, this);
        ring.execute(link::start);
    }

    long version() {
        return version;
    }

    long bytes() {
        return transport.counters().bytesSent() + transport.counters().bytesReceived();
    }

    private LeaseRequestMessage request() {
        return new LeaseRequestMessage(version, revision, new byte[0], false);
    }

    @Override
    public void onUpdate(ControlUpdateMessage update) {
        revision = Math.max(revision, update.membershipRevision());
        if (update.configVersion() <= version) {
            return;
        }
        if (parses) {
            parse(update.configText());
        }
        version = update.configVersion();
        link.renewNow();
    }

    private void parse(String text) {
        long start = System.nanoTime();
        try {
            DeploymentLoader.parse("stand-in", text);
        } catch (SettingsException e) {
            throw new IllegalStateException(e);
        }
        parseNanos.addAndGet(System.nanoTime() - start);
    }

    @Override
    public void onLease(boolean held) {
        // the measurement looks at versions only
    }

    @Override
    public void onReply(WireMessage message) {
        // sends no other requests
    }
}
