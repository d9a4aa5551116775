package org.copperspindle.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * One command of the command line.
 */
interface Command {

    /**
     * Returns the command's word.
     *
     * @return for example {@code run}
     */
    String name();

    /**
     * Declares help text and arguments.
     *
     * @param parser the command's parser
     */
    void declare(Subparser parser);

    /**
     * Runs the command.
     *
     * @param arguments parsed arguments
     * @return the exit code
     * @throws Exception on a failure that the launcher words
     */
    ExitCode run(Namespace arguments) throws Exception;
}
