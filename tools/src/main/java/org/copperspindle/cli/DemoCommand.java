package org.copperspindle.cli;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.Stream;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.copperspindle.config.Deployment;
import org.copperspindle.config.DeploymentLoader;
import org.copperspindle.demo.DemoRun;
import org.copperspindle.replay.Trace;
import org.copperspindle.replay.TraceReader;

/**
 * {@code copperspindle demo}: runs a complete deployment in this process, injects faults under load and checks the
 * delivery promises.
 */
final class DemoCommand implements Command {

    private static final String HOME_PROPERTY = "copperspindle.home";
    private static final String LOG_PROPERTY = "copperspindle.log";

    @Override
    public String name() {
        return "demo";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("demonstrate a complete deployment")
                .description("Starts a complete deployment in this process on loopback, with fake upstreams. Replays a"
                        + " trace over HTTP; halfway through it applies a configuration, drains one upstream and kills"
                        + " another. Reports attainment, cost, verdicts and the promises checked; exit code 1 if one was"
                        + " broken.")
                .epilog("Example: copperspindle demo --settings conf/aarebogen.ini --seed 7");
        parser.addArgument("--settings")
                .metavar("FILE")
                .setDefault(home().resolve(Path.of("conf", "wijzerplaat.ini")).toString())
                .help("deployment file");
        parser.addArgument("--trace")
                .metavar("FILE")
                .help("trace to replay; default: the one shipped for the deployment");
        parser.addArgument("--seed")
                .type(Long.class)
                .setDefault(1L)
                .help("seed for the choice of entries, repeated calls and upstreams to stop");
    }

    @Override
    public ExitCode run(Namespace arguments) throws Exception {
        if (System.getProperty(LOG_PROPERTY) == null) {
            System.setProperty(LOG_PROPERTY, "warn");
        }
        Path file = Path.of(arguments.getString("settings"));
        Deployment deployment = DeploymentLoader.load(file);
        Path traceFile = Optional.ofNullable(arguments.getString("trace"))
                .map(Path::of)
                .orElse(home().resolve(Path.of("traces", "demo", deployment.name() + ".jsonl")));
        Trace trace;
        try {
            trace = TraceReader.read(traceFile, deployment);
        } catch (NoSuchFileException e) {
            System.err.println("copperspindle: trace file not found: " + e.getMessage() + "; specify one with --trace");
            return ExitCode.USAGE;
        }
        String text = Files.readString(file, StandardCharsets.UTF_8);
        Path data = Files.createTempDirectory("copperspindle-demo");
        try {
            DemoRun run = new DemoRun(deployment, text, trace, arguments.getLong("seed"), System.out);
            return run.run(data) ? ExitCode.SUCCESS : ExitCode.FAILED;
        } finally {
            deleteRecursively(data);
        }
    }

    private static Path home() {
        return Path.of(System.getProperty(HOME_PROPERTY, "."));
    }

    private static void deleteRecursively(Path folder) {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
