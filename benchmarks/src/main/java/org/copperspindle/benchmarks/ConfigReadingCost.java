package org.copperspindle.benchmarks;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.HexFormat;

import org.copperspindle.audit.ConfigDifference;
import org.copperspindle.config.ConfigPatch;
import org.copperspindle.config.ConfigText;
import org.copperspindle.config.DeploymentLoader;
import org.copperspindle.settings.SettingsFile;

/**
 * Processor time of each step that a text of the configuration goes through, on one thread. Arguments: client accounts,
 * rounds. Prints one line for each step, in microseconds a round, the second half of the rounds counted.
 */
public final class ConfigReadingCost {

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private ConfigReadingCost() {}

    /**
     * Runs the measurement.
     *
     * @param arguments accounts, rounds
     * @throws Exception if a step fails
     */
    public static void main(String[] arguments) throws Exception {
        int accounts = Integer.parseInt(arguments[0]);
        int rounds = Integer.parseInt(arguments[1]);
        byte[] before = text(accounts, 50);
        byte[] after = text(accounts, 60);
        String string = ConfigPatch.decodeUtf8(after);
        ConfigPatch patch = ConfigPatch.between(1, before, 2, after);
        byte[] deflated = ConfigText.deflate(after);
        System.out.printf("text_bytes=%d deflated_bytes=%d%n", after.length, deflated.length);
        measure("make-patch", rounds, () -> ConfigPatch.between(1, before, 2, after));
        measure("apply-patch", rounds, () -> patch.apply(before));
        measure("digest", rounds, () -> ConfigText.digest(after));
        measure("deflate", rounds, () -> ConfigText.deflate(after));
        measure("inflate", rounds, () -> ConfigText.inflate(deflated));
        measure("read-ini", rounds, () -> SettingsFile.parse("text", string));
        measure("read-and-check", rounds, () -> DeploymentLoader.parse("text", string));
        measure("audit-difference", rounds, () -> ConfigDifference.between(ConfigPatch.decodeUtf8(before), string));
    }

    private static void measure(String step, int rounds, Step work) throws Exception {
        long start = 0;
        for (int i = 0; i < rounds; i++) {
            if (i == rounds / 2) {
                start = THREADS.getCurrentThreadCpuTime();
            }
            work.run();
        }
        double micros = (THREADS.getCurrentThreadCpuTime() - start) / 1e3;
        System.out.printf("step=%s cpu_us=%.0f%n", step, micros / (rounds - rounds / 2));
    }

    private static byte[] text(int accounts, int rate) {
        StringBuilder text = new StringBuilder("[deployment]\nname = rollout\nfailure-domains = north\n"
                + "[pool gallery]\nkind = service\nsize = 4\n[service install]\npool = gallery\n");
        for (int i = 0; i < accounts; i++) {
            byte[] digest = ConfigText.digest(ConfigText.encodeUtf8("key " + i));
            text.append("[account account-").append(i).append("]\nkey-sha256 = ");
            text.append(HexFormat.of().formatHex(digest)).append("\nrate-per-second = ");
            text.append(i == accounts / 2 ? rate : 50).append("\npipelines = install\n");
        }
        return ConfigText.encodeUtf8(text.toString());
    }

    /** One step of the path. */
    private interface Step {
        void run() throws Exception;
    }
}
