package org.copperspindle.cli;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.copperspindle.emulator.ExecutionLedger;
import org.copperspindle.emulator.FakeKind;
import org.copperspindle.emulator.FakeUpstream;

/**
 * {@code copperspindle emulate}: one fake upstream as a process, for trying a deployment out.
 */
final class EmulateCommand implements Command {

    @Override
    public String name() {
        return "emulate";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("run one fake upstream on loopback")
                .description("Runs one fake upstream on loopback, for trying a deployment out without model servers.")
                .epilog("Example: copperspindle emulate --kind engine --port 9001 --service-ms 20");
        parser.addArgument("--kind")
                .required(true)
                .choices("encoder", "retriever", "reranker", "engine", "service")
                .help("interface that it answers by");
        parser.addArgument("--port").type(Integer.class).setDefault(0).help("loopback port, 0 for a free one");
        parser.addArgument("--service-ms").type(Integer.class).setDefault(20).help("time that one call takes");
    }

    @Override
    public ExitCode run(Namespace arguments) throws Exception {
        FakeKind kind = FakeKind.valueOf(arguments.getString("kind").toUpperCase(Locale.ROOT));
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", arguments.getInt("port"));
        Duration service = Duration.ofMillis(arguments.getInt("service_ms"));
        FakeUpstream fake = new FakeUpstream(address, kind, service, new ExecutionLedger());
        System.out.println(
                "started kind=" + kind + " address=127.0.0.1:" + fake.address().getPort());
        new CountDownLatch(1).await();
        return ExitCode.SUCCESS;
    }
}
