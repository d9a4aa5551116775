package org.copperspindle.demo;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.copperspindle.cli.Copperspindle;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * One daemon as an operating system process of its own, started from its settings file as an operator would.
 */
final class DaemonProcess {

    private static final long BOUND_SECONDS = 30;

    private final String id;
    private final Path settings;
    private final Path output;
    private Process process;

    DaemonProcess(Path folder, String id, String settingsText) throws IOException {
        this.id = id;
        this.settings = Files.writeString(folder.resolve(id + ".ini"), settingsText);
        this.output = folder.resolve(id + ".out");
    }

    String id() {
        return id;
    }

    void start() throws IOException {
        List<String> command = List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:-UsePerfData",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx96m",
                "-cp",
                System.getProperty("java.class.path"),
                Copperspindle.class.getName(),
                "run",
                "--settings",
                settings.toString());
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(new File(output.toString())))
                .start();
    }

    /** Sends SIGTERM and waits for the end. */
    void terminate() throws InterruptedException {
        process.destroy();
        assertThat(process.waitFor(BOUND_SECONDS, TimeUnit.SECONDS))
                .as("%s ends after SIGTERM; %s", id, this)
                .isTrue();
    }

    /** Sends SIGKILL and waits for the end. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        assertThat(process.waitFor(BOUND_SECONDS, TimeUnit.SECONDS)).as(id).isTrue();
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    @Override
    public String toString() {
        try {
            return id + " wrote: " + Files.readString(output, StandardCharsets.UTF_8);
        } catch (IOException e) {
            return id + " wrote nothing";
        }
    }
}
