package org.copperspindle.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.copperspindle.config.Deployment;
import org.copperspindle.config.DeploymentLoader;
import org.copperspindle.limits.PolicyKind;
import org.copperspindle.replay.ReplayReport;
import org.copperspindle.replay.TraceReader;

/**
 * {@code copperspindle replay}: replays traces and checks their expected outcomes.
 */
final class ReplayCommand implements Command {

    @Override
    public String name() {
        return "replay";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("replay traces and check their expected outcomes")
                .description("Replays each trace in virtual time under a policy and under the baseline, prints both,"
                        + " and checks the outcomes that the trace expects. Exit code 1 if one is not met.")
                .epilog("Example: copperspindle replay traces/aarebogen-ordinary.jsonl --settings conf/aarebogen.ini");
        parser.addArgument("trace").metavar("TRACE").nargs("+").help("trace files");
        parser.addArgument("--settings").required(true).metavar("FILE").help("deployment file");
        parser.addArgument("--policy")
                .choices("adaptive", "baseline", "least_load")
                .setDefault("adaptive")
                .help("policy to evaluate");
    }

    @Override
    public ExitCode run(Namespace arguments) throws Exception {
        Deployment deployment = DeploymentLoader.load(Path.of(arguments.getString("settings")));
        PolicyKind kind = PolicyKind.valueOf(arguments.getString("policy").toUpperCase(Locale.ROOT));
        boolean met = true;
        try {
            for (String trace : arguments.<String>getList("trace")) {
                ReplayReport report = ReplayReport.of(TraceReader.read(Path.of(trace), deployment), deployment, kind);
                System.out.print(report.text());
                List<String> unmet = report.unmet();
                unmet.forEach(outcome -> System.err.println(trace + ": not met: " + outcome));
                met &= unmet.isEmpty();
            }
        } catch (IOException e) {
            System.err.println("copperspindle: " + e.getMessage());
            return ExitCode.USAGE;
        }
        return met ? ExitCode.SUCCESS : ExitCode.FAILED;
    }
}
