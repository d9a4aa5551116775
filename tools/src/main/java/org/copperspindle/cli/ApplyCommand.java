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
 * {@code copperspindle apply}: puts a whole deployment file in force.
 */
final class ApplyCommand implements Command {

    private static final int DEFAULT_TIMEOUT_SECONDS = 30;

    @Override
    public String name() {
        return "apply";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("put a deployment file in force")
                .description("Checks a deployment file whole and applies it whole. Ends when it is in force everywhere."
                        + " Exit code 0: accepted; 1: refused, not made; 2: the file is wrong; 3: not known, resend"
                        + " the same command to learn.")
                .epilog("Example: copperspindle apply conf/wijzerplaat.ini --base 4 --change-id 2026-12-02-1"
                        + " --operator ann --control 127.0.0.1:7401");
        parser.addArgument("file").metavar("FILE").help("deployment file");
        parser.addArgument("--base").required(true).type(Long.class).help("version that the file was made from");
        parser.addArgument("--change-id").required(true).help("identity of the change; resending it is harmless");
        parser.addArgument("--operator").required(true).help("who makes the change");
        parser.addArgument("--timeout")
                .metavar("SECONDS")
                .type(Integer.class)
                .setDefault(DEFAULT_TIMEOUT_SECONDS)
                .help("how long to wait for a certain answer");
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
        ApplyClient.Answer answer =
                new ApplyClient(ControlAddresses.of(arguments), query, Files.readAllBytes(file), timeout).send();
        System.out.println(answer.body());
        return answer.code();
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
