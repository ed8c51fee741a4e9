package loftflow.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import loftflow.config.file.SourceFile;
import loftflow.config.plan.Declaration;
import loftflow.config.tool.RelayFile;
import loftflow.experiment.ExperimentRunner;
import loftflow.experiment.RunResult;
import loftflow.experiment.design.SampleStatistics;
import loftflow.experiment.scenario.Scenario;
import loftflow.experiment.scenario.TraceArrivals;
import loftflow.policy.api.Idempotency;
import loftflow.trace.ArrivalSorter;
import loftflow.trace.ColumnMapping;
import loftflow.trace.RowTally;
import loftflow.trace.TraceMapping;
import loftflow.trace.TraceMessage;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Replays a public trace against a scenario's partners and failures. */
@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        description = {
            "Replays a trace against a scenario: the trace says when messages come and how they hang together,"
                    + " the scenario says to whom they go and what goes wrong.",
            "Exit code 1 where a row is rejected or a rule was broken, 2 where a file can't be read."
        })
final class ReplayCommand implements Callable<Integer> {
    @Mixin
    private TraceCommand.Files files;

    @Option(
            names = "--scenario",
            required = true,
            paramLabel = "SCENARIO",
            description = "A file, or the name of one that comes"
                    + " with the program; its classes' rates are the shares of the classes.")
    private String scenario;

    @Option(
            names = "--app",
            paramLabel = "APP.toml",
            description = "An application whose classes and tenants go in place of the"
                    + " scenario's; its partners are the scenario's, by their kinds.")
    private Path app;

    @Option(
            names = "--seed",
            defaultValue = "1",
            paramLabel = "N",
            description = "Another one maps flows elsewhere, and draws other" + " failures (1).")
    private long seed;

    @Option(
            names = "--speed",
            defaultValue = "1",
            paramLabel = "X",
            description = "How many times as fast as the trace (1).")
    private double speed;

    @Option(names = "--page", paramLabel = "FILE", description = "A page with plots.")
    private Path page;

    @Option(
            names = "--real",
            paramLabel = "DIR",
            description = "By whole relays on loopback, in real time; their files, journals and" + " logs go there.")
    private Path real;

    @Option(
            names = "--runs",
            defaultValue = "1",
            paramLabel = "N",
            description = "Plays it so many times, and tells how far apart the" + " runs lie (1).")
    private int runs;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, SourceFile.UnreadableException {
        if (runs < 1) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--runs takes 1 or more");
        }
        Scenario read = ScenarioCommand.read(spec, scenario).scenario();
        if (read == null) {
            return ExperimentCommand.FOUND;
        }
        PrintWriter out = spec.commandLine().getOut();
        try {
            read = app == null ? read : with(read, TraceCommand.declared(app));
            TraceMapping mapping = new TraceMapping(scheme(read), seed, files.from(), speed);
            TraceArrivals replayed = new TraceArrivals(read, seed);
            RowTally tally = files.read(row -> {
                TraceMessage call = mapping.call(row);
                replayed.add(call.at(), call.type(), call.tenant(), call.destination());
            });
            TraceCommand.print(tally, out);
            if (replayed.size() == 0) {
                out.println("nothing is left to replay");
                return ExperimentCommand.FOUND;
            }
            Scenario lasting = replayed.withTraceDuration(read);
            out.println(String.format(
                    Locale.ROOT, "%d messages in %.1f s", replayed.size(), replayed.lastAtMicros() / 1e6));
            List<Double> services = new ArrayList<>();
            boolean clean = tally.rowsRejected() == 0;
            for (int run = 1; run <= runs; run++) {
                RunResult played = real == null
                        ? ExperimentRunner.replay(lasting, seed, replayed)
                        : LoopbackRunner.run(
                                out, lasting, seed, replayed, runs == 1 ? real : real.resolve("run" + run));
                new RunPrinter(out).print(played);
                if (run == runs) {
                    RunFiles.writePage(page, played);
                }
                services.add(played.service().score());
                clean &= played.rules().isClean();
            }
            if (runs > 1) {
                SampleStatistics s = SampleStatistics.of(services);
                out.println(String.format(
                        Locale.ROOT,
                        "service in %d runs: mean %.4f [%.4f, %.4f], from %.4f to %.4f: %.2f%% apart",
                        s.runs(),
                        s.mean(),
                        s.lowerBound(),
                        s.upperBound(),
                        s.min(),
                        s.max(),
                        s.relativeRange() * 100));
            }
            return clean ? ExperimentCommand.CLEAN : ExperimentCommand.FOUND;
        } catch (ArrivalSorter.LateException | ColumnMapping.NoSuchColumnException e) {
            return TraceCommand.unreadable(spec, e);
        } catch (IllegalArgumentException e) {
            throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage());
        }
    }

    /** The scenario with an application's programs before it. */
    private static Scenario with(Scenario scenario, Declaration declared) {
        List<Scenario.MessageClass> classes = new ArrayList<>();
        for (Declaration.MessageClass c : declared.classes()) {
            Scenario.MessageClass type = new Scenario.MessageClass(
                    c.name(),
                    RelayFile.idempotency(c.idempotency()),
                    c.keyWindowMicros(),
                    c.isKeyScopedToZone(),
                    c.latencyObjectiveMicros(),
                    c.deadlineMicros(),
                    c.priorityWeight(),
                    c.lateWeight(),
                    c.peakRatePerSecond(),
                    c.destinationKinds());
            if (scenario.groups().stream().noneMatch(g -> g.trafficWeight() > 0 && type.goesTo(g.kind()))) {
                throw new IllegalArgumentException("class " + c.name() + " of " + declared.name() + " goes to "
                        + String.join(", ", c.destinationKinds()) + ": " + scenario.name()
                        + " has no partners of that kind");
            }
            classes.add(type);
        }
        return scenario.withTraffic(
                classes,
                declared.tenants().stream()
                        .map(t -> new Scenario.Tenant(t.name(), t.quotaPerSecond(), t.quotaPerSecond()))
                        .toList());
    }

    private static TraceMapping.Scheme scheme(Scenario s) {
        Scenario.Layout layout = s.layout();
        return new TraceMapping.Scheme(
                s.classes().stream()
                        .map(c -> new TraceMapping.Type(
                                c.name(),
                                c.ratePerSecond(),
                                c.idempotency() == Idempotency.IDEMPOTENT_BY_KEY,
                                1,
                                1,
                                c.deadlineMicros(),
                                layout.partners().stream()
                                        .filter(p -> c.goesTo(p.group().kind()) && p.trafficWeight() > 0)
                                        .map(Scenario.Partner::number)
                                        .toList()))
                        .toList(),
                s.tenants().stream().map(Scenario.Tenant::name).toList());
    }
}
