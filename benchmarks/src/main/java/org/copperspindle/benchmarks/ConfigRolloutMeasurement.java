package org.copperspindle.benchmarks;

import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import com.sun.management.OperatingSystemMXBean;
import org.HdrHistogram.Histogram;
import org.copperspindle.config.ConfigText;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.daemon.CopperspindleProcess;
import org.copperspindle.daemon.MessageCatalog;
import org.copperspindle.daemon.ProcessSettings;
import org.copperspindle.time.SystemTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.WireTransport;

/**
 * Measures how changes come into force at stand-in members over real sockets, with one control voter and its log on
 * disk. Arguments: members, client accounts in the file, changes, {@code parse} or {@code skip}. Prints one line.
 */
public final class ConfigRolloutMeasurement {

    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
    private static final Duration LEASE = Duration.ofSeconds(5);
    private static final Duration IDLE = Duration.ofSeconds(10);
    private static final OperatingSystemMXBean SYSTEM =
            (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();

    private final AtomicLong parseNanos = new AtomicLong();
    private final List<StandInMember> members = new ArrayList<>();
    private final int accounts;
    private final OperatorClient operator;

    private ConfigRolloutMeasurement(int accounts, OperatorClient operator) {
        this.accounts = accounts;
        this.operator = operator;
    }

    /**
     * Runs the measurement.
     *
     * @param arguments members, accounts, changes, {@code parse} or {@code skip}
     * @throws Exception if a change is not accepted
     */
    public static void main(String[] arguments) throws Exception {
        int count = Integer.parseInt(arguments[0]);
        int changes = Integer.parseInt(arguments[2]);
        Path data = Files.createTempDirectory("config-rollout");
        CopperspindleProcess control = CopperspindleProcess.start(new ProcessSettings(
                "control-1",
                "north",
                ANY,
                List.of(),
                Optional.empty(),
                Optional.empty(),
                Optional.of(new ProcessSettings.ControlSettings(ANY, data, LEASE))));
        OperatorClient operator = new OperatorClient(control.operatorAddress().orElseThrow());
        ConfigRolloutMeasurement run = new ConfigRolloutMeasurement(Integer.parseInt(arguments[1]), operator);
        run.start(count, control.wireAddress(), arguments[3].equals("parse"));
        System.out.println(run.measure(changes));
        System.exit(0);
    }

    private void start(int count, InetSocketAddress control, boolean parses) {
        DecisionRing ring = new DecisionRing("members", DecisionRing.DEFAULT_SLOTS);
        SystemTimerService timers = new SystemTimerService("members-timer", ring);
        WireTransport transport = new WireTransport(
                2, MessageCatalog.registry(), new GreetingMessage(GreetingMessage.PROTOCOL, "process", "members", 1));
        for (int i = 0; i < count; i++) {
            members.add(new StandInMember(i, ring, timers, transport, control, parses, parseNanos));
        }
    }

    private String measure(int changes) throws Exception {
        operator.apply(0, text(0));
        awaitAll(1);
        Histogram micros = new Histogram(3);
        for (int i = 1; i <= changes / 10; i++) {
            operator.apply(i, text(i));
        }
        long base = changes / 10 + 1;
        long bytes = bytes();
        long cpu = SYSTEM.getProcessCpuTime();
        parseNanos.set(0);
        long start = System.nanoTime();
        for (long v = base; v < base + changes; v++) {
            long sent = System.nanoTime();
            operator.apply(v, text(v));
            micros.recordValue((System.nanoTime() - sent) / 1000);
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        double cpuMicros = (SYSTEM.getProcessCpuTime() - cpu) / 1e3;
        long moved = bytes() - bytes;
        double perMember = (double) changes * members.size();
        double[] idle = idle();
        return String.format(
                "members=%d accounts=%d text_bytes=%d deflated_bytes=%d changes=%d changes_per_s=%.1f in_force_ms_p50=%.1f"
                        + " in_force_ms_p99=%.1f bytes_per_member_change=%.0f cpu_us_per_member_change=%.1f"
                        + " parse_us_per_member_change=%.1f idle_bytes_per_member_s=%.0f idle_cpu_us_per_member_s=%.1f",
                members.size(),
                accounts,
                text(0).length,
                ConfigText.deflate(text(0)).length,
                changes,
                changes / seconds,
                micros.getValueAtPercentile(50) / 1e3,
                micros.getValueAtPercentile(99) / 1e3,
                (moved - idle[0] * seconds * members.size()) / perMember,
                cpuMicros / perMember,
                parseNanos.get() / 1e3 / perMember,
                idle[0],
                idle[1]);
    }

    /** Returns bytes and processor microseconds for each member and second, control's side included. */
    private double[] idle() {
        long bytes = bytes();
        long cpu = SYSTEM.getProcessCpuTime();
        CompletableFuture.runAsync(() -> {}, CompletableFuture.delayedExecutor(IDLE.toMillis(), TimeUnit.MILLISECONDS))
                .join();
        double perMember = (double) IDLE.toSeconds() * members.size();
        return new double[] {(bytes() - bytes) / perMember, (SYSTEM.getProcessCpuTime() - cpu) / 1e3 / perMember};
    }

    private void awaitAll(long version) {
        while (members.stream().anyMatch(m -> m.version() < version)) {
            LockSupport.parkNanos(1_000_000);
        }
    }

    private long bytes() {
        return members.stream().mapToLong(StandInMember::bytes).sum();
    }

    /** One account's rate differs from version to version, as an operator's change would. */
    private byte[] text(long change) {
        StringBuilder text = new StringBuilder("[deployment]\nname = rollout\nfailure-domains = north\n"
                + "[pool gallery]\nkind = service\nsize = 4\n[service install]\npool = gallery\n");
        for (int i = 0; i < accounts; i++) {
            byte[] digest = ConfigText.digest(ConfigText.encodeUtf8("key " + i));
            text.append("[account account-").append(i).append("]\nkey-sha256 = ");
            text.append(java.util.HexFormat.of().formatHex(digest)).append("\nrate-per-second = ");
            text.append(i == change % accounts ? 100 + change : 50).append("\npipelines = install\n");
        }
        return ConfigText.encodeUtf8(text.toString());
    }
}
