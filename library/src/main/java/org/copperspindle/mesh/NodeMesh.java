package org.copperspindle.mesh;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import io.netty.channel.Channel;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.time.DeferredTask;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.NumericAddress;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;

/**
 * Connects this node with all others. Every node tells whom it is connected to, so that a node that reaches one seed
 * finds the rest, also after the seeds it was started with are gone. Runs on the network thread.
 */
public final class NodeMesh implements PeerListener {

    private static final Logger LOGGER = LogManager.getLogger(NodeMesh.class);

    /** An address that nobody answers at and nobody speaks of is dialled for so long; nanoseconds. */
    private static final long FORGET_NANOS = 20_000_000_000L;

    /** Connections with nodes that are lost together end within about so long of each other, and are told together; nanoseconds. */
    private static final long TOGETHER_NANOS = 50_000_000L;

    private final MeshSettings settings;
    private final WireTransport transport;
    private final TimerService timers;
    private final Supplier<NodeHelloMessage> hello;
    private final String self;
    private final DeferredTask lossTold;
    private final Map<String, MeshNode> nodes = new LinkedHashMap<>();
    private final Map<String, Long> wanted = new LinkedHashMap<>();
    private final Set<String> dialling = new HashSet<>();
    private final List<MeshListener> listeners = new ArrayList<>();
    private Set<String> seeds = Set.of();

    /**
     * Creates the mesh.
     *
     * @param settings  settings
     * @param transport transport whose greeting names this node by {@link MeshSettings#listen}
     * @param timers    time on the network thread
     * @param hello     what this node says of itself
     */
    public NodeMesh(
            MeshSettings settings, WireTransport transport, TimerService timers, Supplier<NodeHelloMessage> hello) {
        this.settings = settings;
        this.transport = transport;
        this.timers = timers;
        this.hello = hello;
        this.self = NumericAddress.format(settings.listen());
        this.lossTold = new DeferredTask(timers, this::announce);
        reseed(settings.seeds());
    }

    /**
     * Adds a listener; before {@link #start}.
     *
     * @param listener hears of all nodes and messages
     */
    public void subscribe(MeshListener listener) {
        listeners.add(listener);
    }

    /** Starts to listen and to connect. */
    public void start() {
        transport.listen(settings.bind(), this);
        tick();
    }

    /**
     * Takes other seeds, after a change of settings.
     *
     * @param addresses the new seeds
     */
    public void reseed(List<InetSocketAddress> addresses) {
        Set<String> next = new HashSet<>();
        addresses.forEach(address -> next.add(NumericAddress.format(address)));
        next.remove(self);
        seeds = next;
    }

    /**
     * Returns the name of this node.
     *
     * @return IP:PORT
     */
    public String self() {
        return self;
    }

    /**
     * Returns the other nodes that are connected.
     *
     * @return in no order
     */
    public List<MeshNode> nodes() {
        return nodes.values().stream().filter(MeshNode::isUp).toList();
    }

    /**
     * Counts the other nodes that are connected.
     *
     * @return as many as {@link #nodes} lists
     */
    public int count() {
        return (int) nodes.values().stream().filter(MeshNode::isUp).count();
    }

    /**
     * Lists the other nodes that take requests of callers.
     *
     * @return their addresses
     */
    public List<String> serving() {
        return nodes().stream()
                .filter(node -> node.hello().serving())
                .map(MeshNode::address)
                .toList();
    }

    /**
     * Finds a connected node.
     *
     * @param address its name
     * @return the node
     */
    public Optional<MeshNode> find(String address) {
        return Optional.ofNullable(nodes.get(address)).filter(MeshNode::isUp);
    }

    /**
     * Sends a message to every connected node.
     *
     * @param message the message
     */
    public void broadcast(WireMessage message) {
        nodes().forEach(node -> node.send(message));
    }

    /**
     * Tells all nodes at once what has changed of this one. Nodes hear nothing while nothing changes: that a node lives shows
     * by heartbeats of its connections, which are a few bytes and stand back where other messages go.
     */
    public void announce() {
        NodeHelloMessage own = hello.get();
        NodeListMessage list = neighbours();
        nodes().forEach(node -> {
            node.tell(own);
            node.tell(list);
        });
    }

    @Override
    public boolean onOpen(Peer peer) {
        String address = peer.greeting().processId();
        MeshNode node = nodes.computeIfAbsent(address, MeshNode::new);
        if (address.equals(self) || !node.open(peer)) {
            peer.close();
            return true;
        }
        node.tell(hello.get());
        node.tell(neighbours());
        return true;
    }

    @Override
    public boolean onMessage(Peer peer, WireMessage message) {
        MeshNode node = nodes.get(peer.greeting().processId());
        if (node == null || peer.greeting().incarnation() != node.incarnation()) {
            return true;
        }
        if (message instanceof NodeHelloMessage news) {
            heard(node, news);
        } else if (message instanceof NodeListMessage list) {
            node.neighbours(list.nodes());
            list.nodes().forEach(this::want);
        } else if (node.isUp()) {
            listeners.forEach(listener -> listener.onMessage(node, message));
        }
        return true;
    }

    @Override
    public boolean onClose(Peer peer) {
        MeshNode node = nodes.get(peer.greeting().processId());
        if (node == null || !node.closed(peer)) {
            return true;
        }
        if (node.isConnected()) {
            if (node.isUp()) {
                listeners.forEach(listener -> listener.onConnectionLost(node));
            }
            return true;
        }
        nodes.remove(node.address());
        wanted.put(node.address(), timers.nanoTime());
        if (node.hello() != null) {
            // The others go on taking it for alive, and leave work with it, while any node names it.
            lossTold.schedule(TOGETHER_NANOS);
            LOGGER.info("event=node-lost node={} incarnation={} nodes={}", node.address(), node.incarnation(), count());
            listeners.forEach(listener -> listener.onNodeDown(node));
        }
        return true;
    }

    private void heard(MeshNode node, NodeHelloMessage news) {
        boolean known = node.isUp();
        node.hello(news);
        wanted.remove(node.address());
        dialLeader(news.leader());
        if (!known) {
            LOGGER.info(
                    "event=node-found node={} incarnation={} domain={} durable={} version={} nodes={}",
                    node.address(),
                    node.incarnation(),
                    news.failureDomain(),
                    news.durable(),
                    news.version(),
                    count());
            listeners.forEach(listener -> listener.onNodeUp(node));
        }
        listeners.forEach(listener -> listener.onHello(node));
    }

    /**
     * Connects with the leader as soon as it is named. At the next look it would be one of all nodes that are dialled at once, and a node
     * that has just started serves nobody before it has a lease from it.
     */
    private void dialLeader(String leader) {
        boolean reached = leader.isEmpty() || leader.equals(self) || isConnected(leader);
        if (!reached && !dialling.contains(leader)) {
            want(leader);
            dial(leader);
        }
    }

    private void want(String address) {
        if (!address.equals(self) && !nodes.containsKey(address)) {
            wanted.putIfAbsent(address, timers.nanoTime());
        }
    }

    private void tick() {
        announce();
        dialMissing();
        timers.schedule(MeshSettings.LOOK_INTERVAL.toNanos(), this::tick);
    }

    private void dialMissing() {
        long now = timers.nanoTime();
        wanted.entrySet().removeIf(each -> now - each.getValue() > FORGET_NANOS && !isNamed(each.getKey()));
        Set<String> missing = new HashSet<>(seeds);
        missing.addAll(wanted.keySet());
        missing.removeAll(dialling);
        missing.removeIf(this::isConnected);
        missing.forEach(this::dial);
    }

    /** Says whether a node that is connected here is connected with another one. */
    private boolean isNamed(String address) {
        return nodes().stream().anyMatch(node -> node.neighbours().contains(address));
    }

    private boolean isConnected(String address) {
        MeshNode node = nodes.get(address);
        return node != null && node.isConnected();
    }

    private NodeListMessage neighbours() {
        return new NodeListMessage(nodes().stream().map(MeshNode::address).toList());
    }

    private void dial(String address) {
        dialling.add(address);
        transport
                .connect(NumericAddress.parse(address), this)
                .whenComplete((Channel channel, Throwable failure) -> dialling.remove(address));
    }
}
