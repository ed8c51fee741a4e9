package pipitstage.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import pipitstage.Policy;
import pipitstage.config.file.SourceFile;
import pipitstage.config.plan.Declared;
import pipitstage.lab.Lab;
import pipitstage.lab.experiment.Spread;
import pipitstage.lab.scenario.Replayed;
import pipitstage.lab.scenario.Scenario;
import pipitstage.trace.Arrivals;
import pipitstage.trace.Call;
import pipitstage.trace.Columns;
import pipitstage.trace.Mapping;
import pipitstage.trace.Tally;

/** Replays a public trace against a scenario's partners and failures. */
@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        description = {
            "Replays a trace against a scenario: the trace says when"
                    + " messages come and how they hang together, the scenario says to whom they go and what goes wrong.",
            "Exit code 1 where" + " a row is rejected or a rule was broken, 2 where a file can't be read."
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
        Scenario read = LabCommand.read(spec, scenario).scenario();
        if (read == null) {
            return LabCommand.FOUND;
        }
        PrintWriter out = spec.commandLine().getOut();
        try {
            read = app == null ? read : with(read, TraceCommand.declared(app));
            Mapping mapping = new Mapping(scheme(read), seed, files.from(), speed);
            Replayed replayed = new Replayed(read, seed);
            Tally tally = files.read(row -> {
                Call call = mapping.call(row);
                replayed.add(call.at(), call.type(), call.tenant(), call.destination());
            });
            TraceCommand.print(tally, out);
            if (replayed.size() == 0) {
                out.println("nothing is left to replay");
                return LabCommand.FOUND;
            }
            Scenario lasting = replayed.lasting(read);
            out.println(String.format(Locale.ROOT, "%d messages in %.1f s", replayed.size(), replayed.last() / 1e6));
            List<Double> services = new ArrayList<>();
            boolean clean = tally.rowsRejected() == 0;
            for (int run = 1; run <= runs; run++) {
                Lab.Played played = real == null
                        ? Lab.replay(lasting, seed, replayed)
                        : LabCommand.real(out, lasting, seed, replayed, runs == 1 ? real : real.resolve("run" + run));
                LabCommand.print(out, played);
                if (run == runs) {
                    LabCommand.writePage(page, played);
                }
                services.add(played.service().figure());
                clean &= played.rules().isClean();
            }
            if (runs > 1) {
                Spread s = Spread.of(services);
                out.println(String.format(
                        Locale.ROOT,
                        "service in %d runs: mean %.4f [%.4f, %.4f], from %.4f to %.4f: %.2f%% apart",
                        s.runs(),
                        s.mean(),
                        s.low(),
                        s.high(),
                        s.least(),
                        s.most(),
                        s.range() * 100));
            }
            return clean ? LabCommand.CLEAN : LabCommand.FOUND;
        } catch (Arrivals.LateException | Columns.NoSuchColumnException e) {
            return TraceCommand.unreadable(spec, e);
        } catch (IllegalArgumentException e) {
            throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage());
        }
    }

    /** The scenario with an application's programs before it. */
    private static Scenario with(Scenario scenario, Declared declared) {
        List<Scenario.MessageClass> classes = new ArrayList<>();
        for (Declared.MessageClass c : declared.classes()) {
            Scenario.MessageClass type = new Scenario.MessageClass(
                    c.name(),
                    Policy.Repeat.valueOf(c.repeat().name()),
                    c.keyWindow(),
                    c.keysByBuilding(),
                    c.wanted(),
                    c.deadline(),
                    c.worth(),
                    c.lateWorth(),
                    c.peakRate(),
                    c.to());
            if (scenario.groups().stream().noneMatch(g -> g.weight() > 0 && type.goesTo(g.kind()))) {
                throw new IllegalArgumentException("class " + c.name() + " of " + declared.name() + " goes to "
                        + String.join(", ", c.to()) + ": " + scenario.name() + " has no partners of that kind");
            }
            classes.add(type);
        }
        return scenario.withPrograms(
                classes,
                declared.tenants().stream()
                        .map(t -> new Scenario.Tenant(t.name(), t.rate(), t.rate()))
                        .toList());
    }

    private static Mapping.Scheme scheme(Scenario s) {
        Scenario.Layout layout = s.layout();
        return new Mapping.Scheme(
                s.classes().stream()
                        .map(c -> new Mapping.Type(
                                c.name(),
                                c.rate(),
                                c.repeat() == Policy.Repeat.BY_KEY,
                                1,
                                1,
                                c.deadline(),
                                layout.partners().stream()
                                        .filter(p -> c.goesTo(p.group().kind()) && p.weight() > 0)
                                        .map(Scenario.Partner::number)
                                        .toList()))
                        .toList(),
                s.tenants().stream().map(Scenario.Tenant::name).toList());
    }
}
