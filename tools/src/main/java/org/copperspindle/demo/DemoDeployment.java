package org.copperspindle.demo;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.copperspindle.config.Deployment;
import org.copperspindle.config.PoolSettings;
import org.copperspindle.daemon.CopperspindleProcess;
import org.copperspindle.daemon.ProcessSettings;
import org.copperspindle.emulator.ExecutionLedger;
import org.copperspindle.emulator.FakeKind;
import org.copperspindle.emulator.FakeSettings;
import org.copperspindle.emulator.FakeUpstream;
import org.copperspindle.loopback.LoopbackHost;
import org.copperspindle.settings.SettingsException;
import org.copperspindle.settings.SettingsFile;
import org.copperspindle.wire.NumericAddress;

/**
 * A complete deployment in this process: control members, entries, and an agent with a fake for each upstream. Each
 * component is started from settings text, as a separate daemon would be.
 */
final class DemoDeployment {

    static final Duration FIRST_TOKEN = Duration.ofMillis(40);
    static final Duration PER_TOKEN = Duration.ofMillis(6);

    private static final String LOOPBACK = "127.0.0.1";
    private static final String ANY_PORT = LOOPBACK + ":0";
    private static final int CONTROLS = 3;
    private static final int ENTRIES = 2;
    private static final int SCALE_DIVISOR = 3;
    private static final int MIN_POOL_SIZE = 2;
    private static final int MAX_TOKENS = 256;
    private static final int MAX_CONCURRENCY = 16;

    private final Deployment deployment;
    private final ExecutionLedger ledger = new ExecutionLedger();
    private final List<CopperspindleProcess> controls = new ArrayList<>();
    private final List<CopperspindleProcess> entries = new ArrayList<>();
    private final List<DemoUpstream> upstreams = new ArrayList<>();
    private final List<DemoUpstream> stopped = new ArrayList<>();

    DemoDeployment(Deployment deployment, Path data) throws IOException, SettingsException {
        this.deployment = deployment;
        List<String> addresses = reserveAddresses(CONTROLS);
        String members = String.join(", ", addresses);
        for (int i = 0; i < CONTROLS; i++) {
            controls.add(start(
                    "control-" + (i + 1),
                    i,
                    addresses.get(i),
                    members,
                    "[control]\nlisten = 127.0.0.1:0\nlease = 2s\nvoters = " + voters(addresses) + "\ndata-folder = "
                            + data.resolve("control-" + (i + 1))));
        }
        for (PoolSettings pool : deployment.pools().values()) {
            for (int i = 0; i < scaledSize(pool); i++) {
                upstreams.add(startUpstream(pool, i, members));
            }
        }
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(start(
                    "entry-" + (i + 1), i, ANY_PORT, members, "[entry]\nlisten = 127.0.0.1:0\nstop-delay = 300ms"));
        }
    }

    /** Returns the number of upstreams to start for a pool: a third of its size, but at least two if it has two. */
    static int scaledSize(PoolSettings pool) {
        int third = (pool.size() + SCALE_DIVISOR - 1) / SCALE_DIVISOR;
        return Math.min(pool.size(), Math.max(MIN_POOL_SIZE, third));
    }

    String summary() {
        return controls.size() + " control member" + (controls.size() == 1 ? "" : "s") + ", " + entries.size()
                + " entries, " + upstreams.size() + " agents, each with a fake upstream";
    }

    ExecutionLedger ledger() {
        return ledger;
    }

    List<DemoUpstream> upstreams() {
        return upstreams;
    }

    List<InetSocketAddress> entryAddresses() {
        return entries.stream().map(e -> e.callerAddress().orElseThrow()).toList();
    }

    List<InetSocketAddress> operatorAddresses() {
        return controls.stream().map(c -> c.operatorAddress().orElseThrow()).toList();
    }

    boolean ready() {
        return entries.stream().allMatch(CopperspindleProcess::ready);
    }

    void drain(DemoUpstream upstream) throws InterruptedException {
        stopped.add(upstream);
        upstream.drain();
    }

    void kill(DemoUpstream upstream) {
        stopped.add(upstream);
        upstream.kill();
    }

    /** Stops all running components gracefully: entries first, so that none loses its agents or control members. */
    void stop() throws InterruptedException {
        for (CopperspindleProcess entry : entries) {
            entry.stop();
        }
        for (DemoUpstream upstream : upstreams) {
            if (!stopped.contains(upstream)) {
                upstream.agent().stop();
                upstream.fake().close();
            }
        }
        for (CopperspindleProcess control : controls) {
            control.stop();
        }
    }

    private DemoUpstream startUpstream(PoolSettings pool, int index, String members) throws SettingsException {
        String id = pool.name() + "-" + (index + 1);
        FakeUpstream fake = new FakeUpstream(fakeSettings(pool), ledger);
        String role = "[agent]\nupstream-id = " + id + "\npool = " + pool.name() + "\nupstream = " + LOOPBACK + ":"
                + fake.address().getPort()
                + (pool.models().isEmpty() ? "" : "\nmodels = " + String.join(", ", pool.models()));
        return new DemoUpstream(id, pool, fake, start("agent-" + id, index, ANY_PORT, members, role));
    }

    private static FakeSettings fakeSettings(PoolSettings pool) {
        Duration service = switch (pool.kind()) {
            case ENCODER -> Duration.ofMillis(8);
            case RETRIEVER -> Duration.ofMillis(6);
            case RERANKER -> Duration.ofMillis(15);
            case ENGINE -> FIRST_TOKEN;
            case SERVICE -> Duration.ofMillis(12);
        };
        return new FakeSettings(
                FakeKind.valueOf(pool.kind().name()),
                new InetSocketAddress(LOOPBACK, 0),
                Math.min(pool.concurrency(), MAX_CONCURRENCY),
                service,
                PER_TOKEN,
                MAX_TOKENS,
                pool.reportsLoad());
    }

    private CopperspindleProcess start(String id, int index, String listen, String members, String role)
            throws SettingsException {
        List<String> domains = deployment.failureDomains();
        String text = "[process]\nid = " + id + "\nfailure-domain = " + domains.get(index % domains.size())
                + "\nlisten = " + listen + "\ncontrols = " + members + "\nrenew = 200ms\n\n" + role
                + "\n";
        return CopperspindleProcess.start(ProcessSettings.read(SettingsFile.parse(id, text)));
    }

    /** Reserves addresses in advance, since the settings of each member name all members. */
    private static List<String> reserveAddresses(int count) throws IOException {
        LoopbackHost host = LoopbackHost.open();
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            addresses.add(NumericAddress.format(host.nextAddress()));
        }
        return addresses;
    }

    private static String voters(List<String> addresses) {
        List<String> voters = new ArrayList<>();
        for (String address : addresses) {
            voters.add("control-" + (voters.size() + 1) + "@" + address);
        }
        return String.join(", ", voters);
    }
}
