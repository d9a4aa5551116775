package org.copperspindle.cli;

import java.util.Arrays;
import java.util.List;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * The option that names control members: given once or more often, each with one address or several between commas.
 */
final class ControlAddresses {

    private static final String OPTION = "control";

    private ControlAddresses() {}

    static void declare(Subparser parser) {
        parser.addArgument("--" + OPTION)
                .required(true)
                .action(Arguments.append())
                .metavar("IP:PORT[,IP:PORT...]")
                .help("operators' addresses of control members; any will do, the others are tried if it fails");
    }

    static List<String> of(Namespace arguments) {
        return arguments.<String>getList(OPTION).stream()
                .flatMap(value -> Arrays.stream(value.split(",")))
                .map(String::trim)
                .filter(address -> !address.isEmpty())
                .toList();
    }
}
