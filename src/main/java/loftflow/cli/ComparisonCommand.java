package loftflow.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import loftflow.experiment.ComparisonReport;
import loftflow.experiment.ExperimentSide;
import loftflow.experiment.FigureComparison;
import loftflow.experiment.SideComparison;
import loftflow.experiment.SideRunner;
import loftflow.experiment.SideRunners;
import loftflow.experiment.design.PairedComparison;
import loftflow.experiment.results.ResultsFolder;
import picocli.CommandLine.Option;

/** A command that compares sides, with a folder of results from which it resumes. */
abstract class ComparisonCommand extends ScenarioCommand {
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

    @Option(names = "--core", defaultValue = "-1", description = "The core that whole relays run on; any if left out.")
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
            SideRunner player = real ? SideRunners.loopback(core, folder.resolve("relays")) : SideRunners.emulator();
            String kept = real ? name + " by whole relays on core " + core : name;
            Map<String, List<FigureComparison>> all =
                    SideComparison.compare(results, kept, sides, numbers, player, result -> out().println(String.format(
                            Locale.ROOT,
                            "  %s, seed %d: service %.4f",
                            result.side(),
                            result.seed(),
                            result.figures().get("service"))));
            if (page != null) {
                Files.writeString(page, ComparisonReport.of(name, sides.get(0).name(), all));
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
        return worse ? ExperimentCommand.FOUND : ExperimentCommand.CLEAN;
    }
}
