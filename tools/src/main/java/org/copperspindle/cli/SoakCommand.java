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
 * {@code copperspindle soak}: runs nodes as separate processes under fault injection and checks the promises to
 * callers.
 */
final class SoakCommand implements Command {

    private static final int DEFAULT_NODES = 4;

    /** Of two nodes without a data folder one is the first choice as a dispatcher of a stage pool, the other the standby. */
    private static final int DEFAULT_SHORTAGE_NODES = 5;

    private static final int DEFAULT_CALLERS = 12;
    private static final int DEFAULT_SECONDS = 20;

    @Override
    public String name() {
        return "soak";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("run nodes as separate processes, inject faults and check the promises to callers")
                .description(
                        "Starts nodes as separate processes on loopback, with stand-ins for upstreams, callers and an"
                                + " operator, and injects faults by a plan from the seed: signals, restarts, lost disks, links"
                                + " that are delayed, reset, silent or cut in one direction, upstreams that crash or drain, and"
                                + " changes of versions and keys. Promises are checked by what callers and upstreams saw. Exit code 1 if one"
                                + " was broken.")
                .epilog("Example: copperspindle soak --seed 7 --count 5 --seconds 20");
        parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of the first run");
        parser.addArgument("--count").type(Integer.class).setDefault(1).help("number of runs, with consecutive seeds");
        parser.addArgument("--seconds")
                .type(Integer.class)
                .setDefault(DEFAULT_SECONDS)
                .help("duration of the fault injection");
        parser.addArgument("--nodes")
                .type(Integer.class)
                .help("number of node processes; default: " + DEFAULT_NODES + ", with --shortage "
                        + DEFAULT_SHORTAGE_NODES);
        parser.addArgument("--callers")
                .type(Integer.class)
                .setDefault(DEFAULT_CALLERS)
                .help("number of concurrent callers");
        parser.addArgument("--no-fatal")
                .action(Arguments.storeTrue())
                .help("leave out the caller whose request crashes each upstream that runs it");
        parser.addArgument("--no-fatal-part")
                .action(Arguments.storeTrue())
                .help("leave out the caller with a part of its prompts that does the same");
        parser.addArgument("--surges")
                .action(Arguments.storeTrue())
                .help("let a balancer hand most new connections to one node for some seconds, then to another one;"
                        + " upstreams announce no limits and no failure domain is evacuated then");
        parser.addArgument("--no-evacuations")
                .action(Arguments.storeTrue())
                .help(
                        "leave out the operator who evacuates failure domains, and engines that are cold after their start");
        parser.addArgument("--no-needs")
                .action(Arguments.storeTrue())
                .help("leave out upstreams that announce limits and request backoffs");
        parser.addArgument("--shortage")
                .action(Arguments.storeTrue())
                .help(
                        "let stage pools run short, and disturb their dispatchers and engines, instead of what the options"
                                + " above leave out");
        parser.addArgument("--releases")
                .action(Arguments.storeTrue())
                .help(
                        "run engines of two software versions at a time, and callers that take up streams that break off");
        parser.addArgument("--fleet-kills")
                .action(Arguments.storeTrue())
                .help("kill all nodes at once beside releases of engines, with callers that come back to long streams,"
                        + " instead of what the options above leave out");
        parser.addArgument("--reuses")
                .action(Arguments.storeTrue())
                .help(
                        "crash stage upstreams while their results wait for a slow later stage, and start other upstreams at"
                                + " their addresses, besides what the other options run");
        parser.addArgument("--folder")
                .setDefault("")
                .help("folder for settings, data and logs; default: a temporary folder");
    }

    @Override
    public ExitCode run(Namespace arguments) throws Exception {
        // Stand-ins abort responses on purpose; the HTTP warnings about it would hide the progress of the soak.
        Configurator.setLevel("org.copperspindle.http", Level.ERROR);
        boolean passed = true;
        boolean shortage = arguments.getBoolean("shortage");
        boolean fleetKills = !shortage && arguments.getBoolean("fleet_kills");
        boolean special = shortage || fleetKills;
        boolean surges = !special && arguments.getBoolean("surges");
        Integer nodes = arguments.getInt("nodes");
        int defaultNodes = shortage ? DEFAULT_SHORTAGE_NODES : DEFAULT_NODES;
        String folderOption = arguments.getString("folder");
        Path folder = folderOption.isEmpty() ? Files.createTempDirectory("copperspindle-soak") : Path.of(folderOption);
        long firstSeed = arguments.getLong("seed");
        for (long seed = firstSeed; seed < firstSeed + arguments.getInt("count"); seed++) {
            SoakSettings settings = new SoakSettings(
                    seed,
                    Duration.ofSeconds(arguments.getInt("seconds")),
                    nodes == null ? defaultNodes : nodes,
                    arguments.getInt("callers"),
                    folder.resolve("seed-" + seed),
                    !special && !arguments.getBoolean("no_fatal"),
                    !special && !arguments.getBoolean("no_fatal_part"),
                    surges,
                    !special && !surges && !arguments.getBoolean("no_evacuations"),
                    !special && !surges && !arguments.getBoolean("no_needs"),
                    shortage,
                    fleetKills || !shortage && arguments.getBoolean("releases"),
                    fleetKills,
                    arguments.getBoolean("reuses"),
                    nodeCommand());
            SoakReport report = Soak.run(settings, line -> System.out.println("soak " + line));
            System.out.println(report.summary() + " logs=" + settings.folder());
            report.broken().forEach(promise -> System.out.println("  broken " + promise));
            passed &= report.broken().isEmpty();
        }
        return passed ? ExitCode.SUCCESS : ExitCode.FAILED;
    }

    /** Returns the command that starts a node: the program of this process, with the memory of a small VM. */
    static List<String> nodeCommand() {
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
