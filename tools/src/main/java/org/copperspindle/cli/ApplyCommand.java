package org.copperspindle.cli;

import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.copperspindle.config.DeploymentLoader;

/**
 * {@code copperspindle apply}: puts a whole deployment file in force.
 */
final class ApplyCommand implements Command {

    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    @Override
    public String name() {
        return "apply";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("put a deployment file in force")
                .description(
                        "Checks a deployment file whole and applies it whole. Ends when it is in force everywhere.")
                .epilog("Example: copperspindle apply conf/wijzerplaat.ini --base 4 --change-id 2026-12-02-1"
                        + " --operator ann --control 127.0.0.1:7401");
        parser.addArgument("file").metavar("FILE").help("deployment file");
        parser.addArgument("--base").required(true).type(Long.class).help("version that the file was made from");
        parser.addArgument("--change-id").required(true).help("identity of the change; resending it is harmless");
        parser.addArgument("--operator").required(true).help("who makes the change");
        parser.addArgument("--control").required(true).metavar("IP:PORT").help("any control member");
    }

    @Override
    public ExitCode run(Namespace arguments) throws Exception {
        Path file = Path.of(arguments.getString("file"));
        DeploymentLoader.load(file);
        URI uri = URI.create("http://" + arguments.getString("control") + "/v1/config?base=" + arguments.getLong("base")
                + "&change=" + encode(arguments.getString("change_id"))
                + "&operator=" + encode(arguments.getString("operator"))
                + "&file=" + encode(file.toString()));
        HttpRequest request = HttpRequest.newBuilder(uri)
                .timeout(TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofFile(file))
                .build();
        HttpResponse<String> response =
                HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
        System.out.println(response.body());
        return switch (response.statusCode()) {
            case 200 -> ExitCode.SUCCESS;
            case 504 -> ExitCode.UNKNOWN;
            default -> ExitCode.FAILED;
        };
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
