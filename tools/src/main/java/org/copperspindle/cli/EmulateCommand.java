package org.copperspindle.cli;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.copperspindle.emulator.ExecutionLedger;
import org.copperspindle.emulator.FakeFaults;
import org.copperspindle.emulator.FakeKind;
import org.copperspindle.emulator.FakeSettings;
import org.copperspindle.emulator.FakeUpstream;
import org.copperspindle.emulator.ResponseFault;

/**
 * {@code copperspindle emulate}: runs one fake upstream as a process, to try out a deployment without model servers.
 */
final class EmulateCommand implements Command {

    private static final String LOOPBACK = "127.0.0.1";

    @Override
    public String name() {
        return "emulate";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("run one fake upstream on loopback")
                .description("Runs one fake upstream on loopback, to try out a deployment without model servers."
                        + " The injected faults can be replaced at run time: PUT /emulator/faults with JSON such as"
                        + " {\"delayMillis\":200}; the fields are delayMillis, errorStatus, stall, draining, response.")
                .epilog("Example: copperspindle emulate --kind engine --port 9001 --service-ms 20 --per-token-ms 5");
        parser.addArgument("--kind")
                .required(true)
                .choices("encoder", "retriever", "reranker", "engine", "service")
                .help("interface to emulate");
        parser.addArgument("--port").type(Integer.class).setDefault(0).help("loopback port, 0 for a free one");
        parser.addArgument("--service-ms")
                .type(Integer.class)
                .setDefault(20)
                .help("duration of a call; for an engine, time to first token");
        parser.addArgument("--per-token-ms").type(Integer.class).setDefault(5).help("engine: time per further token");
        parser.addArgument("--max-tokens")
                .type(Integer.class)
                .setDefault(128)
                .help("engine: maximum number of tokens in a response");
        parser.addArgument("--concurrency")
                .type(Integer.class)
                .setDefault(8)
                .help("maximum number of concurrent calls");
        parser.addArgument("--reports-load")
                .action(Arguments.storeTrue())
                .help("send the load header with each response");
        declareFaults(parser);
    }

    private static void declareFaults(Subparser parser) {
        parser.addArgument("--delay-ms").type(Long.class).setDefault(0L).help("fault: delay added to each call");
        parser.addArgument("--error-status")
                .type(Integer.class)
                .setDefault(0)
                .help("fault: respond with this HTTP status");
        parser.addArgument("--stall").action(Arguments.storeTrue()).help("fault: execute the call but never respond");
        parser.addArgument("--draining").action(Arguments.storeTrue()).help("fault: refuse new calls");
        parser.addArgument("--response")
                .type(Arguments.caseInsensitiveEnumType(ResponseFault.class))
                .setDefault(ResponseFault.NONE)
                .help("fault: how responses are corrupted");
    }

    @Override
    public ExitCode run(Namespace arguments) throws Exception {
        FakeKind kind = FakeKind.valueOf(arguments.getString("kind").toUpperCase(Locale.ROOT));
        FakeSettings settings = new FakeSettings(
                kind,
                new InetSocketAddress(LOOPBACK, arguments.getInt("port")),
                arguments.getInt("concurrency"),
                Duration.ofMillis(arguments.getInt("service_ms")),
                Duration.ofMillis(arguments.getInt("per_token_ms")),
                arguments.getInt("max_tokens"),
                arguments.getBoolean("reports_load"));
        FakeUpstream fake = new FakeUpstream(settings, new ExecutionLedger());
        fake.faults(new FakeFaults(
                arguments.getLong("delay_ms"),
                arguments.getInt("error_status"),
                arguments.getBoolean("stall"),
                arguments.getBoolean("draining"),
                arguments.get("response")));
        System.out.println("started kind=" + arguments.getString("kind") + " address=" + LOOPBACK + ":"
                + fake.address().getPort());
        new CountDownLatch(1).await();
        return ExitCode.SUCCESS;
    }
}
