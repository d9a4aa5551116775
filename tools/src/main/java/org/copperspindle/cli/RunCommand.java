package org.copperspindle.cli;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.copperspindle.daemon.CopperspindleProcess;
import org.copperspindle.daemon.ProcessSettings;

/**
 * {@code copperspindle run}: one daemon with the roles that its settings name.
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
                        "Runs one daemon with the roles that its settings file names. SIGTERM stops it gracefully.")
                .epilog("Example: copperspindle run --settings entry-1.ini");
        parser.addArgument("--settings").required(true).metavar("FILE").help("settings of the process");
    }

    @Override
    public ExitCode run(Namespace arguments) throws Exception {
        ProcessSettings settings = ProcessSettings.load(Path.of(arguments.getString("settings")));
        CopperspindleProcess process = CopperspindleProcess.start(settings);
        System.out.println("started process=" + settings.id() + " wire=" + address(process.wireAddress())
                + process.callerAddress().map(a -> " callers=" + address(a)).orElse("")
                + process.operatorAddress().map(a -> " operators=" + address(a)).orElse(""));
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(process, stopped), "shutdown"));
        stopped.await();
        return ExitCode.SUCCESS;
    }

    private static String address(java.net.InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static void stop(CopperspindleProcess process, CountDownLatch stopped) {
        try {
            process.stop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        org.apache.logging.log4j.LogManager.shutdown();
        stopped.countDown();
    }
}
