package org.copperspindle.admission;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.copperspindle.batch.PoolLoad;
import org.copperspindle.batch.PoolLoadMessage;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.mesh.MeshNode;
import org.copperspindle.mesh.MeshRelay;
import org.copperspindle.mesh.MeshSettings;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeListMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.mesh.RelayMessage;
import org.copperspindle.route.Route;
import org.copperspindle.route.RouteKind;
import org.copperspindle.route.RouteStage;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.TestRoutes;
import org.copperspindle.route.WeightedPool;
import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Four nodes whose links fail at random. Each takes the connected node with the lowest address for the controller.
 */
class StartsUnderFailuresTest {

    private static final long MILLI = 1_000_000L;
    private static final int NODES = 4;
    private static final int ROUNDS = 200;
    private static final String POOL = "s";
    private static final Route ROUTE = TestRoutes.route(
            "note",
            "h",
            "/",
            RouteKind.STREAM,
            List.of(new WeightedPool("engines", 1)),
            List.of(new RouteStage(POOL, List.of(), 10)));
    private static final RouteTable TABLE =
            TestRoutes.table(1, List.of(ROUTE), List.of(TestRoutes.stagePool(POOL), TestRoutes.pool("engines")));

    private final MessageRegistry registry = WireTransport.registry()
            .register(NodeHelloMessage.CODEC)
            .register(NodeListMessage.CODEC)
            .register(RelayMessage.CODEC)
            .register(StartRequestMessage.CODEC)
            .register(StartResponseMessage.CODEC)
            .register(StartCancelMessage.CODEC);
    private final WireTransport transport =
            new WireTransport(1, registry, new GreetingMessage(GreetingMessage.PROTOCOL, "t", "t", 1));
    private final VirtualTimerService time = new VirtualTimerService();
    private final List<Node> nodes = new ArrayList<>();
    private final List<RecordingListener> listeners = new ArrayList<>();

    @AfterEach
    void close() {
        transport.close();
    }

    /**
     * Whatever is lost, late or cut off: stages that start twice run twice, and a request without a decision holds its
     * caller until its timeout.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void eachRequestIsDecidedOnce(long seed) {
        Random random = new Random(seed);
        for (int i = 1; i <= NODES; i++) {
            nodes.add(new Node(i));
        }
        nodes.forEach(node -> nodes.stream().filter(other -> other != node).forEach(node::connect));
        nodes.forEach(Node::start);
        for (int round = 0; round < ROUNDS; round++) {
            failAtRandom(random);
            Node node = nodes.get(random.nextInt(NODES));
            RecordingListener listener = new RecordingListener();
            listeners.add(listener);
            node.starts.request(request(), round, listener);
            if (random.nextInt(4) == 0) {
                // Both may be decided: a caller that left hears nothing any more.
                node.starts.cancel(round);
                listener.decisions.add("left");
            }
            node.policy.starts = random.nextInt(5) == 0;
            time.advance(random.nextInt(60) * MILLI);
            assertThat(listeners)
                    .allMatch(l -> l.decisions.size() <= 1
                            || l.decisions.equals(List.of("start", "left"))
                            || l.decisions.equals(List.of("local", "left")));
        }
        nodes.forEach(node -> node.links.values().forEach(Link::heal));
        nodes.forEach(node -> node.policy.starts = true);
        time.advance(3000 * MILLI);
        assertThat(listeners).noneMatch(l -> l.decisions.isEmpty());
        assertThat(listeners).filteredOn(l -> !l.decisions.contains("left")).allMatch(l -> l.decisions.size() == 1);
        assertThat(listeners).anyMatch(l -> l.decisions.contains("start"));
        assertThat(listeners).anyMatch(l -> l.decisions.contains("local"));
        assertThat(nodes).allMatch(node -> node.starts.pendingCount() == 0 && node.starts.waitingCount() == 0);
    }

    /** Cuts a link in one direction, closes it in both, delays it as a pause of the process does, or heals it. */
    private void failAtRandom(Random random) {
        Node from = nodes.get(random.nextInt(NODES));
        Node to = nodes.get(random.nextInt(NODES));
        if (from == to) {
            return;
        }
        Link link = from.links.get(to.name);
        int failure = random.nextInt(6);
        if (failure == 0) {
            link.cut = true;
        } else if (failure == 1) {
            from.mesh.onClose(link);
            to.mesh.onClose(to.links.get(from.name));
        } else if (failure == 2) {
            from.links.values().forEach(l -> l.delayNanos = 500 * MILLI);
        } else {
            link.heal();
            to.links.get(from.name).heal();
        }
    }

    private StagedRequest request() {
        long now = time.nanoTime();
        return new RemoteRequest(TABLE, ROUTE, List.of(4), "", 1, now, now + 2000 * MILLI, now + 9000 * MILLI, false);
    }

    private static NodeHelloMessage hello() {
        return new NodeHelloMessage("127.0.0.1:9", "d", false, true, false, 0, "", 0, 1);
    }

    private final class Node {
        private final String name;
        private final NodeMesh mesh;
        private final FakeStartPolicy policy = new FakeStartPolicy();
        private final FleetStageStarts starts;
        private final Map<String, Link> links = new HashMap<>();

        private Node(int number) {
            name = "127.0.0.1:" + number;
            InetSocketAddress listen = new InetSocketAddress("127.0.0.1", number);
            mesh = new NodeMesh(
                    new MeshSettings(listen, listen, "127.0.0.1:9", "d", false, List.of()),
                    transport,
                    time,
                    StartsUnderFailuresTest::hello);
            MeshRelay relay = new MeshRelay(mesh, registry);
            starts = new FleetStageStarts(
                    relay,
                    time,
                    pool -> controller(),
                    () -> Optional.of(TABLE),
                    pool -> PoolLoad.UNKNOWN,
                    policy.of(POOL),
                    new LogRateLimiter(0, 0));
            mesh.subscribe(relay);
            mesh.subscribe(starts);
            relay.subscribe(starts);
        }

        private void connect(Node other) {
            links.put(other.name, new Link(this, other));
        }

        private void start() {
            links.values().forEach(Link::heal);
            starts.start();
            sendLoads();
        }

        private void sendLoads() {
            if (controller().equals(name)) {
                mesh.broadcast(new PoolLoadMessage(POOL, 500, 100, 0, true));
            }
            time.schedule(80 * MILLI, this::sendLoads);
        }

        private String controller() {
            return mesh.nodes().stream()
                    .map(MeshNode::address)
                    .filter(other -> other.compareTo(name) < 0)
                    .sorted()
                    .findFirst()
                    .orElse(name);
        }
    }

    /** One end of the connection between two nodes. */
    private final class Link implements Peer {
        private final Node from;
        private final Node to;
        private boolean cut;
        private long delayNanos = MILLI;

        private Link(Node from, Node to) {
            this.from = from;
            this.to = to;
        }

        // Connects again, as after a failure; the other end is connected by its own link.
        private void heal() {
            cut = false;
            delayNanos = MILLI;
            if (from.mesh.find(to.name).isEmpty()) {
                from.mesh.onOpen(this);
                from.mesh.onMessage(this, hello());
            }
        }

        @Override
        public GreetingMessage greeting() {
            return new GreetingMessage(GreetingMessage.PROTOCOL, "gateway", to.name, 1);
        }

        @Override
        public boolean send(WireMessage message) {
            if (!cut) {
                time.schedule(delayNanos, () -> to.mesh.onMessage(to.links.get(from.name), message));
            }
            return true;
        }

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public void close() {
            cut = true;
        }
    }
}
