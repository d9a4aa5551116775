package org.copperspindle.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.ObjectMapper;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.copperspindle.capacity.CapacityProbe;
import org.copperspindle.capacity.CapacityProbeFactory;
import org.copperspindle.capacity.CapacitySlope;

/**
 * {@code copperspindle measure}: repeats the measurements on which the capacity page is based.
 */
final class MeasureCommand implements Command {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String FORMAT = "format";
    private static final String JSON_FORMAT = "json";

    @Override
    public String name() {
        return "measure";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("measure how the cost of each role grows with its load")
                .description("Measures small stand-in deployments on loopback and prints a linear fit for each cost."
                        + " Takes a few minutes; run it on an otherwise idle machine.")
                .epilog("Example: copperspindle measure --probe leases");
        parser.addArgument("--probe")
                .choices(CapacityProbeFactory.names())
                .help("run only this measurement; default: all");
        parser.addArgument("--" + FORMAT)
                .choices("text", JSON_FORMAT)
                .setDefault("text")
                .help("output format");
    }

    @Override
    public ExitCode run(Namespace arguments) throws Exception {
        // Logging each measured request would clutter the output and count as part of its cost.
        Configurator.setRootLevel(Level.ERROR);
        String selectedProbe = arguments.getString("probe");
        List<CapacitySlope> slopes = new ArrayList<>();
        for (CapacityProbe probe : CapacityProbeFactory.all()) {
            if (selectedProbe == null || selectedProbe.equals(probe.name())) {
                slopes.addAll(probe.measure(step -> System.err.println("measuring " + probe.name() + ": " + step)));
            }
        }
        if (JSON_FORMAT.equals(arguments.getString(FORMAT))) {
            for (CapacitySlope slope : slopes) {
                System.out.println(JSON.writeValueAsString(slope));
            }
        } else {
            slopes.forEach(MeasureCommand::print);
        }
        return ExitCode.SUCCESS;
    }

    private static void print(CapacitySlope slope) {
        System.out.printf(
                Locale.ROOT,
                "%n%s%n  slope %.3f %s per %s, intercept %.1f, points %d, fit R2 %.4f%n",
                slope.name(),
                slope.slope(),
                slope.yUnit(),
                slope.xUnit(),
                slope.intercept(),
                slope.points().size(),
                slope.fit());
        slope.points()
                .forEach(point -> System.out.printf(
                        Locale.ROOT, "  %12.0f %-12s %14.1f %s%n", point.x(), slope.xUnit(), point.y(), slope.yUnit()));
    }
}
