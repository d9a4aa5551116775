package org.copperspindle.cli;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.copperspindle.settings.SettingsException;

/**
 * Entry point of the command-line interface: parses the arguments and runs the selected command.
 */
public final class Copperspindle {

    private static final List<Command> COMMANDS = List.of(
            new DemoCommand(), //
            new RunCommand(),
            new ApplyCommand(),
            new StatusCommand(),
            new HeldCommand(),
            new EvacuateCommand(),
            new AuditCommand(),
            new MeasureCommand(),
            new ReplayCommand(),
            new EmulateCommand(),
            new ExplainCommand(),
            new SoakCommand());
    private static final String COMMAND_KEY = "command";

    private Copperspindle() {}

    /**
     * Runs the selected command and exits with its exit code.
     *
     * @param arguments command-line arguments
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments).code());
    }

    static ExitCode run(String[] arguments) {
        ArgumentParser parser = ArgumentParsers.newFor("copperspindle")
                .build()
                .defaultHelp(true)
                .description("Serving system for multi-stage model pipelines.")
                .version("copperspindle " + version());
        parser.addArgument("--version")
                .action(net.sourceforge.argparse4j.impl.Arguments.version())
                .help("print the version and exit");
        Subparsers subparsers =
                parser.addSubparsers().dest(COMMAND_KEY).metavar("COMMAND").title("commands");
        Map<String, Command> byName = new LinkedHashMap<>();
        for (Command command : COMMANDS) {
            byName.put(command.name(), command);
            command.declare(subparsers.addParser(command.name()));
        }
        try {
            Namespace parsed = parser.parseArgs(arguments);
            return byName.get(parsed.getString(COMMAND_KEY)).run(parsed);
        } catch (HelpScreenException e) {
            return ExitCode.SUCCESS;
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            return ExitCode.USAGE;
        } catch (SettingsException e) {
            System.err.println(e.getMessage());
            return ExitCode.USAGE;
        } catch (Exception e) {
            System.err.println("copperspindle: " + e);
            return ExitCode.INTERNAL;
        }
    }

    private static String version() {
        String version = Copperspindle.class.getPackage().getImplementationVersion();
        return version == null ? "development" : version;
    }
}
