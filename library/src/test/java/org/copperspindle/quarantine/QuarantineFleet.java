package org.copperspindle.quarantine;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.copperspindle.direct.ListenState;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.measure.DecisionLog;
import org.copperspindle.mesh.MeshSettings;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeListMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.WireTransport;

/**
 * Nodes with a quarantine each, in virtual time, before upstreams that end when the test says so.
 */
final class QuarantineFleet implements AutoCloseable {

    static final String POOL = "p";

    private static final int LINES = 10_000;
    private static final Duration CHECK_TIME = Duration.ofMillis(1);
    private static final Duration SETTLED = Duration.ofMillis(20);

    private final VirtualTimerService time = new VirtualTimerService();
    private final MessageRegistry registry = WireTransport.registry()
            .register(NodeHelloMessage.CODEC)
            .register(NodeListMessage.CODEC)
            .register(SuspicionMessage.CODEC);
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<Node> nodes = new ArrayList<>();
    private final Map<Set<Integer>, Boolean> links = new HashMap<>();
    private final Map<Integer, UpstreamRecord> upstreams = new HashMap<>();
    private final Set<String> silent = new HashSet<>();
    private int ended;

    QuarantineFleet(int count) {
        for (int i = 0; i < count; i++) {
            nodes.add(new Node(i, 1));
        }
        for (int i = 0; i < count; i++) {
            for (int other = 0; other < i; other++) {
                join(i, other);
            }
        }
        settle();
    }

    /** Describes a request of one account by its body. */
    static TrackedRequest request(String body) {
        RequestDigest digest = RequestDigest.of("t", "POST", "h", "/r/x", body.getBytes(StandardCharsets.UTF_8));
        return new TrackedRequest("id-" + body, "r", "t", POOL, () -> digest);
    }

    /** Adds an upstream that every node knows, at an address of its own; returns its number. */
    int addUpstream() {
        int number = upstreams.size();
        announce(number, "u" + number, UpstreamPhase.READY);
        return number;
    }

    /** Has every node hear what the upstream at a place says of itself. */
    void announce(int number, String id, UpstreamPhase phase) {
        announce(number, id, 0, phase);
    }

    /** Has every node hear of one life of an upstream that tells when it began. */
    void announce(int number, String id, long incarnation, UpstreamPhase phase) {
        UpstreamRecord news = new UpstreamRecord(id, incarnation, POOL, address(number), "d", phase, 4, 1, 0, 0);
        upstreams.put(number, news);
        nodes.forEach(node -> node.directory.accept(news, time.nanoTime()));
    }

    /** Lets the VM of an upstream fall silent: nobody is told whether anything listens there. */
    void silence(int number) {
        silent.add(address(number));
    }

    UpstreamRun send(int node, TrackedRequest request, int upstream) {
        return send(node, request, upstream, Optional.empty());
    }

    UpstreamRun send(int node, TrackedRequest request, int upstream, Optional<UpstreamRun> previous) {
        return quarantine(node).startRun(request, upstreams.get(upstream), previous);
    }

    /** Ends an upstream under runs; each is told with the node that has it. */
    void end(int upstream, Map<UpstreamRun, Integer> runs) {
        upstreams.computeIfPresent(upstream, (n, news) -> news.gone());
        ended++;
        breakOff(runs);
    }

    /** Ends an upstream of which the connections of runs showed no sign of life. */
    void endUnseen(int upstream, Map<UpstreamRun, Integer> runs) {
        upstreams.computeIfPresent(upstream, (n, news) -> news.gone());
        runs.forEach((run, node) -> quarantine(node).onConnectionFailure(run, false, () -> {}));
    }

    /** Breaks the connections of runs; their upstream may live on. */
    void breakOff(Map<UpstreamRun, Integer> runs) {
        runs.forEach((run, node) -> quarantine(node).onConnectionFailure(run, true, () -> {}));
    }

    /** Sends a request to a new upstream, which ends under it, unless it is held off; returns whether it was sent. */
    boolean endsOne(int node, TrackedRequest request) {
        if (quarantine(node).isQuarantined(request)) {
            return false;
        }
        int upstream = addUpstream();
        end(upstream, Map.of(send(node, request, upstream), node));
        settle();
        return true;
    }

    /** Has a request run to its end. */
    void serve(int node, TrackedRequest request) {
        quarantine(node).onSurvived(send(node, request, addUpstream()));
    }

    RequestQuarantine quarantine(int node) {
        return nodes.get(node).quarantine;
    }

    boolean isHeldAnywhere(TrackedRequest request) {
        return nodes.stream().anyMatch(node -> node.quarantine.isQuarantined(request));
    }

    boolean isHeldEverywhere(TrackedRequest request) {
        return nodes.stream().allMatch(node -> node.quarantine.isQuarantined(request));
    }

    int ended() {
        return ended;
    }

    /** Cuts two nodes off from each other; both find out. */
    void cut(int one, int other) {
        links.put(Set.of(one, other), false);
        nodes.get(one).lose(other);
        nodes.get(other).lose(one);
        nodes.forEach(node -> node.mesh.announce());
        settle();
    }

    /** Opens one more connection between two nodes, as when both dial each other at the same moment. */
    void connectAgain(int one, int other) {
        nodes.get(one).connect(nodes.get(other));
        nodes.get(other).connect(nodes.get(one));
        settle();
    }

    /** Resets the newer of two connections between nodes, with all that is on its way. */
    void resetNewest(int one, int other) {
        nodes.get(one).loseNewest(other);
        nodes.get(other).loseNewest(one);
        settle();
    }

    /** Connects two nodes unless they are. */
    void join(int one, int other) {
        if (links.getOrDefault(Set.of(one, other), false)) {
            return;
        }
        links.put(Set.of(one, other), true);
        nodes.get(one).connect(nodes.get(other));
        nodes.get(other).connect(nodes.get(one));
        settle();
        nodes.forEach(node -> node.mesh.announce());
        settle();
    }

    /** Starts nodes anew, which remember nothing. */
    void restart(List<Integer> numbers) {
        for (int number : numbers) {
            others(number).forEach(other -> cut(number, other));
            nodes.get(number).close();
            nodes.set(number, new Node(number, nodes.get(number).life + 1));
            upstreams.values().forEach(news -> nodes.get(number).directory.accept(news, time.nanoTime()));
        }
        for (int number : numbers) {
            others(number).forEach(other -> join(number, other));
        }
    }

    void settle() {
        advance(SETTLED);
    }

    void advance(Duration by) {
        time.advance(by.toNanos());
    }

    @Override
    public void close() {
        nodes.forEach(Node::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private List<Integer> others(int number) {
        return IntStream.range(0, nodes.size())
                .filter(other -> other != number)
                .boxed()
                .toList();
    }

    private static String address(int upstream) {
        return "10.0." + upstream / 250 + '.' + (1 + upstream % 250) + ":80";
    }

    private void check(String address, Consumer<ListenState> result) {
        boolean listens = upstreams.values().stream()
                .anyMatch(news -> news.address().equals(address) && news.phase() != UpstreamPhase.GONE);
        ListenState state = listens ? ListenState.LISTENS : ListenState.REFUSES;
        time.schedule(CHECK_TIME.toNanos(), () -> result.accept(silent.contains(address) ? ListenState.SILENT : state));
    }

    /** One node. */
    private final class Node {
        private final int number;
        private final long life;
        private final GreetingMessage greeting;
        private final WireTransport transport;
        private final NodeMesh mesh;
        private final UpstreamDirectory directory = new UpstreamDirectory();
        private final RequestQuarantine quarantine;
        private final Map<Integer, Deque<LinkedPeer>> peers = new HashMap<>();

        private Node(int number, long life) {
            this.number = number;
            this.life = life;
            InetSocketAddress own = new InetSocketAddress("127.0.0.1", number + 1);
            this.greeting = new GreetingMessage(GreetingMessage.PROTOCOL, "gateway", "127.0.0.1:" + (number + 1), life);
            this.transport = new WireTransport(group, registry, greeting, MeshSettings.LIMITS);
            NodeHelloMessage hello = new NodeHelloMessage("127.0.0.1:9", "d", false, true, false, 0, "", 0, 1);
            this.mesh = new NodeMesh(
                    new MeshSettings(own, own, "127.0.0.1:9", "d", false, List.of()), transport, time, () -> hello);
            this.quarantine = new RequestQuarantine(
                    mesh, time, directory, QuarantineFleet.this::check, new DecisionLog(LINES, LINES));
            mesh.subscribe(quarantine);
        }

        private void connect(Node other) {
            LinkedPeer peer = new LinkedPeer(
                    other.greeting,
                    registry,
                    time,
                    () -> links.get(Set.of(number, other.number)),
                    message -> other.mesh.onMessage(other.peers.get(number).getLast(), message));
            peers.computeIfAbsent(other.number, n -> new ArrayDeque<>()).addLast(peer);
            mesh.onOpen(peer);
        }

        private void lose(int other) {
            Deque<LinkedPeer> open = peers.getOrDefault(other, new ArrayDeque<>());
            while (!open.isEmpty()) {
                loseNewest(other);
            }
        }

        private void loseNewest(int other) {
            LinkedPeer peer = peers.get(other).removeLast();
            peer.lose();
            mesh.onClose(peer);
        }

        private void close() {
            transport.close();
        }
    }
}
