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
 * {@code copperspindle explain}: one request's story from the logs of many processes.
 */
final class ExplainCommand implements Command {

    private static final String STANDARD_INPUT = "-";

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("tell what happened to one request")
                .description("Reads logs of any number of processes and prints what they tell of one request, in order,"
                        + " with what was believed meanwhile of its upstreams and of its node's lease. Clocks that differ"
                        + " are brought in line. Exit code 0: the request was found; 1: it was not.")
                .epilog("Example: copperspindle explain --request 9c41d07be2a35f68 node-1.log node-2.log");
        parser.addArgument("--request").required(true).help("id of the request");
        parser.addArgument("logs").nargs("+").help("log files; - reads standard input");
    }

    @Override
    public ExitCode run(Namespace arguments) throws Exception {
        List<LogLine> lines = new ArrayList<>();
        for (String log : arguments.<String>getList("logs")) {
            read(log, lines);
        }
        RequestStory story = RequestStory.of(arguments.getString("request"), lines);
        if (story.isEmpty()) {
            System.err.println("no line tells of this request; a flood drops lines (event=lines-dropped)");
            return ExitCode.FAILED;
        }
        story.print().forEach(System.out::println);
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
