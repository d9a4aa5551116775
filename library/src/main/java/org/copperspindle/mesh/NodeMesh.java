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
import java.util.stream.Stream;

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
 * Connects this node to all other nodes. Every node reports the nodes that it is connected to, so a node that reaches
 * one seed discovers the rest, even after its initial seeds are gone. Must be used on the network thread.
 */
public final class NodeMesh implements PeerListener {

    private static final Logger LOGGER = LogManager.getLogger(NodeMesh.class);

    /** How long an unreachable address that no connected node reports is still dialled, in nanoseconds. */
    private static final long UNREACHABLE_EXPIRY_NANOS = 20_000_000_000L;

    /**
     * Delay before lost nodes are announced, in nanoseconds. Nodes that are lost together disconnect within about
     * this time and are announced in one message.
     */
    private static final long LOSS_BATCH_NANOS = 50_000_000L;

    private final MeshSettings settings;
    private final WireTransport transport;
    private final TimerService timers;
    private final Supplier<NodeHelloMessage> hello;
    private final String self;
    private final DeferredTask lossAnnouncement;
    private final Map<String, MeshNode> nodes = new LinkedHashMap<>();
    private final Map<String, Long> dialTargets = new LinkedHashMap<>();
    private final Set<String> pendingDials = new HashSet<>();
    private final List<MeshListener> listeners = new ArrayList<>();
    private Set<String> seeds = Set.of();

    /**
     * Creates the mesh.
     *
     * @param settings  settings
     * @param transport transport whose greeting names this node by {@link MeshSettings#listen}
     * @param timers    timers of the network thread
     * @param hello     supplies the current hello of this node
     */
    public NodeMesh(
            MeshSettings settings, WireTransport transport, TimerService timers, Supplier<NodeHelloMessage> hello) {
        this.settings = settings;
        this.transport = transport;
        this.timers = timers;
        this.hello = hello;
        this.self = NumericAddress.format(settings.listen());
        this.lossAnnouncement = new DeferredTask(timers, this::announce);
        reseed(settings.seeds());
    }

    /**
     * Adds a listener. Must be called before {@link #start}.
     *
     * @param listener receives events of all nodes and all messages
     */
    public void subscribe(MeshListener listener) {
        listeners.add(listener);
    }

    /** Starts listening and connecting. */
    public void start() {
        transport.listen(settings.bind(), this);
        maintain();
    }

    /**
     * Replaces the seeds after a change of settings.
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
     * Returns the incarnation of this node's process.
     *
     * @return the incarnation that other nodes see
     */
    public long incarnation() {
        return transport.ownGreeting().incarnation();
    }

    /**
     * Returns the present state of this node.
     *
     * @return the hello that other nodes receive
     */
    public NodeHelloMessage ownHello() {
        return hello.get();
    }

    /**
     * Returns the other nodes that are connected.
     *
     * @return the nodes, in no particular order
     */
    public List<MeshNode> nodes() {
        return nodes.values().stream().filter(MeshNode::isUp).toList();
    }

    /**
     * Counts the other nodes that are connected.
     *
     * @return the number of nodes that {@link #nodes} lists
     */
    public int count() {
        return (int) nodes.values().stream().filter(MeshNode::isUp).count();
    }

    /**
     * Lists the other nodes that accept requests of callers.
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
     * Returns whether every node is connected that this node knows of: its seeds, and those that other nodes report.
     *
     * @return false while a node may still come up that others know
     */
    public boolean isComplete() {
        return Stream.concat(seeds.stream(), dialTargets.keySet().stream())
                .allMatch(address -> find(address).isPresent());
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
     * Sends a message to every connected node, and writes it before what else the network thread has to do in this turn. For
     * what is acknowledged to others once it has been sent.
     *
     * @param message the message
     */
    public void broadcastAtOnce(WireMessage message) {
        nodes().forEach(node -> {
            node.send(message);
            node.flush();
        });
    }

    /**
     * Sends changes of this node's state to all nodes immediately. Nothing is sent while nothing changes: liveness is
     * shown by the heartbeats of the connections, which are a few bytes and are omitted when other messages are sent.
     */
    public void announce() {
        NodeHelloMessage own = hello.get();
        NodeListMessage list = neighbours();
        nodes().forEach(node -> {
            node.sendIfChanged(own);
            node.sendIfChanged(list);
        });
    }

    @Override
    public boolean onOpen(Peer peer) {
        String address = peer.greeting().processId();
        removeFormer(address, peer.greeting().incarnation());
        MeshNode node = nodes.computeIfAbsent(address, MeshNode::new);
        if (address.equals(self) || !node.addPeer(peer)) {
            peer.close();
            return true;
        }
        node.sendIfChanged(hello.get());
        node.sendIfChanged(neighbours());
        return true;
    }

    @Override
    public boolean onMessage(Peer peer, WireMessage message) {
        MeshNode node = nodes.get(peer.greeting().processId());
        if (node == null || peer.greeting().incarnation() != node.incarnation()) {
            return true;
        }
        if (message instanceof NodeHelloMessage received) {
            receiveHello(node, received);
        } else if (message instanceof NodeListMessage list) {
            node.neighbours(list.nodes());
            list.nodes().forEach(this::addDialTarget);
        } else if (node.isUp()) {
            listeners.forEach(listener -> listener.onMessage(node, message));
        }
        return true;
    }

    @Override
    public boolean onClose(Peer peer) {
        MeshNode node = nodes.get(peer.greeting().processId());
        if (node == null || !node.removePeer(peer)) {
            return true;
        }
        if (node.isConnected()) {
            if (node.isUp()) {
                listeners.forEach(listener -> listener.onConnectionLost(node));
            }
            return true;
        }
        remove(node);
        return true;
    }

    /** Removes a node whose process was replaced by a later one before all of its connections ended. */
    private void removeFormer(String address, long incarnation) {
        MeshNode known = nodes.get(address);
        if (known != null && known.isUp() && known.incarnation() < incarnation) {
            known.closePeers();
            remove(known);
        }
    }

    private void remove(MeshNode node) {
        nodes.remove(node.address());
        dialTargets.put(node.address(), timers.nanoTime());
        if (node.hello() != null) {
            // Other nodes consider the lost node alive, and leave work with it, for as long as any node reports a
            // connection to it.
            lossAnnouncement.schedule(LOSS_BATCH_NANOS);
            LOGGER.info("event=node-lost node={} incarnation={} nodes={}", node.address(), node.incarnation(), count());
            listeners.forEach(listener -> listener.onNodeDown(node));
        }
    }

    private void receiveHello(MeshNode node, NodeHelloMessage received) {
        boolean wasUp = node.isUp();
        node.hello(received);
        dialTargets.remove(node.address());
        dialLeader(received.leader());
        if (!wasUp) {
            LOGGER.info(
                    "event=node-found node={} incarnation={} domain={} durable={} version={} nodes={}",
                    node.address(),
                    node.incarnation(),
                    received.failureDomain(),
                    received.durable(),
                    received.version(),
                    count());
            listeners.forEach(listener -> listener.onNodeUp(node));
        }
        listeners.forEach(listener -> listener.onHello(node));
    }

    /**
     * Connects to the leader as soon as it is known. Otherwise it would be dialled with all other nodes at the next
     * maintenance interval, and a node that has just started serves no requests before it has a lease from the
     * leader.
     */
    private void dialLeader(String leader) {
        boolean reached = leader.isEmpty() || leader.equals(self) || isConnected(leader);
        if (!reached && !pendingDials.contains(leader)) {
            addDialTarget(leader);
            dial(leader);
        }
    }

    private void addDialTarget(String address) {
        if (!address.equals(self) && !nodes.containsKey(address)) {
            dialTargets.putIfAbsent(address, timers.nanoTime());
        }
    }

    private void maintain() {
        announce();
        dialMissing();
        timers.schedule(MeshSettings.MAINTENANCE_INTERVAL.toNanos(), this::maintain);
    }

    private void dialMissing() {
        long now = timers.nanoTime();
        dialTargets
                .entrySet()
                .removeIf(each -> now - each.getValue() > UNREACHABLE_EXPIRY_NANOS && !isReported(each.getKey()));
        Set<String> missing = new HashSet<>(seeds);
        missing.addAll(dialTargets.keySet());
        missing.removeAll(pendingDials);
        missing.removeIf(this::isConnected);
        missing.forEach(this::dial);
    }

    /** Returns whether a connected node reports a connection to an address. */
    private boolean isReported(String address) {
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
        pendingDials.add(address);
        transport
                .connect(NumericAddress.parse(address), this)
                .whenComplete((Channel channel, Throwable failure) -> pendingDials.remove(address));
    }
}
