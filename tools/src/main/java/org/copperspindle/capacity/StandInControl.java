package org.copperspindle.capacity;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import org.copperspindle.daemon.CopperspindleProcess;
import org.copperspindle.daemon.ProcessSettings;
import org.copperspindle.loopback.LoopbackHost;
import org.copperspindle.settings.SettingsException;
import org.copperspindle.settings.SettingsFile;
import org.copperspindle.wire.NumericAddress;

/**
 * A single control member for measurements, with a temporary data folder.
 */
final class StandInControl implements AutoCloseable {

    /** Process id, part of the names of its threads. */
    static final String ID = "measured-control";

    private final Path data;
    private final CopperspindleProcess process;

    StandInControl(String lease) throws IOException, SettingsException {
        this.data = Files.createTempDirectory("copperspindle-measure");
        String address = NumericAddress.format(LoopbackHost.open().nextAddress());
        String settings = String.join(
                "\n",
                "[process]",
                "id = " + ID,
                "failure-domain = north",
                "listen = " + address,
                "[control]",
                "listen = 127.0.0.1:0",
                "voters = " + ID + "@" + address,
                "data-folder = " + data,
                "lease = " + lease);
        this.process = CopperspindleProcess.start(ProcessSettings.read(SettingsFile.parse("measure", settings)));
    }

    List<InetSocketAddress> wireAddresses() {
        return List.of(process.wireAddress());
    }

    InetSocketAddress operatorAddress() {
        return process.operatorAddress().orElseThrow();
    }

    @Override
    public void close() {
        process.kill();
        try (Stream<Path> files = Files.walk(data)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // A temporary folder that is left over does not affect the measurement.
            data.toFile().deleteOnExit();
        }
    }
}
