package org.copperspindle.origin;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;

import org.copperspindle.discovery.DirectoryGossip;
import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.discovery.UpstreamRecordsMessage;
import org.copperspindle.mesh.MajorityWatch;
import org.copperspindle.mesh.MeshNode;
import org.copperspindle.mesh.MeshSettings;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeListMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;

/**
 * Nodes that share stream origins, in virtual time. Messages are transferred as bytes and take a millisecond.
 */
final class OriginFleet implements AutoCloseable {

    static final String POOL = "p";
    static final Duration LIFETIME = Duration.ofSeconds(30);

    /** After that long, what was recorded is synced. */
    static final Duration SYNCED = Duration.ofMillis(200);

    private static final int SEEDS = 3;
    private static final Duration LINK_DELAY = Duration.ofMillis(1);

    private final VirtualTimerService time = new VirtualTimerService();
    private final MessageRegistry registry = WireTransport.registry()
            .register(NodeHelloMessage.CODEC)
            .register(NodeListMessage.CODEC)
            .register(UpstreamRecordsMessage.CODEC)
            .register(OriginRecordsMessage.CODEC)
            .register(OriginQueryMessage.CODEC)
            .register(OriginAnswerMessage.CODEC);
    private final List<Node> nodes = new ArrayList<>();
    private final Map<Integer, SimulatedOriginDisk> disks = new HashMap<>();
    private final Set<Integer> running = new TreeSet<>();
    private final int toleratedLosses;
    private final Map<Class<?>, Integer> sent = new HashMap<>();
    private long sequence;

    /** Starts connected nodes, in two failure domains by turns. */
    OriginFleet(int count) {
        this(0, count, 0);
    }

    /** Starts connected nodes, first those with a disk. */
    OriginFleet(int withDisk, int diskless, int toleratedLosses) {
        this.toleratedLosses = toleratedLosses;
        for (int i = 0; i < withDisk; i++) {
            disks.put(i, new SimulatedOriginDisk(time));
        }
        for (int i = 0; i < withDisk + diskless; i++) {
            join();
        }
        advance(Duration.ofSeconds(3));
    }

    /** Starts one more node without a disk, and connects it; returns its number. */
    int join() {
        int node = nodes.size();
        nodes.add(new Node(node, 1));
        connect(node);
        return node;
    }

    /** Returns the nodes to which a node is connected. */
    List<MeshNode> connected(int node) {
        return nodes.get(node).mesh.nodes();
    }

    SharedStreamOrigins origins(int node) {
        return nodes.get(node).origins;
    }

    /** Announces an upstream with a version of its software at one node; returns it. */
    UpstreamRecord announce(int node, String id, String software) {
        UpstreamRecord upstream = new UpstreamRecord(
                id,
                0,
                POOL,
                "10.0.0." + id.hashCode() + ":1",
                "a",
                UpstreamPhase.READY,
                4,
                ++sequence,
                0,
                0,
                SoftwareVersion.of(software));
        nodes.get(node).gossip.onAnnouncement(upstream);
        advance(Duration.ofMillis(10));
        return upstream;
    }

    /** Records at a node that a stream is sent to an upstream. */
    void begin(int node, String request, UpstreamRecord upstream, long order) {
        origins(node).record(key(request), upstream, order);
        advance(Duration.ofMillis(10));
    }

    /** Asks a node where a stream began, and waits for the answer for a while. */
    Optional<OriginResult> find(int node, String request, Duration wait) {
        AtomicReference<OriginResult> result = new AtomicReference<>();
        origins(node).find(key(request), POOL, result::set);
        advance(wait);
        return Optional.ofNullable(result.get());
    }

    OriginResult find(int node, String request) {
        return find(node, request, Duration.ofSeconds(1)).orElseThrow();
    }

    static StreamKey key(String request) {
        return StreamKey.of(POOL, "t", request);
    }

    /** Ends the process of a node: its connections are closed. */
    void end(int node) {
        unlinkAll(node, false);
    }

    /** Kills nodes at once, without a loss of power. */
    void kill(Collection<Integer> killed) {
        disconnect(killed, false);
        killed.forEach(node -> disk(node).ifPresent(SimulatedOriginDisk::endProcess));
        running.removeAll(killed);
    }

    /** Ends nodes at once with a loss of power. */
    void losePower(Collection<Integer> ended) {
        kill(ended);
        ended.forEach(node -> disk(node).ifPresent(SimulatedOriginDisk::losePower));
    }

    /** Loses the contents of the disk of a node that does not run. */
    void loseDisk(int node) {
        disk(node).ifPresent(SimulatedOriginDisk::clear);
    }

    /** Starts a node that does not run, with its disk, and connects it to those that run. */
    void start(int node) {
        startAlone(node);
        connect(node);
    }

    /** Starts a node that does not run, with its disk, and does not connect it yet. */
    void startAlone(int node) {
        nodes.get(node).close();
        nodes.set(node, new Node(node, nodes.get(node).incarnation + 1));
    }

    /** Connects a node to those that run. */
    void connect(int node) {
        running.forEach(other -> link(node, other));
        running.add(node);
    }

    /** Starts all nodes that do not run. */
    void startAll() {
        all().stream().filter(node -> !running.contains(node)).forEach(this::start);
    }

    /** Returns the numbers of all nodes. */
    List<Integer> all() {
        return IntStream.range(0, nodes.size()).boxed().toList();
    }

    /** Suspends a node: the others notice its silence, and it keeps its memory. */
    void suspend(int node) {
        disconnect(List.of(node), true);
        running.remove(node);
    }

    /** Starts a node again without its memory. */
    void restart(int node) {
        nodes.get(node).close();
        nodes.set(node, new Node(node, nodes.get(node).incarnation + 1));
        for (int other = 0; other < nodes.size(); other++) {
            if (other != node) {
                link(node, other);
            }
        }
        advance(Duration.ofMillis(10));
    }

    /** Partitions two nodes from each other: both notice the silence. */
    void partition(int one, int other) {
        unlink(one, other, true);
    }

    /** Drops all messages between two nodes that have not noticed it yet. */
    void silence(int one, int other) {
        nodes.get(one).peers.get(other).dropped = true;
        nodes.get(other).peers.get(one).dropped = true;
    }

    /** Returns how many messages of a kind all nodes have sent. */
    int sent(Class<? extends WireMessage> kind) {
        return sent.getOrDefault(kind, 0);
    }

    void advance(Duration by) {
        time.advance(by.toNanos());
    }

    @Override
    public void close() {
        nodes.forEach(Node::close);
    }

    private Optional<SimulatedOriginDisk> disk(int node) {
        return Optional.ofNullable(disks.get(node));
    }

    private void disconnect(Collection<Integer> from, boolean silent) {
        for (int node : from) {
            for (int other : all()) {
                nodes.get(node).disconnect(other, silent);
                nodes.get(other).disconnect(node, silent);
            }
        }
    }

    private void link(int one, int other) {
        nodes.get(one).connect(other);
        nodes.get(other).connect(one);
        advance(LINK_DELAY.multipliedBy(2));
    }

    private void unlinkAll(int node, boolean silent) {
        for (int other = 0; other < nodes.size(); other++) {
            if (other != node) {
                unlink(node, other, silent);
            }
        }
    }

    private void unlink(int one, int other, boolean silent) {
        nodes.get(one).disconnect(other, silent);
        nodes.get(other).disconnect(one, silent);
        advance(Duration.ofMillis(100));
    }

    /** One node. */
    private final class Node {
        private final int number;
        private final long incarnation;
        private final GreetingMessage greeting;
        private final WireTransport transport;
        private final NodeMesh mesh;
        private final DirectoryGossip gossip;
        private final SharedStreamOrigins origins;
        private final Map<Integer, Link> peers = new HashMap<>();

        private Node(int number, long incarnation) {
            this.number = number;
            this.incarnation = incarnation;
            InetSocketAddress listen = new InetSocketAddress("127.0.0.1", 1 + number);
            String name = "127.0.0.1:" + (1 + number);
            greeting = new GreetingMessage(GreetingMessage.PROTOCOL, "gateway", name, incarnation);
            transport = new WireTransport(1, registry, greeting);
            String domain = number % 2 == 0 ? "a" : "b";
            MeshSettings settings = new MeshSettings(listen, listen, name, domain, false, seeds());
            boolean durable = disk(number).isPresent();
            NodeHelloMessage hello = new NodeHelloMessage(name, domain, durable, true, false, 0, "", 0, 1);
            mesh = new NodeMesh(settings, transport, time, () -> hello);
            UpstreamDirectory directory = new UpstreamDirectory();
            gossip = new DirectoryGossip(mesh, time, directory);
            MajorityWatch majority = new MajorityWatch(mesh::count, time);
            ObservedSoftware observed = new ObservedSoftware(directory, majority, time, LIFETIME::toNanos);
            origins = new SharedStreamOrigins(mesh, majority, time, observed, observed, LIFETIME::toNanos);
            origins.storeOn(
                    disk(number).map(SimulatedOriginDisk::open).orElseGet(DisklessOriginStore::new), toleratedLosses);
            mesh.subscribe(majority);
            mesh.subscribe(gossip);
            mesh.subscribe(origins);
            directory.subscribe(origins::onUpstreamChange);
        }

        /** Without disks, nodes know only each other. */
        private List<InetSocketAddress> seeds() {
            return disks.isEmpty()
                    ? List.of()
                    : IntStream.rangeClosed(1, SEEDS)
                            .mapToObj(port -> new InetSocketAddress("127.0.0.1", port))
                            .toList();
        }

        private void connect(int other) {
            Link link = new Link(number, other);
            peers.put(other, link);
            mesh.onOpen(link);
            mesh.announce();
        }

        private void disconnect(int other, boolean silent) {
            Link link = peers.remove(other);
            if (link != null) {
                link.dropped = true;
                link.silent = silent;
                mesh.onClose(link);
            }
        }

        private void close() {
            transport.close();
        }
    }

    /** One end of a connection. */
    private final class Link implements Peer {
        private final int from;
        private final int to;
        private boolean dropped;
        private boolean silent;

        private Link(int from, int to) {
            this.from = from;
            this.to = to;
        }

        @Override
        public GreetingMessage greeting() {
            return nodes.get(to).greeting;
        }

        @Override
        public boolean send(WireMessage message) {
            sent.merge(message.getClass(), 1, Integer::sum);
            byte[] bytes = registry.encode(message);
            time.schedule(LINK_DELAY.toNanos(), () -> arrive(bytes));
            return true;
        }

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public boolean isClosedForSilence() {
            return silent;
        }

        @Override
        public void close() {
            // The test closes both ends of a link itself.
        }

        private void arrive(byte[] bytes) {
            Link reverse = nodes.get(to).peers.get(from);
            if (dropped || reverse == null) {
                return;
            }
            try {
                nodes.get(to).mesh.onMessage(reverse, registry.decode(bytes).orElseThrow());
            } catch (MalformedFrameException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
