package org.copperspindle.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.copperspindle.soak.Soak;
import org.copperspindle.soak.SoakReport;
import org.copperspindle.soak.SoakSettings;

/**
 * {@code copperspindle soak}: nodes as processes of their own, disturbed from outside.
 */
final class SoakCommand implements Command {

    private static final int DEFAULT_NODES = 4;
    private static final int DEFAULT_CALLERS = 12;
    private static final int DEFAULT_SECONDS = 20;

    @Override
    public String name() {
        return "soak";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("run nodes as processes, disturb them, and check what was promised")
                .description(
                        "Starts nodes as processes of their own on loopback, with stand-ins for upstreams, callers and an"
                                + " operator, and disturbs them by a plan drawn from the seed: signals, restarts, lost disks, links"
                                + " that are delayed, reset, silenced or cut one way, upstreams that crash or drain, versions and"
                                + " keys that change. Promises are judged by what callers and upstreams saw. Exit code 1 if one"
                                + " was broken.")
                .epilog("Example: copperspindle soak --seed 7 --count 5 --seconds 20");
        parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of the first soak");
        parser.addArgument("--count")
                .type(Integer.class)
                .setDefault(1)
                .help("soaks to run, with seeds one after the other");
        parser.addArgument("--seconds")
                .type(Integer.class)
                .setDefault(DEFAULT_SECONDS)
                .help("time with disturbances");
        parser.addArgument("--nodes")
                .type(Integer.class)
                .setDefault(DEFAULT_NODES)
                .help("node processes; an even number");
        parser.addArgument("--callers")
                .type(Integer.class)
                .setDefault(DEFAULT_CALLERS)
                .help("callers at work at once");
        parser.addArgument("--no-fatal")
                .action(Arguments.storeTrue())
                .help("leave out the caller whose one request ends each upstream that runs it");
        parser.addArgument("--no-evacuations")
                .action(Arguments.storeTrue())
                .help(
                        "leave out the operator who evacuates failure domains, and engines that are cold after their start");
        parser.addArgument("--no-needs")
                .action(Arguments.storeTrue())
                .help("leave out upstreams that name limits and ask for rest");
        parser.addArgument("--folder").setDefault("").help("for settings, data and logs; a temporary one if not given");
    }

    @Override
    public ExitCode run(Namespace arguments) throws Exception {
        // Stand-ins break answers off on purpose; what their HTTP says of it would bury what the soak tells.
        Configurator.setLevel("org.copperspindle.http", Level.ERROR);
        boolean kept = true;
        String given = arguments.getString("folder");
        Path folder = given.isEmpty() ? Files.createTempDirectory("copperspindle-soak") : Path.of(given);
        long first = arguments.getLong("seed");
        for (long seed = first; seed < first + arguments.getInt("count"); seed++) {
            SoakSettings settings = new SoakSettings(
                    seed,
                    Duration.ofSeconds(arguments.getInt("seconds")),
                    arguments.getInt("nodes"),
                    arguments.getInt("callers"),
                    folder.resolve("seed-" + seed),
                    !arguments.getBoolean("no_fatal"),
                    !arguments.getBoolean("no_evacuations"),
                    !arguments.getBoolean("no_needs"),
                    launcher());
            SoakReport report = Soak.run(settings, line -> System.out.println("soak " + line));
            System.out.println(report.summary() + " logs=" + settings.folder());
            report.broken().forEach(promise -> System.out.println("  broken " + promise));
            kept &= report.broken().isEmpty();
        }
        return kept ? ExitCode.SUCCESS : ExitCode.FAILED;
    }

    /** Nodes run the program that this process runs, with the memory of a small VM. */
    static List<String> launcher() {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        return List.of(
                java,
                "-Xmx96m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:-UsePerfData",
                "-cp",
                System.getProperty("java.class.path"),
                Copperspindle.class.getName());
    }
}
