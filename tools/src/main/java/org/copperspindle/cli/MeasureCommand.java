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
 * {@code copperspindle measure}: repeats the measurements behind the capacity page.
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
        parser.help("measure what each role costs as it grows")
                .description("Measures with small stand-ins on loopback and prints a straight line for each cost."
                        + " Takes a few minutes; run it on a machine that does nothing else.")
                .epilog("Example: copperspindle measure --probe leases");
        parser.addArgument("--probe")
                .choices(CapacityProbeFactory.names())
                .help("only this measurement; all of them if not given");
        parser.addArgument("--" + FORMAT)
                .choices("text", JSON_FORMAT)
                .setDefault("text")
                .help("output format");
    }

    @Override
    public ExitCode run(Namespace arguments) throws Exception {
        // A line for each measured request would drown the result and count as its cost.
        Configurator.setRootLevel(Level.ERROR);
        String chosen = arguments.getString("probe");
        List<CapacitySlope> slopes = new ArrayList<>();
        for (CapacityProbe probe : CapacityProbeFactory.all()) {
            if (chosen == null || chosen.equals(probe.name())) {
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
