package org.copperspindle.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;

import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.MutuallyExclusiveGroup;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.copperspindle.audit.AuditFilter;
import org.copperspindle.audit.AuditFinding;
import org.copperspindle.audit.AuditFolder;
import org.copperspindle.audit.AuditKind;
import org.copperspindle.audit.AuditRecord;
import org.copperspindle.audit.AuditVerifier;

/**
 * {@code copperspindle audit}: prints, filters and verifies the audit trail. The complete hash chain is verified,
 * including the records that the filters leave out.
 */
final class AuditCommand implements Command {

    @Override
    public String name() {
        return "audit";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("print and verify the audit trail")
                .description(
                        "Prints the records that match the filters, then verifies the complete hash chain. Exits with 1"
                                + " if a record was modified.")
                .epilog("Example: copperspindle audit --control 127.0.0.1:7401 --kind change --from-version 40");
        MutuallyExclusiveGroup source = parser.addMutuallyExclusiveGroup().required(true);
        source.addArgument("--control").metavar("IP:PORT").help("operator address of any control member");
        source.addArgument("--folder")
                .metavar("FOLDER")
                .help("folder with the audit files of one member, read offline");
        parser.addArgument("--operator").metavar("NAME").help("operator or member that caused the record");
        parser.addArgument("--change-id").metavar("ID").help("change id, upstream, order id or voter");
        parser.addArgument("--kind")
                .choices(Arrays.stream(AuditKind.values()).map(AuditKind::label).toList())
                .help("kind of record");
        parser.addArgument("--from-version")
                .type(Long.class)
                .setDefault(0L)
                .help("lowest configuration version to print");
        parser.addArgument("--to-version")
                .type(Long.class)
                .setDefault(Long.MAX_VALUE)
                .help("highest configuration version to print");
        parser.addArgument("--since")
                .type(AuditCommand::parseInstant)
                .metavar("INSTANT")
                .help("earliest time, such as 2026-12-02T08:00:00Z");
        parser.addArgument("--until")
                .type(AuditCommand::parseInstant)
                .metavar("INSTANT")
                .help("latest time, such as 2026-12-02T18:00:00Z");
        parser.addArgument("--format")
                .choices("text", "json")
                .setDefault("text")
                .help("output format, one record per line");
    }

    @Override
    public ExitCode run(Namespace arguments) throws Exception {
        AuditPrinter printer = new AuditPrinter(System.out, filter(arguments), arguments.getString("format"));
        AuditVerifier verifier = read(arguments, printer::print);
        boolean modified = verifier.findings().stream().anyMatch(AuditFinding.Changed.class::isInstance);
        printer.finish(verifier, modified);
        return modified ? ExitCode.FAILED : ExitCode.SUCCESS;
    }

    private static AuditVerifier read(Namespace arguments, Consumer<AuditRecord> consumer) throws Exception {
        if (arguments.getString("folder") == null) {
            return new AuditReader(arguments.getString("control")).read(consumer);
        }
        Path folder = Path.of(arguments.getString("folder"));
        if (!Files.isDirectory(folder)) {
            throw new IOException("audit folder does not exist: " + folder);
        }
        return new AuditFolder(folder).verify(consumer);
    }

    private static AuditFilter filter(Namespace arguments) {
        return new AuditFilter(
                Optional.ofNullable(arguments.getString("operator")),
                Optional.ofNullable(arguments.getString("change_id")),
                Optional.ofNullable(arguments.getString("kind")).map(AuditKind::of),
                arguments.getLong("from_version"),
                arguments.getLong("to_version"),
                toMillis(arguments.get("since"), 0),
                toMillis(arguments.get("until"), Long.MAX_VALUE));
    }

    private static Instant parseInstant(ArgumentParser parser, Argument argument, String value)
            throws ArgumentParserException {
        try {
            return Instant.parse(value);
        } catch (DateTimeParseException e) {
            throw new ArgumentParserException(
                    "not an ISO 8601 instant such as 2026-12-02T08:00:00Z: " + value, e, parser);
        }
    }

    private static long toMillis(Instant instant, long fallback) {
        return instant == null ? fallback : instant.toEpochMilli();
    }
}
