package loftflow.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.googlecode.lanterna.terminal.DefaultTerminalFactory;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import loftflow.config.file.SourceFile;
import loftflow.experiment.CapacityTrials;
import loftflow.experiment.ComparisonReport;
import loftflow.experiment.ExperimentRunner;
import loftflow.experiment.ExperimentSide;
import loftflow.experiment.FigureComparison;
import loftflow.experiment.LoopbackResult;
import loftflow.experiment.RegressionCases;
import loftflow.experiment.RunResult;
import loftflow.experiment.ScenarioFiles;
import loftflow.experiment.ServiceTarget;
import loftflow.experiment.SideComparison;
import loftflow.experiment.SideRunner;
import loftflow.experiment.SideRunners;
import loftflow.experiment.design.CapacitySearch;
import loftflow.experiment.design.PairedComparison;
import loftflow.experiment.evaluation.ClassReport;
import loftflow.experiment.evaluation.FleetCostReport;
import loftflow.experiment.evaluation.ProgressSnapshot;
import loftflow.experiment.evaluation.RuleChecker;
import loftflow.experiment.evaluation.ServiceReport;
import loftflow.experiment.history.CallCounts;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.history.RunHistory;
import loftflow.experiment.loopback.LoopbackRun;
import loftflow.experiment.results.ResultsFolder;
import loftflow.experiment.results.RunReport;
import loftflow.experiment.scenario.Scenario;
import loftflow.experiment.scenario.ScenarioReader;
import loftflow.experiment.scenario.ScenarioSchema;
import loftflow.experiment.scenario.TraceArrivals;
import loftflow.fake.ServedRelay;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The laboratory. Exit codes: 0 clean, 1 a rule was broken, or a side is worse, or a file has errors; 2 misuse. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        description =
                "Plays scenarios in an emulator of programs, partners and failures, and compares what comes of them.",
        subcommands = {
            ExperimentCommand.Scenarios.class,
            ExperimentCommand.Check.class,
            ExperimentCommand.Run.class,
            ExperimentCommand.Compare.class,
            ExperimentCommand.Sweep.class,
            ExperimentCommand.CapacityOf.class,
            ExperimentCommand.Minimize.class,
            ExperimentCommand.PlayCases.class,
            ExperimentCommand.Reference.class
        })
final class ExperimentCommand implements Runnable {
    static final int CLEAN = 0;
    static final int FOUND = 1;
    private static final JsonFactory JSON = new JsonFactory();

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(),
                "a command is needed: scenarios, check, run, compare, sweep, capacity, minimize, cases or reference");
    }

    /** What all that play a scenario share. */
    private abstract static class Playing implements Callable<Integer> {
        @Parameters(
                index = "0",
                paramLabel = "SCENARIO",
                description = "A file, or the name of one that comes with the program.")
        private String scenario;

        @Spec
        private CommandSpec spec;

        PrintWriter out() {
            return spec.commandLine().getOut();
        }

        CommandLine.ParameterException wrong(String why) {
            return new CommandLine.ParameterException(spec.commandLine(), why);
        }

        /** The scenario, or null where it has errors, which are printed. */
        Scenario scenario() throws IOException, SourceFile.UnreadableException {
            return read(spec, scenario).scenario();
        }
    }

    static ScenarioReader.ReadResult read(CommandSpec spec, String name)
            throws IOException, SourceFile.UnreadableException {
        ScenarioReader.ReadResult read = ScenarioFiles.BUILT_IN.contains(name)
                ? ScenarioFiles.read(name, ScenarioFiles.builtInText(name))
                : ScenarioFiles.read(name, SourceFile.text(Path.of(name)));
        read.findings().forEach(finding -> spec.commandLine().getErr().println(finding));
        return read;
    }

    static void print(PrintWriter out, RunResult played) {
        ServiceReport s = played.service();
        out.println(String.format(
                Locale.ROOT,
                "%s, seed %d: service %.4f (whole %.4f, worst 10 s %.4f, worst class %.4f, worst tenant" + " %.4f)",
                played.scenario().name(),
                played.seed(),
                s.score(),
                s.overall(),
                s.worstWindow(),
                s.worstClass(),
                s.worstTenant()));
        out.println(String.format(
                Locale.ROOT,
                "  %-16s %8s %9s %8s %7s %8s %9s %9s %8s",
                "class",
                "asked",
                "delivered",
                "refused",
                "failed",
                "service",
                "p50 ms",
                "p99 ms",
                "attempts"));
        for (ClassReport c : s.classes()) {
            out.println(String.format(
                    Locale.ROOT,
                    "  %-16s %8d %9d %8d %7d %8.4f %9.0f %9.0f %8.2f",
                    c.name(),
                    c.submitted(),
                    c.delivered(),
                    c.rejected(),
                    c.failed(),
                    c.score(),
                    c.p50Millis(),
                    c.p99Millis(),
                    c.attemptsPerMessage()));
        }
        out.println(String.format(
                Locale.ROOT, "  highest load of an endpoint in a second: %.2f times what it could do", s.peakLoad()));
        print(out, played.costs(), played.history());
        if (played.rules().isClean()) {
            out.println("  no rule was broken");
        } else {
            out.println("  rules broken: " + played.rules().counts());
            played.rules()
                    .firstBreaches()
                    .forEach(b -> out.println("    " + b.rule() + " at " + b.atMicros() + " us, message " + b.message()
                            + ": " + b.detail()));
        }
    }

    private static void print(PrintWriter out, FleetCostReport costs, RunHistory history) {
        out.println("  all relays together, and for a thousand messages:");
        for (CallCounts.Metric what : CallCounts.Metric.values()) {
            long total = costs.counts().total(what);
            if (total > 0) {
                CallCounts.Maximum relay = costs.counts().busiestRelay(what);
                CallCounts.Maximum endpoint = costs.counts().busiestEndpoint(what);
                out.println(String.format(
                        Locale.ROOT,
                        "    %-12s %9d %9.1f%s%s",
                        what.code(),
                        total,
                        costs.perThousand(total),
                        relay.count() == 0 ? "" : "  most by relay " + relay.index() + ": " + relay.count(),
                        endpoint.count() == 0 ? "" : "  most at e" + endpoint.index() + ": " + endpoint.count()));
            }
        }
        out.println(String.format(
                Locale.ROOT,
                "    refused without an attempt %d, cut off without an answer %d",
                costs.rejectedWithoutAttempt(),
                costs.connectionsLost()));
        out.println(String.format(
                Locale.ROOT,
                "    ends told in time %d, up to 100 ms late %d, up to 300 ms %d, later %d%s",
                costs.completedInTime(),
                costs.lateWithin100Millis(),
                costs.lateWithin300Millis(),
                costs.lateBeyond300Millis(),
                costs.maxLatenessMicros() == 0
                        ? ""
                        : String.format(
                                Locale.ROOT,
                                "; the latest %.0f ms: message %d of relay %d",
                                costs.maxLatenessMicros() / 1_000.0,
                                costs.latestMessage(),
                                history.messages().get(costs.latestMessage()).relay())));
    }

    @Command(
            name = "scenarios",
            mixinStandardHelpOptions = true,
            description = "Lists the scenarios that come with the program.")
    static final class Scenarios implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            for (String name : ScenarioFiles.BUILT_IN) {
                spec.commandLine()
                        .getOut()
                        .println(String.format(
                                Locale.ROOT,
                                "%-22s %s",
                                name,
                                ScenarioFiles.read(name, ScenarioFiles.builtInText(name))
                                        .scenario()
                                        .description()));
            }
            return CLEAN;
        }
    }

    @Command(name = "check", mixinStandardHelpOptions = true, description = "Finds what is wrong with scenario files.")
    static final class Check implements Callable<Integer> {
        @Parameters(arity = "1..*", paramLabel = "SCENARIO", description = "Files, or names.")
        private List<String> files;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException, SourceFile.UnreadableException {
            boolean clean = true;
            for (String file : files) {
                clean &= read(spec, file).scenario() != null;
            }
            return clean ? CLEAN : FOUND;
        }
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Plays a scenario and tells its service and the rules.")
    static final class Run extends Playing {
        @Option(names = "--seed", defaultValue = "1", description = "The first seed (${DEFAULT-VALUE}).")
        private long seed;

        @Option(
                names = "--seeds",
                defaultValue = "1",
                description = "How many seeds, from the first on (${DEFAULT-VALUE}).")
        private int seeds;

        @Option(names = "--json", paramLabel = "FILE", description = "Figures as JSON, a line for each run.")
        private Path json;

        @Option(names = "--csv", paramLabel = "FILE", description = "Figures as CSV, a row for each run.")
        private Path csv;

        @Option(names = "--page", paramLabel = "FILE", description = "A page with plots of the last run.")
        private Path page;

        @Option(
                names = "--real",
                paramLabel = "DIR",
                description =
                        "By whole relays on loopback, in real time; their files, journals" + " and logs go there.")
        private Path real;

        @Option(
                names = "--follow",
                paramLabel = "MESSAGE",
                description = "All that became of one message, by the number that a broken"
                        + " rule or a late end names it by.")
        private Integer follow;

        @Override
        public Integer call() throws IOException, SourceFile.UnreadableException {
            Scenario scenario = scenario();
            if (scenario == null) {
                return FOUND;
            }
            List<RunResult> all = new ArrayList<>();
            boolean clean = true;
            for (int i = 0; i < seeds; i++) {
                RunResult played = real == null
                        ? ExperimentRunner.run(scenario, seed + i)
                        : real(out(), scenario, seed + i, null, real.resolve("seed" + (seed + i)));
                print(out(), played);
                if (follow != null) {
                    follow(played, follow);
                }
                clean &= played.rules().isClean();
                if (i == seeds - 1) {
                    writePage(page, played);
                }
                all.add(played);
            }
            if (json != null) {
                writeJson(json, all);
            }
            if (csv != null) {
                writeCsv(csv, all);
            }
            return clean ? CLEAN : FOUND;
        }

        private void follow(RunResult played, int number) {
            List<MessageHistory> asks = played.history().messages();
            if (number < 0 || number >= asks.size()) {
                throw wrong("--follow takes a message from 0 to " + (asks.size() - 1) + " of seed " + played.seed());
            }
            MessageHistory ask = asks.get(number);
            out().println(String.format(
                    Locale.ROOT,
                    "  message %d, %s for partner %d: handed in at %d us to relay %d, %d times, due at %d us",
                    number,
                    played.scenario().classes().get(ask.classIndex()).name(),
                    ask.partner(),
                    ask.submittedAtMicros(),
                    ask.relay(),
                    ask.submissions(),
                    ask.deadlineMicros()));
            ask.calls().forEach(p -> out().println(String.format(
                    Locale.ROOT,
                    "    %d us: relay %d sends it to e%d, there at %d us," + " %s, %s",
                    p.sentAtMicros(),
                    p.relay(),
                    p.endpoint(),
                    p.arrivedAtMicros(),
                    p.executed() ? "it runs" : "it does not run",
                    p.response().code())));
            out().println("    "
                    + (ask.completedAtMicros() < 0
                            ? "no end was told"
                            : "an end was told at " + ask.completedAtMicros() + " us")
                    + "; last told " + ask.clientOutcome().code()
                    + (ask.deliveredAtMicros() < 0 ? "" : "; done at " + ask.deliveredAtMicros() + " us"));
        }
    }

    /** Writes a run's page where one is wanted. */
    static void writePage(Path page, RunResult played) throws IOException {
        if (page != null) {
            Files.writeString(
                    page,
                    RunReport.of(played.scenario(), played.seed(), played.service(), played.rules(), played.history()));
        }
    }

    /** Plays by whole relays, shown while it goes on, and says whether the machine kept up. */
    static RunResult real(PrintWriter out, Scenario scenario, long seed, TraceArrivals replayed, Path folder)
            throws IOException {
        LoopbackResult real;
        try (Showing showing = new Showing(out, scenario.name() + ", seed " + seed)) {
            real = ExperimentRunner.runOnLoopback(
                    scenario, seed, replayed, LoopbackRun.RelayProgram.OWN, folder, showing);
        }
        LoopbackRun.Outcome o = real.outcome();
        out.println(String.format(
                Locale.ROOT,
                "messages left late by %.1f ms at p50, %.1f at p99, %.1f at the most%s; %.0f us of CPU" + " a message",
                o.lateness().p50Micros() / 1e3,
                o.lateness().p99Micros() / 1e3,
                o.lateness().maxMicros() / 1e3,
                o.isValid() ? "" : ": INVALID, this machine did not keep up",
                o.cpuMicrosPerMessage()));
        return real.result();
    }

    /** A screen where there is a terminal, and a line every ten seconds where there is none, or it has been left. */
    private static final class Showing implements Consumer<ProgressSnapshot>, AutoCloseable {
        private static final int EVERY = 10;

        private final PrintWriter out;
        private ExperimentScreen screen;
        private int seen;

        Showing(PrintWriter out, String title) throws IOException {
            this.out = out;
            if (System.console() != null) {
                screen = new ExperimentScreen(
                        new DefaultTerminalFactory().setForceTextTerminal(true).createTerminal(), title);
            }
        }

        @Override
        public void accept(ProgressSnapshot s) {
            try {
                if (screen != null && screen.isLeft()) {
                    close();
                }
                if (screen != null) {
                    screen.show(s);
                } else if (seen++ % EVERY == EVERY - 1) {
                    out.println(String.format(
                            Locale.ROOT,
                            "%4.0f s: service so far %.4f, asked %d, delivered %d, refused %d, failed" + " %d, open %d",
                            s.atMicros() / 1e6,
                            s.score(),
                            s.submitted(),
                            s.delivered(),
                            s.rejected(),
                            s.failed(),
                            s.open()));
                    out.flush();
                }
            } catch (IOException e) {
                // A terminal that is gone takes nothing from the run.
                screen = null;
            }
        }

        @Override
        public void close() throws IOException {
            if (screen != null) {
                screen.close();
                screen = null;
            }
        }
    }

    private static void writeJson(Path file, List<RunResult> all) throws IOException {
        try (JsonGenerator json = JSON.createGenerator(Files.newBufferedWriter(file))) {
            json.setRootValueSeparator(null);
            for (RunResult played : all) {
                json.writeStartObject();
                json.writeStringField("scenario", played.scenario().name());
                json.writeNumberField("seed", played.seed());
                for (Map.Entry<String, Double> figure : played.figures().entrySet()) {
                    json.writeNumberField(figure.getKey(), figure.getValue());
                }
                json.writeEndObject();
                json.writeRaw('\n');
            }
        }
    }

    private static void writeCsv(Path file, List<RunResult> all) throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add("scenario,seed," + String.join(",", all.get(0).figures().keySet()));
        all.forEach(p -> lines.add(p.scenario().name() + "," + p.seed() + ","
                + String.join(
                        ",",
                        p.figures().values().stream()
                                .map(v -> Double.toString(v))
                                .toList())));
        Files.write(file, lines);
    }

    /** What experiments share: a folder that is resumed, and seeds. */
    private abstract static class Experiment extends Playing {
        @Option(names = "--seeds", defaultValue = "12", description = "Pairs of runs (${DEFAULT-VALUE}).")
        private int seeds;

        @Option(
                names = "--folder",
                required = true,
                paramLabel = "DIR",
                description = "Where finished runs are kept: a" + " run that is there is not made again.")
        private Path folder;

        @Option(names = "--real", description = "By whole relays on loopback, in real time, one run after the other.")
        private boolean real;

        @Option(
                names = "--core",
                defaultValue = "-1",
                description = "The core that whole relays run on; any if left out.")
        private int core;

        @Option(
                names = "--page",
                paramLabel = "FILE",
                description = "A page with each figure's pairs, effect and interval.")
        private Path page;

        int judge(String name, List<ExperimentSide> sides) throws IOException {
            List<Long> numbers = new ArrayList<>();
            for (long seed = 1; seed <= seeds; seed++) {
                numbers.add(seed);
            }
            boolean worse = false;
            try (ResultsFolder results = ResultsFolder.open(folder)) {
                if (results.truncatedBytes() > 0) {
                    out().println(results.truncatedBytes()
                            + " bytes of a run that was cut off were dropped: it is made again");
                }
                SideRunner player =
                        real ? SideRunners.loopback(core, folder.resolve("relays")) : SideRunners.emulator();
                String kept = real ? name + " by whole relays on core " + core : name;
                Map<String, List<FigureComparison>> all = SideComparison.compare(
                        results, kept, sides, numbers, player, result -> out().println(String.format(
                                Locale.ROOT,
                                "  %s, seed %d: service %.4f",
                                result.side(),
                                result.seed(),
                                result.figures().get("service"))));
                if (page != null) {
                    Files.writeString(
                            page, ComparisonReport.of(name, sides.get(0).name(), all));
                }
                for (Map.Entry<String, List<FigureComparison>> side : all.entrySet()) {
                    out().println(side.getKey() + " beside " + sides.get(0).name() + ":");
                    for (FigureComparison c : side.getValue()) {
                        PairedComparison v = c.comparison();
                        out().println(String.format(
                                Locale.ROOT,
                                "  %-14s %.5g, %.5g beside it: %+.5f [%+.5f, %+.5f] p %.3f, %d pairs:" + " %s",
                                c.figure(),
                                c.secondMean(),
                                c.firstMean(),
                                v.effect(),
                                v.lowerBound(),
                                v.upperBound(),
                                v.pValue(),
                                v.pairs(),
                                v.verdict()));
                        worse |= c.figure().equals("service") && v.verdict() == PairedComparison.Verdict.WORSE;
                    }
                }
            }
            return worse ? FOUND : CLEAN;
        }
    }

    @Command(
            name = "compare",
            mixinStandardHelpOptions = true,
            description =
                    "Plays two scenarios by turns on the same seeds," + " and says whether the second one is better.")
    static final class Compare extends Experiment {
        @Parameters(
                index = "1",
                paramLabel = "OTHER",
                description =
                        "The scenario beside it, such as one with other slots; the same" + " one for another build.")
        private String other;

        @Option(
                names = "--build",
                paramLabel = "JAR",
                description = "The second side is played by another build, its jar or a"
                        + " folder of classes: by its decision module in the emulator, by all of it with --real.")
        private Path build;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException, SourceFile.UnreadableException {
            Scenario first = scenario();
            Scenario second = read(spec, other).scenario();
            return first == null || second == null
                    ? FOUND
                    : judge(
                            first.name() + " | " + second.name() + " | " + other,
                            List.of(new ExperimentSide("A", first, null), new ExperimentSide("B", second, build)));
        }
    }

    @Command(
            name = "sweep",
            mixinStandardHelpOptions = true,
            description =
                    "Plays a scenario with several values of one factor by" + " turns, each judged against the first.")
    static final class Sweep extends Experiment {
        /** What can be swept. */
        enum Factor {
            load,
            slots,
            messages,
            relays
        }

        @Option(names = "--factor", required = true, description = "${COMPLETION-CANDIDATES}.")
        private Factor factor;

        @Option(names = "--values", required = true, split = ",", description = "Such as 1,1.5,2.")
        private List<Double> values;

        @Override
        public Integer call() throws IOException, SourceFile.UnreadableException {
            Scenario scenario = scenario();
            if (scenario == null) {
                return FOUND;
            }
            if (values.size() < 2 || values.stream().anyMatch(v -> !(v > 0))) {
                throw wrong("--values takes two or more numbers above 0");
            }
            judge(
                    scenario.name() + " by " + factor,
                    values.stream()
                            .map(v -> new ExperimentSide(factor + "=" + v, with(scenario, v), null))
                            .toList());
            return CLEAN;
        }

        private Scenario with(Scenario s, double value) {
            Scenario.Fleet f = s.fleet();
            int whole = (int) Math.max(1, Math.round(value));
            return switch (factor) {
                case load -> s.withDurationAndLoad(s.durationMicros(), value);
                case slots -> s.withFleet(new Scenario.Fleet(
                        f.relays(), f.trafficSkew(), whole, f.bufferedMessages(), f.roundMicros(), f.restartMicros()));
                case messages -> s.withFleet(new Scenario.Fleet(
                        f.relays(), f.trafficSkew(), f.concurrentCalls(), whole, f.roundMicros(), f.restartMicros()));
                case relays -> s.withFleet(new Scenario.Fleet(
                        whole,
                        f.trafficSkew(),
                        f.concurrentCalls(),
                        f.bufferedMessages(),
                        f.roundMicros(),
                        f.restartMicros()));
            };
        }
    }

    @Command(
            name = "capacity",
            mixinStandardHelpOptions = true,
            description = "Searches the highest load at which a scenario keeps" + " a service and a latency.")
    static final class CapacityOf extends Playing {
        @Option(names = "--service", defaultValue = "0.95", description = "At least (${DEFAULT-VALUE}).")
        private double service;

        @Option(
                names = "--p99",
                defaultValue = "5000",
                paramLabel = "MS",
                description = "At the most (${DEFAULT-VALUE}).")
        private double p99;

        @Option(
                names = "--real",
                paramLabel = "DIR",
                description = "By whole relays on loopback, whose files go there, and beside"
                        + " them by a bare proxy that keeps and decides nothing.")
        private Path real;

        @Option(
                names = "--core",
                defaultValue = "-1",
                description = "The core that whole relays run on; any if left out.")
        private int core;

        @Option(
                names = "--within",
                defaultValue = "0.05",
                description = "The answer may be off by that share (${DEFAULT-VALUE}).")
        private double within;

        @Override
        public Integer call() throws IOException, SourceFile.UnreadableException {
            Scenario scenario = scenario();
            if (scenario == null) {
                return FOUND;
            }
            if (!(within > 0)) {
                throw wrong("--within takes a share above 0");
            }
            ServiceTarget wanted = new ServiceTarget(service, p99);
            Consumer<String> progress = line -> {
                out().println("  " + line);
                out().flush();
            };
            if (real == null) {
                say(
                        "relays",
                        scenario,
                        CapacityTrials.search(within, CapacityTrials.emulator(scenario, wanted, progress)));
                return CLEAN;
            }
            for (boolean bare : new boolean[] {true, false}) {
                say(
                        bare ? "a bare proxy" : "relays",
                        scenario,
                        CapacityTrials.search(
                                within,
                                CapacityTrials.loopback(
                                        scenario,
                                        wanted,
                                        new LoopbackRun.RelayProgram(new ServedRelay.Program(null, core), bare),
                                        real,
                                        progress)));
            }
            return CLEAN;
        }

        private void say(String who, Scenario scenario, CapacitySearch found) {
            double rate = scenario.classes().stream()
                            .mapToDouble(Scenario.MessageClass::ratePerSecond)
                            .sum()
                    * scenario.loadFactor();
            out().println(String.format(
                    Locale.ROOT,
                    "%s: highest load that held: %.3f (%.1f messages a second); lowest that did not:"
                            + " %.3f; %d runs",
                    who,
                    found.highestPassingLoad(),
                    found.highestPassingLoad() * rate,
                    found.lowestFailingLoad(),
                    found.runs()));
        }
    }

    @Command(
            name = "minimize",
            mixinStandardHelpOptions = true,
            description = "Makes a scenario that breaks a rule smaller, as long"
                    + " as it breaks it, and keeps the small one.")
    static final class Minimize extends Playing {
        @Option(names = "--seed", required = true, description = "The seed by which it breaks the rule.")
        private long seed;

        @Option(names = "--rule", required = true, description = "${COMPLETION-CANDIDATES}.")
        private RuleChecker.Rule rule;

        @Option(
                names = "--cases",
                required = true,
                paramLabel = "DIR",
                description = "The folder of cases in which the small one is" + " kept; lab cases plays them all.")
        private Path cases;

        @Option(names = "--runs", defaultValue = "300", description = "Runs at the most (${DEFAULT-VALUE}).")
        private int runs;

        @Override
        public Integer call() throws IOException, SourceFile.UnreadableException {
            Scenario scenario = scenario();
            if (scenario == null) {
                return FOUND;
            }
            try {
                Scenario small = ExperimentRunner.minimize(scenario, seed, rule, ExperimentRunner.OWN_COMPONENTS, runs);
                Path to = RegressionCases.save(cases, small, seed, rule);
                out().println(to + ": " + small.failures().size() + " of "
                        + scenario.failures().size() + " failures, "
                        + small.groups().size() + " of " + scenario.groups().size() + " groups, "
                        + small.classes().size() + " of "
                        + scenario.classes().size() + " classes, "
                        + small.fleet().relays() + " of " + scenario.fleet().relays()
                        + " relays");
                return CLEAN;
            } catch (IllegalArgumentException e) {
                throw wrong("seed " + seed + " does not break " + rule + ": there is nothing to make smaller");
            }
        }
    }

    @Command(
            name = "cases",
            mixinStandardHelpOptions = true,
            description = "Plays every case of a folder, each by its seed, and tells" + " which break a rule.")
    static final class PlayCases implements Callable<Integer> {
        @Parameters(paramLabel = "DIR", description = "A folder that lab minimize has kept cases in.")
        private Path folder;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException, SourceFile.UnreadableException {
            PrintWriter out = spec.commandLine().getOut();
            int broken = 0;
            List<RegressionCases.Case> cases = RegressionCases.in(folder);
            for (RegressionCases.Case one : cases) {
                Map<RuleChecker.Rule, Integer> found =
                        ExperimentRunner.run(one.scenario(), one.seed()).rules().counts();
                broken += found.isEmpty() ? 0 : 1;
                out.println(
                        one.file().getFileName() + ": " + (found.isEmpty() ? "no rule was broken" : "breaks " + found));
            }
            out.println(broken + " of " + cases.size() + " cases break a rule");
            return broken == 0 ? CLEAN : FOUND;
        }
    }

    @Command(
            name = "reference",
            mixinStandardHelpOptions = true,
            description = "Prints every setting of scenario files as Markdown.")
    static final class Reference implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            spec.commandLine().getOut().print(ScenarioSchema.SCENARIO.reference());
            spec.commandLine().getOut().flush();
            return CLEAN;
        }
    }
}
