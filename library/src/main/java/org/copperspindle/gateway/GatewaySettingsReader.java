package org.copperspindle.gateway;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

import org.copperspindle.settings.SettingsException;
import org.copperspindle.settings.SettingsFile;
import org.copperspindle.settings.SettingsSection;

/**
 * Reads the settings of a node from INI: one section {@code [node]}.
 */
public final class GatewaySettingsReader {

    /** Name of the section; a settings file that has it describes a node. */
    public static final String SECTION = "node";

    private static final int MAX_TOLERATED_LOSSES = 4;
    private static final int MAX_RETRY_SLACK = 1_000_000;
    private static final int MAX_CORES = 1024;
    private static final int MAX_DESCRIPTORS = 1 << 20;

    private GatewaySettingsReader() {}

    /**
     * Reads settings.
     *
     * @param file the file
     * @return the settings
     * @throws SettingsException listing every problem found
     */
    public static GatewaySettings read(SettingsFile file) throws SettingsException {
        SettingsSection s = file.section(SECTION);
        String folder = s.getString("data-folder", "a folder on a disk", "");
        GatewaySettings settings = new GatewaySettings(
                s.getString("name", "a name unique in the deployment"),
                s.getString("failure-domain", "the failure domain of this VM"),
                s.getAddress("callers", Optional.empty()),
                s.getAddress("readiness", Optional.empty()),
                s.getAddress("control", Optional.empty()),
                s.getAddress("mesh", Optional.empty()),
                s.getOptionalAddress("mesh-bind"),
                s.getOptionalAddress("metrics"),
                s.getAddresses("seeds"),
                folder.isEmpty() ? Optional.empty() : Optional.of(Path.of(folder)),
                s.getBoolean("first-start", Optional.of(false)),
                (int) s.getLong("tolerated-losses", 0, MAX_TOLERATED_LOSSES, Optional.of(1L)),
                s.getDuration("revocation", Optional.of(Duration.ofSeconds(5))),
                new GatewaySettings.RetryLimits(
                        s.getDouble("retry-ratio", 0, 1, Optional.of(0.2)),
                        s.getDouble("retry-slack", 0, MAX_RETRY_SLACK, Optional.of(20.0)),
                        s.getDuration("retry-window", Optional.of(Duration.ofSeconds(10)))),
                s.getDuration("stop-grace", Optional.of(Duration.ofSeconds(8))),
                s.getDouble("cores", 0, MAX_CORES, Optional.of(1.0)),
                Set.copyOf(s.getList(
                        "failure-domains", "names of failure domains, separated by commas", Optional.of(List.of()))),
                memory(s),
                descriptors(s));
        s.finish();
        file.finish(List.of(SECTION));
        return settings;
    }

    private static OptionalInt descriptors(SettingsSection s) {
        int count = (int) s.getLong("descriptors", 0, MAX_DESCRIPTORS, Optional.of(0L));
        return count == 0 ? OptionalInt.empty() : OptionalInt.of(count);
    }

    private static OptionalLong memory(SettingsSection s) {
        long bytes = s.getBytes("memory", Optional.of(0L));
        return bytes == 0 ? OptionalLong.empty() : OptionalLong.of(bytes);
    }
}
