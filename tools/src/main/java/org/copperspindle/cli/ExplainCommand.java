package org.copperspindle.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * {@code copperspindle explain}: prints the timeline of one request from the logs of several processes.
 */
final class ExplainCommand implements Command {

    private static final String STANDARD_INPUT = "-";

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("print the timeline of one request")
                .description(
                        "Reads the logs of any number of processes and prints the lines about one request in order,"
                                + " with the state changes of its upstreams and of its node's lease around that time. Clock skew"
                                + " is compensated. Exit code 0: the request was found; 1: it was not.")
                .epilog("Example: copperspindle explain --request 9c41d07be2a35f68 node-1.log node-2.log");
        parser.addArgument("--request").required(true).help("id of the request");
        parser.addArgument("logs").nargs("+").help("log files; - for standard input");
    }

    @Override
    public ExitCode run(Namespace arguments) throws Exception {
        List<LogLine> lines = new ArrayList<>();
        for (String log : arguments.<String>getList("logs")) {
            read(log, lines);
        }
        RequestTimeline timeline = RequestTimeline.of(arguments.getString("request"), lines);
        if (timeline.isEmpty()) {
            System.err.println(
                    "no log line mentions this request; under load, log lines may be dropped (event=lines-dropped)");
            return ExitCode.FAILED;
        }
        timeline.print().forEach(System.out::println);
        return ExitCode.SUCCESS;
    }

    private static void read(String log, List<LogLine> lines) throws IOException {
        try (BufferedReader in = open(log)) {
            String source = log.equals(STANDARD_INPUT)
                    ? "stdin"
                    : Path.of(log).getFileName().toString();
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                LogLine.parse(line, source).ifPresent(lines::add);
            }
        }
    }

    private static BufferedReader open(String log) throws IOException {
        return log.equals(STANDARD_INPUT)
                ? new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))
                : Files.newBufferedReader(Path.of(log));
    }
}
