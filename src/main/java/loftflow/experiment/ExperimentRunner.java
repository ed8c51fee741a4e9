package loftflow.experiment;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import loftflow.config.file.Finding;
import loftflow.config.file.TomlFile;
import loftflow.experiment.design.CapacitySearch;
import loftflow.experiment.design.PairedComparison;
import loftflow.experiment.design.RunOrder;
import loftflow.experiment.design.ScenarioMinimizer;
import loftflow.experiment.emulator.EmulatorRun;
import loftflow.experiment.emulator.RelayComponents;
import loftflow.experiment.evaluation.FleetCostReport;
import loftflow.experiment.evaluation.ProgressSnapshot;
import loftflow.experiment.evaluation.RuleChecker;
import loftflow.experiment.evaluation.ServiceReport;
import loftflow.experiment.history.CallCounts;
import loftflow.experiment.history.RunHistory;
import loftflow.experiment.loopback.LoopbackRun;
import loftflow.experiment.results.ResultsFolder;
import loftflow.experiment.scenario.Arrival;
import loftflow.experiment.scenario.ArrivalGenerator;
import loftflow.experiment.scenario.Scenario;
import loftflow.experiment.scenario.ScenarioReader;
import loftflow.experiment.scenario.ScenarioWriter;
import loftflow.experiment.scenario.TraceArrivals;
import loftflow.fake.ServedRelay;
import loftflow.fake.TemporaryFolder;
import loftflow.policy.DefaultDeliveryPolicy;

/** Plays scenarios in the emulator and says what came of it. */
public final class ExperimentRunner {
    /** The program that this is. */
    public static final RelayComponents OWN = RelayComponents.of(DefaultDeliveryPolicy::new);

    private static final int FINGERPRINT = 8;
    private static final Scenario.Rules RULES = Scenario.Rules.USUAL;
    /** The scenarios that come with the program. */
    public static final List<String> NAMED = List.of(
            "quiet-day",
            "harvest-peak",
            "afternoon-outage",
            "half-the-fleet-dies",
            "one-slow-building",
            "brown-out",
            "young-outage",
            "young-burst",
            "full-core",
            "hundred-herd",
            "hundred-roll",
            "hundred-outage");

    private ExperimentRunner() {}

    /** What came of one run; {@code events} is how much happened in the emulator. */
    public record Played(
            Scenario scenario,
            long seed,
            ServiceReport.Report service,
            FleetCostReport costs,
            RuleChecker.Found rules,
            RunHistory history,
            long events) {
        /** The figures that are kept and compared. */
        public Map<String, Double> figures() {
            Map<String, Double> figures = new LinkedHashMap<>();
            figures.put("service", service.figure());
            figures.put("whole", service.whole());
            figures.put("worst-window", service.worstWindow());
            figures.put("worst-class", service.worstClass());
            figures.put("worst-tenant", service.worstTenant());
            figures.put("p50-ms", service.p50());
            figures.put("p99-ms", service.p99());
            figures.put("refused", (double) service.refused());
            figures.put("failed", (double) service.failed());
            figures.put("attempts", service.attempts());
            figures.put("peak-load", service.peakLoad());
            figures.put("checks", (double) costs.counts().total(CallCounts.Of.CHECKS));
            figures.put("calls-refused", (double) costs.counts().total(CallCounts.Of.REFUSED));
            figures.put(
                    "calls-lost",
                    (double) costs.counts().total(CallCounts.Of.UNREACHED)
                            + costs.counts().total(CallCounts.Of.UNANSWERED));
            figures.put("untried", (double) costs.untried());
            figures.put("latest-end-ms", costs.latest() / 1_000.0);
            figures.put("breaches", (double)
                    rules.counts().values().stream().mapToInt(i -> i).sum());
            return figures;
        }
    }

    /**
     * A side of an experiment.
     *
     * @param scenario as it is, or changed
     * @param build a jar or a folder of classes whose decision module plays it; null for this program's own
     */
    public record Side(String name, Scenario scenario, Path build) {}

    /** The text of a scenario that comes with the program. */
    public static String named(String name) throws IOException {
        try (InputStream in = ExperimentRunner.class.getResourceAsStream("/scenarios/" + name + ".toml")) {
            if (in == null) {
                throw new IOException("there is no scenario " + name + ": " + String.join(", ", NAMED));
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Reads a scenario's text. */
    public static ScenarioReader.Read read(String file, String text) {
        List<Finding> grammar = new ArrayList<>();
        return ScenarioReader.read(file, TomlFile.read(file, text, grammar), grammar);
    }

    /** Plays a scenario with the module of this program. */
    public static Played play(Scenario scenario, long seed) {
        return play(scenario, seed, OWN);
    }

    /** Plays a scenario with a program. */
    public static Played play(Scenario scenario, long seed, RelayComponents program) {
        return play(scenario, seed, layout -> new ArrivalGenerator(scenario, layout, seed), program);
    }

    /** Plays a scenario with what a trace asks for in place of its rates. */
    public static Played replay(Scenario scenario, long seed, TraceArrivals replayed) {
        return play(scenario, seed, layout -> replayed.iterator(), OWN);
    }

    private static Played play(
            Scenario scenario,
            long seed,
            Function<Scenario.Layout, Iterator<Arrival>> arrivals,
            RelayComponents program) {
        EmulatorRun.Outcome outcome = new EmulatorRun(scenario, RULES, seed, arrivals, program).run();
        return judged(scenario, seed, outcome.history(), outcome.events());
    }

    private static Played judged(Scenario scenario, long seed, RunHistory history, long events) {
        return new Played(
                scenario,
                seed,
                ServiceReport.of(scenario, RULES, history),
                FleetCostReport.of(history),
                RuleChecker.of(scenario, RULES, history),
                history,
                events);
    }

    /** A run by whole relays, with how late its messages left and what the relays used. */
    public record Real(Played played, LoopbackRun.Outcome outcome) {}

    /**
     * Plays a scenario by whole relays on loopback, in real time.
     *
     * @param fleet what runs as each relay
     * @param folder for the relays' files, empty or not there yet
     * @param replayed what to send in place of what its rates ask for, or null
     * @param progress is shown once a second how the run stands
     */
    public static Real real(
            Scenario scenario,
            long seed,
            TraceArrivals replayed,
            LoopbackRun.Fleet fleet,
            Path folder,
            Consumer<ProgressSnapshot> progress)
            throws IOException {
        Scenario.Layout layout = scenario.layout();
        Files.createDirectories(folder);
        try (LoopbackRun run = new LoopbackRun(scenario, RULES, seed, fleet, folder)) {
            LoopbackRun.Outcome outcome = run.play(
                    replayed == null ? new ArrivalGenerator(scenario, layout, seed) : replayed.iterator(),
                    at -> {},
                    progress);
            return new Real(judged(scenario, seed, outcome.history(), 0), outcome);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /**
     * What is said of one figure of two sides.
     *
     * @param first the first side's figures, seed by seed
     * @param second the other side's, in the same order
     */
    public record Compared(String figure, PairedComparison verdict, List<Double> first, List<Double> second) {
        public double firstMean() {
            return mean(first);
        }

        public double secondMean() {
            return mean(second);
        }

        private static double mean(List<Double> values) {
            return values.stream().mapToDouble(v -> v).average().orElse(0);
        }
    }

    /** Figures that are better where they are higher; the others are better where they are lower. */
    private static final Set<String> HIGHER = Set.of("service", "whole", "worst-window", "worst-class", "worst-tenant");

    /** Plays one side of an experiment by one seed. */
    public interface Player {
        /** The figures of a run. */
        Map<String, Double> play(Side side, long seed) throws IOException;
    }

    /** Plays in the emulator, each build's decision module by itself. */
    public static Player emulator() {
        Map<Path, RelayComponents> programs = new HashMap<>();
        return (side, seed) -> {
            RelayComponents program = OWN;
            if (side.build() != null) {
                program = programs.get(side.build());
                if (program == null) {
                    program = RelayComponents.of(PolicyLoader.at(side.build()));
                    programs.put(side.build(), program);
                }
            }
            return ExperimentRunner.play(side.scenario(), seed, program).figures();
        };
    }

    /** Runs of whole relays that are too late are made again, so many times. */
    private static final int LATE_RUNS = 3;

    /**
     * Plays by whole relays, each build's classes by themselves; their CPU for a message is a figure too.
     *
     * @param core the core of a fleet's relays; negative for any
     * @param folder for the relays' files; those of a run that has finished are deleted
     */
    public static Player relays(int core, Path folder) {
        return (side, seed) -> {
            LoopbackRun.Fleet fleet = new LoopbackRun.Fleet(new ServedRelay.Program(side.build(), core), false);
            for (int run = 1; run <= LATE_RUNS; run++) {
                Real real = realOnce(side.scenario(), seed, fleet, folder);
                if (real.outcome().isValid()) {
                    Map<String, Double> figures = real.played().figures();
                    figures.put("cpu-us", real.outcome().cpu());
                    return figures;
                }
            }
            throw new IOException("this machine can't keep up with "
                    + side.scenario().name() + ": " + LATE_RUNS + " runs sent too late to be compared");
        };
    }

    private static Real realOnce(Scenario scenario, long seed, LoopbackRun.Fleet fleet, Path folder)
            throws IOException {
        try (TemporaryFolder run = TemporaryFolder.in(folder, "run")) {
            return real(scenario, seed, null, fleet, run.folder(), snapshot -> {});
        }
    }

    /**
     * Runs what is left of an experiment and judges each side against the first.
     *
     * @param experiment the name under which its runs are kept; what is run is part of their name too, so that a
     *     scenario or a
     *     program that has changed is run anew
     * @param progress hears of each run that has finished
     * @return for each further side its verdicts, by the side's name
     */
    public static Map<String, List<Compared>> compare(
            ResultsFolder folder,
            String experiment,
            List<Side> sides,
            List<Long> seeds,
            Player player,
            Consumer<ResultsFolder.Result> progress)
            throws IOException {
        Map<RunOrder.Run, Map<String, Double>> finished = new LinkedHashMap<>();
        List<String> names = new ArrayList<>();
        for (Side side : sides) {
            names.add(experiment + " " + fingerprint(side));
        }
        for (ResultsFolder.Result result : folder.results()) {
            for (int side = 0; side < sides.size(); side++) {
                if (result.experiment().equals(names.get(side))
                        && result.side().equals(sides.get(side).name())) {
                    finished.put(new RunOrder.Run(side, result.seed()), result.figures());
                }
            }
        }
        for (RunOrder.Run run :
                RunOrder.left(RunOrder.of(sides.size(), seeds, experiment.hashCode()), finished.keySet())) {
            Side side = sides.get(run.side());
            Map<String, Double> figures = player.play(side, run.seed());
            ResultsFolder.Result result =
                    new ResultsFolder.Result(names.get(run.side()), side.name(), run.seed(), figures);
            folder.add(result);
            finished.put(run, figures);
            progress.accept(result);
        }
        Map<String, List<Compared>> verdicts = new LinkedHashMap<>();
        for (int side = 1; side < sides.size(); side++) {
            int of = side;
            List<Compared> compared = new ArrayList<>();
            for (String figure : finished.values().iterator().next().keySet().stream()
                    .sorted()
                    .toList()) {
                List<Double> first = figures(finished, 0, seeds, figure);
                List<Double> second = figures(finished, of, seeds, figure);
                compared.add(new Compared(
                        figure, PairedComparison.of(first, second, HIGHER.contains(figure)), first, second));
            }
            verdicts.put(sides.get(side).name(), compared);
        }
        return verdicts;
    }

    /** Tells one scenario and program from another. */
    private static String fingerprint(Side side) throws IOException {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(ScenarioWriter.of(side.scenario()).getBytes(StandardCharsets.UTF_8));
            PolicyLoader.digest(PolicyLoader.own(), digest);
            if (side.build() != null) {
                PolicyLoader.digest(side.build(), digest);
            }
            return HexFormat.of().formatHex(digest.digest(), 0, FINGERPRINT);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JVM has SHA-256", e);
        }
    }

    private static List<Double> figures(
            Map<RunOrder.Run, Map<String, Double>> finished, int side, List<Long> seeds, String figure) {
        return seeds.stream()
                .map(seed -> finished.get(new RunOrder.Run(side, seed)).get(figure))
                .toList();
    }

    /** Tells whether a load, in multiples of a scenario's own, holds what is asked for, and says what came of it. */
    public interface Trial {
        /** One run at a load. */
        boolean holds(double load, long seed) throws IOException;
    }

    /** What a load is to keep; {@code p99} in milliseconds. */
    public record Wanted(double service, double p99) {
        boolean isKept(Played played) {
            return played.service().figure() >= service
                    && played.service().p99() <= p99
                    && played.rules().isClean();
        }
    }

    /** Runs of the emulator at a load. */
    public static Trial emulated(Scenario scenario, Wanted wanted, Consumer<String> progress) {
        return (load, seed) -> {
            Played played = play(scenario.withSpan(scenario.span(), scenario.load() * load), seed);
            boolean held = wanted.isKept(played);
            progress.accept(said(load, seed, played, held));
            return held;
        };
    }

    /**
     * Runs of whole relays at a load. One whose messages leave late does not hold: the machine is at its end, and that
     * is said.
     */
    public static Trial played(
            Scenario scenario, Wanted wanted, LoopbackRun.Fleet fleet, Path folder, Consumer<String> progress) {
        return (load, seed) -> {
            Real real;
            try {
                real = realOnce(scenario.withSpan(scenario.span(), scenario.load() * load), seed, fleet, folder);
            } catch (LoopbackRun.EndedException e) {
                progress.accept(
                        String.format(Locale.ROOT, "load %.3f seed %d: not held, %s", load, seed, e.getMessage()));
                return false;
            }
            boolean held = real.outcome().isValid() && wanted.isKept(real.played());
            progress.accept(said(load, seed, real.played(), held)
                    + String.format(
                            Locale.ROOT,
                            ", %.0f us of CPU a message%s",
                            real.outcome().cpu(),
                            real.outcome().isValid() ? "" : ", as this machine did not keep up"));
            return held;
        };
    }

    private static String said(double load, long seed, Played played, boolean held) {
        return String.format(
                Locale.ROOT,
                "load %.3f seed %d: service %.3f, p99 %.0f ms, %s",
                load,
                seed,
                played.service().figure(),
                played.service().p99(),
                held ? "held" : "not held");
    }

    /** The highest load that a trial holds. */
    public static CapacitySearch capacity(double tolerance, Trial trial) throws IOException {
        CapacitySearch search = new CapacitySearch(1, tolerance, 0.01, 100);
        for (long seed = 1; !search.isDone(); seed++) {
            search.ran(trial.holds(search.next(), seed));
        }
        return search;
    }

    /** The smallest scenario that still breaks a rule by one seed. */
    public static Scenario minimize(
            Scenario scenario, long seed, RuleChecker.Rule rule, RelayComponents program, int most) {
        return new ScenarioMinimizer(
                        s -> play(s, seed, program).rules().counts().containsKey(rule), most)
                .of(scenario);
    }
}
