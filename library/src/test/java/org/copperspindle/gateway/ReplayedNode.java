package org.copperspindle.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;

import org.copperspindle.backpressure.SendPermits;
import org.copperspindle.backpressure.UpstreamBackoffs;
import org.copperspindle.backpressure.UpstreamLimits;
import org.copperspindle.coldstart.SenderSetAdmission;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.engineload.EngineLoads;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.mesh.LinkedPeer;
import org.copperspindle.mesh.MeshSettings;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.wire.WireTransport;

/**
 * A node that chooses engines of the pool {@code p} in virtual time. The node with port 1 is the load owner.
 */
final class ReplayedNode {

    private static final long LINK_NANOS = 1_400_000L;

    private final String address;
    private final VirtualTimerService time;
    private final NodeMesh mesh;
    private final EngineLoads loads;
    private final UpstreamTracker tracker = new UpstreamTracker();
    private final SendPermits permits;
    private final UpstreamChooser chooser;

    ReplayedNode(String address, WireTransport transport, VirtualTimerService time, UpstreamDirectory directory) {
        this.address = address;
        this.time = time;
        InetSocketAddress listen =
                new InetSocketAddress("127.0.0.1", Integer.parseInt(address.substring(address.indexOf(':') + 1)));
        MeshSettings settings = new MeshSettings(listen, listen, "127.0.0.1:9", "d", false, List.of());
        LogRateLimiter log = new LogRateLimiter(0, 0);
        this.mesh = new NodeMesh(settings, transport, time, ReplayedNode::hello);
        this.loads = new EngineLoads(mesh, time, directory, pool -> "127.0.0.1:1", "p"::equals, log);
        mesh.subscribe(loads);
        this.permits = SingleNodePermits.of(new UpstreamLimits(directory, log), time);
        this.chooser = new UpstreamChooser(
                directory,
                tracker,
                new SenderSetAdmission(address, List::of, () -> false),
                permits,
                new UpstreamBackoffs(directory, log),
                new Random(7),
                "d");
    }

    // Connects this node, the load owner, with another one.
    void link(ReplayedNode other) {
        link(other, new TrafficMeter());
    }

    // The same, and counts the messages in both directions.
    void link(ReplayedNode other, TrafficMeter traffic) {
        LinkedPeer atOwner = new LinkedPeer(other.address, other.mesh, time, LINK_NANOS);
        LinkedPeer atOther = new LinkedPeer(address, mesh, time, LINK_NANOS);
        atOwner.reverse(atOther);
        atOwner.observe(message -> traffic.add(message, time.nanoTime()));
        atOther.observe(message -> traffic.add(message, time.nanoTime()));
        atOther.reverse(atOwner);
        mesh.onOpen(atOwner);
        other.mesh.onOpen(atOther);
        mesh.onMessage(atOwner, hello());
        other.mesh.onMessage(atOther, hello());
    }

    EngineLoads loads() {
        return loads;
    }

    UpstreamTracker tracker() {
        return tracker;
    }

    UpstreamChooser chooser() {
        return chooser;
    }

    SendPermits permits() {
        return permits;
    }

    private static NodeHelloMessage hello() {
        return new NodeHelloMessage("127.0.0.1:9", "d", false, true, false, 0, "", 0, 0);
    }
}
