package pipitstage.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import pipitstage.config.file.Units;
import pipitstage.trace.Arrivals;
import pipitstage.trace.Fault;
import pipitstage.trace.Form;
import pipitstage.trace.Row;
import pipitstage.trace.Tally;
import pipitstage.trace.read.TraceReader;

/** Public cluster traces in CSV. */
@Command(name = "trace", mixinStandardHelpOptions = true, description = "Public cluster traces in CSV.",
        subcommands = TraceCommand.Check.class)
final class TraceCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed: check");
    }

    /** Reads a trace, and tells what would be sent of it and what is wrong with the rest. */
    @Command(name = "check", mixinStandardHelpOptions = true, description = {"Reads a trace as a replay would, and tells which"
            + " rows would be sent and which are rejected, and why.", "Exit code 1 where a row is rejected, 2 where a file can't"
            + " be read."})
    static final class Check implements Callable<Integer> {
        private static final int MOST_HELD = 1_000_000;

        @Parameters(arity = "1..*", paramLabel = "FILE", description = "Files of one trace in order, plain or gzip.")
        private List<Path> files;

        @Option(names = "--form", required = true, paramLabel = "FORM", description = "One of google-2011-task-events,"
                + " alibaba-2018-batch-task, azure-v1-vmtable, azure-functions-2021.")
        private String form;

        @Option(names = "--window", defaultValue = "10s", paramLabel = "SPAN", description = "Rows no further apart than this are"
                + " put in order (10s).")
        private String window;

        @Option(names = "--late", defaultValue = "drop", paramLabel = "RULE", description = "Rows further behind: drop, clamp to"
                + " the row sent last, or fail.")
        private String late;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            Tally tally = new Tally();
            Spread spread = new Spread();
            try {
                Arrivals arrivals = new Arrivals(span(), MOST_HELD, rule(), tally, spread::take);
                new TraceReader(formOf(), arrivals, tally).read(files);
            } catch (IOException | Arrivals.LateException e) {
                spec.commandLine().getErr().println("loftflow: " + e.getMessage());
                return 2;
            }
            print(tally, spread, spec.commandLine().getOut());
            return tally.rowsRejected() == 0 ? 0 : 1;
        }

        private Form formOf() {
            return Form.of(form).orElseThrow(() -> new CommandLine.ParameterException(spec.commandLine(), "--form: " + form
                    + " is none of " + Stream.of(Form.values()).map(Form::word).collect(Collectors.joining(", "))));
        }

        private long span() {
            try {
                return Units.span(window);
            } catch (IllegalArgumentException e) {
                throw new CommandLine.ParameterException(spec.commandLine(), "--window: " + e.getMessage());
            }
        }

        private Arrivals.Late rule() {
            return Stream.of(Arrivals.Late.values()).filter(l -> l.name().toLowerCase(Locale.ROOT).equals(late)).findFirst()
                    .orElseThrow(() -> new CommandLine.ParameterException(spec.commandLine(), "--late: " + late
                            + " is none of drop, clamp, fail"));
        }

        private static void print(Tally tally, Spread spread, PrintWriter out) {
            out.printf(Locale.ROOT, "%d rows read = %d sent + %d cut + %d rejected%n", tally.rowsRead(), tally.rowsSent(),
                    tally.rowsCut(), tally.rowsRejected());
            if (tally.rowsSent() > 0) {
                out.printf(Locale.ROOT, "from %s to %s of the trace's clock; at the most %d in one second%n",
                        Units.ofSpan(spread.first), Units.ofSpan(spread.last), spread.busiest);
            }
            tally.rejected().forEach((fault, r) -> out.printf(Locale.ROOT, "%s: %d (lines %s%s), such as: %s%n", fault.text(),
                    r.count(), r.lines().stream().map(String::valueOf).collect(Collectors.joining(", ")),
                    r.count() > r.lines().size() ? " ..." : "", r.sample()));
            out.flush();
        }
    }

    /** From when to when rows come, and how many in the busiest second. */
    private static final class Spread {
        private static final long SECOND = 1_000_000;
        private long first = -1;
        private long last;
        private long second = -1;
        private long count;
        private long busiest;

        void take(Row row) {
            first = first < 0 ? row.time() : first;
            last = row.time();
            count = row.time() / SECOND == second ? count + 1 : 1;
            second = row.time() / SECOND;
            busiest = Math.max(busiest, count);
        }
    }
}
