package org.copperspindle.soak;

import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * One node as a process of its own, with a proxy before its ports for other nodes.
 */
final class NodeProcess implements AutoCloseable {

    /** Longest time from SIGTERM to the end, as the settings of the node state it, and some more for a busy machine. */
    private static final long STOP_SECONDS = 15;

    private static final int CONNECT_MILLIS = 200;

    private final String name;
    private final SoakSettings settings;
    private final NodePorts ports;
    private final List<NodePorts> all;
    private final boolean durable;
    private final LinkProxy mesh;
    private final LinkProxy member;
    private Process process;
    private int starts;
    private boolean wanted;
    private boolean endedByItself;

    NodeProcess(int number, SoakSettings settings, List<NodePorts> all, boolean durable) throws IOException {
        this.name = "node-" + number;
        this.settings = settings;
        this.ports = all.get(number);
        this.all = all;
        this.durable = durable;
        this.mesh = new LinkProxy(ports.socketAddress(ports.mesh()), ports.socketAddress(ports.bind()));
        this.member = new LinkProxy(ports.socketAddress(ports.mesh() + 1), ports.socketAddress(ports.bind() + 1));
    }

    String name() {
        return name;
    }

    int number() {
        return ports.domain();
    }

    boolean isDurable() {
        return durable;
    }

    /** Returns the address by which other nodes know it. */
    String meshAddress() {
        return ports.address(ports.mesh());
    }

    synchronized void start() throws IOException {
        noteEnd();
        Path file = settings.folder().resolve(name + ".ini");
        Files.writeString(file, ini(starts == 0), StandardCharsets.UTF_8);
        List<String> command = new ArrayList<>(settings.launcher());
        command.addAll(List.of("run", "--settings", file.toString()));
        File log = settings.folder().resolve(name + ".log").toFile();
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                .start();
        starts++;
        wanted = true;
    }

    /** Kills it, and doesn't wait for its end. */
    synchronized void destroy() {
        noteEnd();
        wanted = false;
        process.destroyForcibly();
    }

    synchronized void kill() throws InterruptedException {
        noteEnd();
        wanted = false;
        process.destroyForcibly().waitFor();
    }

    /** Sends SIGTERM and waits; returns false if the process had to be killed. */
    boolean stop() throws InterruptedException {
        Process stopping;
        synchronized (this) {
            noteEnd();
            wanted = false;
            stopping = process;
            stopping.destroy();
        }
        if (stopping.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
            return true;
        }
        stopping.destroyForcibly().waitFor();
        return false;
    }

    /** Sends a signal that only the kill command can send. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    void loseDisk() throws IOException {
        Path data = data();
        if (!Files.exists(data)) {
            return;
        }
        List<Path> files;
        try (Stream<Path> walk = Files.walk(data)) {
            files = walk.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path path : files) {
            Files.delete(path);
        }
    }

    void links(LinkMode mode) {
        mesh.mode(mode);
        member.mode(mode);
    }

    void resetLinks() {
        mesh.reset();
        member.reset();
    }

    /** Says whether callers can connect to it. */
    boolean isListening() {
        try (Socket socket = new Socket()) {
            socket.connect(ports.socketAddress(ports.callers()), CONNECT_MILLIS);
            return true;
        } catch (IOException e) {
            // It is not there, or not yet.
            return false;
        }
    }

    synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Says whether a process of this node ever ended though nobody ended it. */
    synchronized boolean endedByItself() {
        noteEnd();
        return endedByItself;
    }

    /** Before each step that would hide it: a node that was started again looks as if it had never ended. */
    private void noteEnd() {
        endedByItself |= wanted && process != null && !process.isAlive();
    }

    @Override
    public void close() throws IOException {
        synchronized (this) {
            wanted = false;
            if (process != null) {
                process.destroyForcibly();
            }
        }
        mesh.close();
        member.close();
    }

    private Path data() {
        return settings.folder().resolve(name + "-data");
    }

    private String ini(boolean first) throws IOException {
        if (durable) {
            Files.createDirectories(data());
        }
        String seeds =
                String.join(", ", all.stream().map(p -> p.address(p.mesh())).toList());
        return "[node]\nname = " + name + "\nfailure-domain = d" + ports.domain() + "\ncallers = "
                + ports.address(ports.callers()) + "\nreadiness = " + ports.address(ports.readiness()) + "\ncontrol = "
                + ports.address(ports.control()) + "\nmesh = " + ports.address(ports.mesh()) + "\nmesh-bind = "
                + ports.address(ports.bind()) + "\nseeds = " + seeds + "\nfirst-start = " + first
                + "\ntolerated-losses = 1\nrevocation = " + SoakOperator.REVOCATION.toMillis()
                + "ms\nretry-slack = 50\nstop-grace = 6s\n" + (durable ? "data-folder = " + data() + "\n" : "");
    }
}
