package org.copperspindle.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.copperspindle.config.DeploymentLoader;

/**
 * {@code copperspindle apply}: applies a complete deployment file as the new configuration.
 */
final class ApplyCommand implements Command {

    private static final int DEFAULT_TIMEOUT_SECONDS = 30;

    @Override
    public String name() {
        return "apply";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("apply a deployment file")
                .description(
                        "Validates a deployment file and applies it as a whole. Returns when it is in force everywhere."
                                + " Exit code 0: accepted; 1: refused; 2: the file is invalid; 3: unknown, repeat"
                                + " the same command to find out.")
                .epilog("Example: copperspindle apply conf/wijzerplaat.ini --base 4 --change-id 2026-12-02-1"
                        + " --operator ann --control 127.0.0.1:7401");
        parser.addArgument("file").metavar("FILE").help("deployment file");
        parser.addArgument("--base")
                .required(true)
                .type(Long.class)
                .help("configuration version that the file is based on");
        parser.addArgument("--change-id")
                .required(true)
                .help("unique id of the change; repeating it has no further effect");
        parser.addArgument("--operator").required(true).help("name of the operator, for the audit trail");
        parser.addArgument("--timeout")
                .metavar("SECONDS")
                .type(Integer.class)
                .setDefault(DEFAULT_TIMEOUT_SECONDS)
                .help("time limit for a definite response");
        ControlAddresses.declare(parser);
    }

    @Override
    public ExitCode run(Namespace arguments) throws Exception {
        Path file = Path.of(arguments.getString("file"));
        DeploymentLoader.load(file);
        String query = "base=" + arguments.getLong("base")
                + "&change=" + encode(arguments.getString("change_id"))
                + "&operator=" + encode(arguments.getString("operator"))
                + "&file=" + encode(file.getFileName().toString());
        Duration timeout = Duration.ofSeconds(arguments.getInt("timeout"));
        ApplyClient.ApplyResult result =
                new ApplyClient(ControlAddresses.of(arguments), query, Files.readAllBytes(file), timeout).send();
        System.out.println(result.body());
        return result.code();
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
