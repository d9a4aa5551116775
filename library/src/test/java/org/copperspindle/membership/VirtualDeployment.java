package org.copperspindle.membership;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.copperspindle.control.ApplyConfigCommand;
import org.copperspindle.control.ApplyOutcome;
import org.copperspindle.control.ControlService;
import org.copperspindle.control.ControlState;
import org.copperspindle.control.ProposalResult;
import org.copperspindle.control.ReplicatedLog;
import org.copperspindle.core.DecisionQueue;
import org.copperspindle.time.TimerService;
import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;

/**
 * Control members and simulated processes in virtual time, with a log that commits after a delay and connections that
 * can be partitioned without notice.
 */
final class VirtualDeployment {

    static final Duration LEASE = Duration.ofSeconds(5);
    static final Duration RENEW = Duration.ofSeconds(1);
    private static final long DELAY_NANOS = Duration.ofMillis(1).toNanos();
    private static final long RESEND_NANOS = Duration.ofMillis(50).toNanos();
    private static final long COMMIT_NANOS = Duration.ofMillis(3).toNanos();

    final VirtualTimerService time = new VirtualTimerService();
    final List<Control> controls = new ArrayList<>();
    final Map<String, SimulatedProcess> members = new LinkedHashMap<>();
    final Set<String> isolated = new HashSet<>();
    private final DecisionQueue queue = task -> {
        task.run();
        return true;
    };
    private final SplittableRandom random = new SplittableRandom(42);
    private Control leader;
    private long term;
    private long index;
    long messages;

    VirtualDeployment(int count) {
        for (int i = 0; i < count; i++) {
            controls.add(new Control(i));
        }
        controls.forEach(c -> c.service.start());
        lead(0);
    }

    /**
     * Makes another control member the leader. The former leader's own lease has ended by now, as the log guarantees.
     */
    void lead(int number) {
        term++;
        leader = controls.get(number);
    }

    Control leader() {
        return leader;
    }

    void advance(Duration duration) {
        time.advance(duration.toNanos());
    }

    SimulatedProcess entry(String id) {
        return member(id, 1, 1.0, Optional.empty());
    }

    SimulatedProcess agent(String id, long incarnation) {
        return member(id, incarnation, 1.0, Optional.of("engines"));
    }

    SimulatedProcess member(String id, long startIncarnation, double clockRate, Optional<String> pool) {
        SimulatedProcess member = new SimulatedProcess(id, startIncarnation, clockRate, pool);
        members.put(id, member);
        member.link.start();
        return member;
    }

    List<ApplyOutcome> apply(int control, String change, long base, String text, Duration wait) {
        List<ApplyOutcome> outcomes = new ArrayList<>();
        ApplyConfigCommand command = new ApplyConfigCommand(change, base, "ann", text);
        controls.get(control).service.apply(command, wait.toNanos(), outcomes::add);
        return outcomes;
    }

    /** One control member; all of them share one log. */
    final class Control implements ReplicatedLog {
        final ControlState state = new ControlState();
        final ControlService service = new ControlService(queue, time, this, state, LEASE);
        private final String name;

        private Control(int number) {
            name = "control-" + number;
        }

        @Override
        public boolean leads() {
            return leader == this;
        }

        @Override
        public long term() {
            return term;
        }

        @Override
        public Optional<String> leaderAddress() {
            return Optional.of("127.0.0.1:" + (9000 + controls.indexOf(leader)));
        }

        @Override
        public Optional<String> leaderWireAddress() {
            return Optional.of("127.0.0.1:" + (8000 + controls.indexOf(leader)));
        }

        @Override
        public void propose(byte[] command, Consumer<ProposalResult> callback) {
            long proposedIn = term;
            time.schedule(COMMIT_NANOS, () -> {
                // The others commit the command even if this member no longer leads; it just never learns of it.
                index++;
                boolean stillLeads = leader == this && term == proposedIn;
                for (Control control : controls) {
                    var result = control.state.apply(index, proposedIn, command);
                    if (control == this && stillLeads) {
                        callback.accept(new ProposalResult.Committed(index, result));
                    }
                }
                if (!stillLeads) {
                    callback.accept(new ProposalResult.Unknown());
                }
            });
        }

        @Override
        public void close() {
            // Nothing is open.
        }
    }

    /** A process that serves under a lease; it puts configuration texts in force without parsing them. */
    final class SimulatedProcess implements ControlLinkListener, ControlConnector {
        final String id;
        final ControlLink link;
        final Optional<String> pool;
        final Set<String> upstreams = new HashSet<>();
        private final long greetedIncarnation;
        private final List<InetSocketAddress> addresses = new ArrayList<>();
        long incarnation;
        long sequence = 1;
        long version;
        long revision;
        long configUpdates;
        String text = "";
        boolean stuck;
        boolean draining;
        boolean killed;

        private SimulatedProcess(String id, long startIncarnation, double clockRate, Optional<String> pool) {
            this.id = id;
            this.greetedIncarnation = startIncarnation;
            this.incarnation = startIncarnation;
            this.pool = pool;
            for (int i = 0; i < controls.size(); i++) {
                addresses.add(new InetSocketAddress("127.0.0.1", 8000 + i));
            }
            ControlCandidates candidates = new ControlCandidates(addresses, random.split());
            link = new ControlLink(queue, new DriftingTimers(clockRate), this, candidates, RENEW, this::request, this);
        }

        boolean serves() {
            return !killed && version > 0 && link.isLeaseHeld();
        }

        void kill() {
            killed = true;
            link.stop();
        }

        LeaseRequestMessage request() {
            byte[] announcement = pool.map(p -> UpstreamAnnouncement.CODEC.encode(new UpstreamAnnouncement(
                            id, p, "north", addresses.get(0), incarnation, sequence, List.of(), draining)))
                    .orElse(new byte[0]);
            return new LeaseRequestMessage(version, revision, announcement, false);
        }

        @Override
        public void onUpdate(ControlUpdateMessage update) {
            if (update.configVersion() > version && !stuck) {
                version = update.configVersion();
                text = update.configText();
                configUpdates++;
                link.renewNow();
            }
            if (update.membershipRevision() > revision) {
                revision = update.membershipRevision();
                if (update.full()) {
                    upstreams.clear();
                }
                update.upstreams().forEach(u -> upstreams.add(decode(u).upstreamId()));
                update.removed().forEach(u -> upstreams.remove(new String(u)));
            }
        }

        @Override
        public void onLease(boolean held) {
            // Tests query the link.
        }

        @Override
        public void onReply(WireMessage message) {
            // Tests send no requests.
        }

        @Override
        public void onNewerIncarnation(long known) {
            incarnation = known + 1;
        }

        @Override
        public void connect(InetSocketAddress target, PeerListener listener, Runnable failed) {
            Control control = controls.get(target.getPort() - 8000);
            if (isolated.contains(control.name) || isolated.contains(id)) {
                time.schedule(Duration.ofSeconds(1).toNanos(), failed);
                return;
            }
            Connection here = new Connection(this, listener, new GreetingMessage(1, "control", control.name, 1));
            Connection there =
                    new Connection(this, control.service, new GreetingMessage(1, "p", id, greetedIncarnation));
            here.other = there;
            there.other = here;
            time.schedule(DELAY_NANOS, () -> listener.onOpen(here));
        }

        private boolean unreachable(String control) {
            return killed || isolated.contains(id) || isolated.contains(control);
        }
    }

    static UpstreamAnnouncement decode(byte[] encoded) {
        try {
            return UpstreamAnnouncement.CODEC.decode(encoded);
        } catch (org.copperspindle.wire.MalformedFrameException e) {
            throw new IllegalStateException(e);
        }
    }

    /** One end of a connection. */
    private final class Connection implements Peer {
        private final SimulatedProcess member;
        private final PeerListener owner;
        private final GreetingMessage greeting;
        private final Deque<Runnable> inFlight = new ArrayDeque<>();
        private Connection other;
        private boolean open = true;

        private Connection(SimulatedProcess member, PeerListener owner, GreetingMessage greeting) {
            this.member = member;
            this.owner = owner;
            this.greeting = greeting;
        }

        private String control() {
            return greeting.role().equals("control") ? greeting.processId() : other.greeting.processId();
        }

        @Override
        public GreetingMessage greeting() {
            return greeting;
        }

        @Override
        public boolean send(WireMessage message) {
            if (!open) {
                return false;
            }
            messages++;
            enqueue(() -> other.owner.onMessage(other, message));
            return true;
        }

        /**
         * Messages arrive in order; those of a partitioned connection are delayed, as by TCP retransmission, until one
         * end closes it.
         */
        private void enqueue(Runnable event) {
            inFlight.add(event);
            if (inFlight.size() == 1) {
                time.schedule(DELAY_NANOS, this::deliverNext);
            }
        }

        private void deliverNext() {
            if (member.killed || !other.open) {
                inFlight.clear();
                return;
            }
            if (member.unreachable(control())) {
                time.schedule(RESEND_NANOS, this::deliverNext);
                return;
            }
            inFlight.poll().run();
            if (!inFlight.isEmpty()) {
                time.schedule(0, this::deliverNext);
            }
        }

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public void close() {
            if (!open) {
                return;
            }
            open = false;
            time.schedule(0, () -> owner.onClose(this));
            enqueue(other::close);
        }
    }

    /** A process's own clock, faster or slower than that of control. */
    private final class DriftingTimers implements TimerService {
        private final double rate;

        private DriftingTimers(double rate) {
            this.rate = rate;
        }

        @Override
        public long nanoTime() {
            return (long) (time.nanoTime() * rate);
        }

        @Override
        public org.copperspindle.time.TimerSubscription schedule(long delayNanos, Runnable task) {
            return time.schedule((long) (delayNanos / rate), task);
        }
    }
}
