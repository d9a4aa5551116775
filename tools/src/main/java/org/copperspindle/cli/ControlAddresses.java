package org.copperspindle.cli;

import java.util.Arrays;
import java.util.List;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * The {@code --control} option: addresses of control members. It may be repeated, and each value may be a
 * comma-separated list.
 */
final class ControlAddresses {

    private static final String OPTION = "control";

    private ControlAddresses() {}

    static void declare(Subparser parser) {
        parser.addArgument("--" + OPTION)
                .required(true)
                .action(Arguments.append())
                .metavar("IP:PORT[,IP:PORT...]")
                .help("operator addresses of control members; one is enough, further ones are used as fallbacks");
    }

    static List<String> of(Namespace arguments) {
        return arguments.<String>getList(OPTION).stream()
                .flatMap(value -> Arrays.stream(value.split(",")))
                .map(String::trim)
                .filter(address -> !address.isEmpty())
                .toList();
    }
}
