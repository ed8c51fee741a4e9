package loftflow.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import loftflow.config.file.Finding;
import loftflow.config.file.SourceFile;
import loftflow.config.file.Units;
import loftflow.config.plan.Declaration;
import loftflow.config.plan.MachineInspector;
import loftflow.config.tool.CheckedFile;
import loftflow.trace.ArrivalSorter;
import loftflow.trace.ColumnMapping;
import loftflow.trace.Row;
import loftflow.trace.RowFormat;
import loftflow.trace.RowTally;
import loftflow.trace.TraceFormat;
import loftflow.trace.TraceMapping;
import loftflow.trace.TraceMessage;
import loftflow.trace.read.TraceMessageFile;
import loftflow.trace.read.TraceReader;
import picocli.CommandLine;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Public cluster traces in CSV. */
@Command(
        name = "trace",
        mixinStandardHelpOptions = true,
        description = "Public cluster traces in CSV.",
        subcommands = {TraceCommand.Check.class, TraceCommand.Map.class})
final class TraceCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed: check or map");
    }

    /** The files of a trace, and how they are read. */
    static final class Files {
        private static final int MOST_HELD = 1_000_000;

        @Parameters(arity = "1..*", paramLabel = "FILE", description = "Files of one trace in order, plain or gzip.")
        private List<Path> files;

        @ArgGroup(multiplicity = "1")
        private Which which;

        /** A published form or a mapping file. */
        static final class Which {
            @Option(
                    names = "--form",
                    paramLabel = "FORM",
                    description = "One of google-2011-task-events,"
                            + " alibaba-2018-batch-task, azure-v1-vmtable, azure-functions-2021, azure-functions-2019.")
            private String form;

            @Option(
                    names = "--map",
                    paramLabel = "MAP.toml",
                    description = "A file that names the columns of any other CSV.")
            private Path map;
        }

        @Option(
                names = "--window",
                defaultValue = "10s",
                paramLabel = "SPAN",
                description = "Rows no further apart than this are" + " put in order (10s).")
        private String window;

        @Option(
                names = "--late",
                defaultValue = "drop",
                paramLabel = "RULE",
                description = "Rows further behind: drop, clamp to" + " the row sent last, or fail.")
        private String late;

        @Option(
                names = "--from",
                defaultValue = "0s",
                paramLabel = "SPAN",
                description = "Rows before this time of the trace's" + " clock are cut.")
        private String from;

        @Option(names = "--to", paramLabel = "SPAN", description = "Rows from this time on are cut.")
        private String to;

        @Spec(Spec.Target.MIXEE)
        private CommandSpec spec;

        /** Reads them; rows go to a consumer in the order of their times. */
        RowTally read(Consumer<Row> out) throws IOException, SourceFile.UnreadableException {
            RowTally tally = new RowTally();
            long first = from();
            long end = to == null ? Long.MAX_VALUE : span("--to", to);
            new TraceReader(
                            formOf(),
                            time -> time >= first && time < end,
                            new ArrivalSorter(span("--window", window), MOST_HELD, rule(), tally, out),
                            tally)
                    .read(files);
            return tally;
        }

        long from() {
            return span("--from", from);
        }

        private RowFormat formOf() throws SourceFile.UnreadableException {
            if (which.map != null) {
                try {
                    return TraceColumnsFile.read(which.map);
                } catch (IllegalArgumentException e) {
                    throw misuse(e.getMessage());
                }
            }
            return TraceFormat.of(which.form)
                    .orElseThrow(() -> misuse("--form: " + which.form + " is none of "
                            + Stream.of(TraceFormat.values())
                                    .map(TraceFormat::word)
                                    .collect(Collectors.joining(", "))));
        }

        private long span(String option, String text) {
            try {
                return Units.parseDurationMicros(text);
            } catch (IllegalArgumentException e) {
                throw misuse(option + ": " + e.getMessage());
            }
        }

        private ArrivalSorter.Late rule() {
            return Stream.of(ArrivalSorter.Late.values())
                    .filter(l -> l.name().toLowerCase(Locale.ROOT).equals(late))
                    .findFirst()
                    .orElseThrow(() -> misuse("--late: " + late + " is none of drop, clamp, fail"));
        }

        private CommandLine.ParameterException misuse(String why) {
            return new CommandLine.ParameterException(spec.commandLine(), why);
        }
    }

    static void print(RowTally tally, PrintWriter out) {
        out.printf(
                Locale.ROOT,
                "%d rows read = %d sent + %d cut + %d rejected%n",
                tally.rowsRead(),
                tally.rowsSent(),
                tally.rowsCut(),
                tally.rowsRejected());
        tally.rejected()
                .forEach((fault, r) -> out.printf(
                        Locale.ROOT,
                        "%s: %d (lines %s%s), such as: %s%n",
                        fault.text(),
                        r.count(),
                        r.lines().stream().map(String::valueOf).collect(Collectors.joining(", ")),
                        r.count() > r.lines().size() ? " ..." : "",
                        r.sample()));
        out.flush();
    }

    static int unreadable(CommandSpec spec, Exception e) {
        spec.commandLine()
                .getErr()
                .println("loftflow: " + (e instanceof IOException io ? Commands.why(io) : e.getMessage()));
        return 2;
    }

    /** Reads a trace, and tells what would be sent of it and what is wrong with the rest. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = {
                "Reads a trace as a replay would, and tells which"
                        + " rows would be sent and which are rejected, and why.",
                "Exit code 1 where a row is rejected, 2 where a file can't" + " be read."
            })
    static final class Check implements Callable<Integer> {
        @Mixin
        private Files files;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            Spread spread = new Spread();
            try {
                RowTally tally = files.read(spread::take);
                PrintWriter out = spec.commandLine().getOut();
                print(tally, out);
                if (tally.rowsSent() > 0) {
                    out.printf(
                            Locale.ROOT,
                            "from %s to %s of the trace's clock; at the most %d in one second%n",
                            Units.formatDuration(spread.first),
                            Units.formatDuration(spread.last),
                            spread.busiest);
                }
                return tally.rowsRejected() == 0 ? 0 : 1;
            } catch (IOException
                    | ArrivalSorter.LateException
                    | ColumnMapping.NoSuchColumnException
                    | SourceFile.UnreadableException e) {
                return unreadable(spec, e);
            }
        }
    }

    /** Maps a trace to the messages of an application. */
    @Command(
            name = "map",
            mixinStandardHelpOptions = true,
            description = {
                "Maps a trace to the messages of an application, one"
                        + " line of CSV each: at_us, class, tenant, destination, key, size, budget_us, line.",
                "The same trace and seed give" + " the same messages. Exit codes as of check."
            })
    static final class Map implements Callable<Integer> {
        @Mixin
        private Files files;

        @Option(
                names = "--app",
                required = true,
                paramLabel = "APP.toml",
                description = "The application: its classes, whose"
                        + " peak rates are the shares, its tenants and its partners.")
        private Path app;

        @Option(
                names = "--seed",
                defaultValue = "1",
                paramLabel = "N",
                description = "Another one maps flows to other classes," + " destinations and tenants (1).")
        private long seed;

        @Option(
                names = "--speed",
                defaultValue = "1",
                paramLabel = "X",
                description = "How many times as fast as the trace (1).")
        private double speed;

        @Option(
                names = {"-o", "--out"},
                required = true,
                paramLabel = "CALLS.csv",
                description = "Where the messages go.")
        private Path out;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            try {
                TraceMapping mapping = new TraceMapping(scheme(), seed, files.from(), speed);
                TreeMap<String, Long> types = new TreeMap<>();
                TreeMap<Integer, Long> destinations = new TreeMap<>();
                RowTally tally;
                try (TraceMessageFile calls = new TraceMessageFile(out)) {
                    tally = files.read(row -> {
                        TraceMessage call = mapping.call(row);
                        types.merge(call.type(), 1L, Long::sum);
                        destinations.merge(call.destination(), 1L, Long::sum);
                        calls.write(call);
                    });
                }
                print(tally, spec.commandLine().getOut());
                spec.commandLine().getOut().println("classes " + types + ", destinations " + destinations);
                return tally.rowsRejected() == 0 ? 0 : 1;
            } catch (IOException
                    | UncheckedIOException
                    | ArrivalSorter.LateException
                    | ColumnMapping.NoSuchColumnException
                    | SourceFile.UnreadableException e) {
                return unreadable(spec, e);
            } catch (IllegalArgumentException e) {
                throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage());
            }
        }

        private TraceMapping.Scheme scheme() throws SourceFile.UnreadableException {
            Declaration declared = declared(app);
            return new TraceMapping.Scheme(
                    declared.classes().stream()
                            .map(c -> new TraceMapping.Type(
                                    c.name(),
                                    c.peakRatePerSecond(),
                                    c.idempotency() == Declaration.Idempotency.IDEMPOTENT_BY_KEY,
                                    c.bodyBytes(),
                                    c.maxBodyBytes(),
                                    c.deadlineMicros(),
                                    declared.destinations().stream()
                                            .filter(p -> c.goesTo(p.kind()))
                                            .map(Declaration.Destination::number)
                                            .toList()))
                            .toList(),
                    declared.tenants().stream().map(Declaration.Tenant::name).toList());
        }
    }

    /**
     * What an application file declares.
     *
     * @throws IllegalArgumentException with its first error
     */
    static Declaration declared(Path app) throws SourceFile.UnreadableException {
        CheckedFile checked = CheckedFile.of(app.toString(), SourceFile.readText(app), MachineInspector.UNKNOWN);
        if (!checked.isClean()) {
            throw new IllegalArgumentException(checked.findings().stream()
                    .filter(Finding::isError)
                    .findFirst()
                    .orElseThrow()
                    .toString());
        }
        return checked.declared();
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
