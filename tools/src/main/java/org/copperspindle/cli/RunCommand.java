package org.copperspindle.cli;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.apache.logging.log4j.LogManager;
import org.copperspindle.daemon.CopperspindleProcess;
import org.copperspindle.daemon.ProcessSettings;
import org.copperspindle.dialect.StandardDialects;
import org.copperspindle.gateway.GatewayNode;
import org.copperspindle.gateway.GatewaySettings;
import org.copperspindle.gateway.GatewaySettingsReader;
import org.copperspindle.settings.SettingsFile;

/**
 * {@code copperspindle run}: runs one daemon with the roles that its settings file configures.
 */
final class RunCommand implements Command {

    @Override
    public String name() {
        return "run";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("run one daemon")
                .description(
                        "Runs one daemon with the roles that its settings file configures. SIGTERM stops it gracefully.")
                .epilog("Example: copperspindle run --settings entry-1.ini");
        parser.addArgument("--settings").required(true).metavar("FILE").help("settings file of the process");
    }

    @Override
    public ExitCode run(Namespace arguments) throws Exception {
        Path path = Path.of(arguments.getString("settings"));
        SettingsFile file = SettingsFile.load(path);
        if (file.has(GatewaySettingsReader.SECTION)) {
            runNode(GatewaySettingsReader.read(file));
        } else {
            runProcess(ProcessSettings.read(file));
        }
        return ExitCode.SUCCESS;
    }

    private static void runProcess(ProcessSettings settings) throws Exception {
        CopperspindleProcess process = CopperspindleProcess.start(settings);
        System.out.println("started process=" + settings.id() + " wire=" + address(process.wireAddress())
                + process.callerAddress().map(a -> " callers=" + address(a)).orElse("")
                + process.operatorAddress().map(a -> " operators=" + address(a)).orElse(""));
        stopOnShutdown(process::stop);
    }

    private static void runNode(GatewaySettings settings) throws Exception {
        GatewayNode node = GatewayNode.start(settings, new StandardDialects());
        System.out.println("started node=" + settings.name() + " callers=" + address(settings.callers()) + " operators="
                + address(settings.control()));
        stopOnShutdown(node::stop);
    }

    private static String address(java.net.InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static void stopOnShutdown(Stoppable daemon) throws InterruptedException {
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon, stopped), "shutdown"));
        stopped.await();
    }

    private static void stop(Stoppable daemon, CountDownLatch stopped) {
        try {
            daemon.stop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LogManager.shutdown();
        stopped.countDown();
    }

    /** A daemon that finishes the work in progress before it stops. */
    @FunctionalInterface
    private interface Stoppable {
        /**
         * Stops the daemon gracefully.
         *
         * @throws InterruptedException if the wait is interrupted
         */
        void stop() throws InterruptedException;
    }
}
