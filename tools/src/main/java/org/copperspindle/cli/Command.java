package org.copperspindle.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * A subcommand of the command-line interface.
 */
interface Command {

    /**
     * Returns the name that selects the command.
     *
     * @return for example {@code run}
     */
    String name();

    /**
     * Declares the help text and the arguments.
     *
     * @param parser argument parser of this command
     */
    void declare(Subparser parser);

    /**
     * Runs the command.
     *
     * @param arguments parsed arguments
     * @return the exit code of the process
     * @throws Exception if the command fails; the launcher reports it and sets the exit code
     */
    ExitCode run(Namespace arguments) throws Exception;
}
