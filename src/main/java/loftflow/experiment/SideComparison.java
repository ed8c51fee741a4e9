package loftflow.experiment;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import loftflow.experiment.design.PairedComparison;
import loftflow.experiment.design.RunOrder;
import loftflow.experiment.results.ResultsFolder;
import loftflow.experiment.scenario.ScenarioWriter;

/** Compares sides by runs on the same seeds. Finished runs are stored, and a comparison that is repeated resumes. */
public final class SideComparison {
    private static final int FINGERPRINT_BYTES = 8;
    /** Figures that are better if higher; all others are better if lower. */
    private static final Set<String> HIGHER_IS_BETTER =
            Set.of("service", "whole", "worst-window", "worst-class", "worst-tenant");

    private final List<ExperimentSide> sides;
    private final List<Long> seeds;
    /** The name under which the runs of each side are stored. */
    private final List<String> storedNames = new ArrayList<>();

    private final Map<RunOrder.Run, Map<String, Double>> finished = new LinkedHashMap<>();

    private SideComparison(String experiment, List<ExperimentSide> sides, List<Long> seeds) throws IOException {
        this.sides = sides;
        this.seeds = seeds;
        for (ExperimentSide side : sides) {
            storedNames.add(experiment + " " + fingerprint(side));
        }
    }

    /**
     * Runs what is not finished yet, and compares each side with the first.
     *
     * @param experiment name under which runs are stored, together with a fingerprint of scenario and program, so that
     *     a changed scenario or program is run again
     * @param progress receives each run that has finished
     * @return the comparisons of each further side, by the side's name
     */
    public static Map<String, List<FigureComparison>> compare(
            ResultsFolder folder,
            String experiment,
            List<ExperimentSide> sides,
            List<Long> seeds,
            SideRunner runner,
            Consumer<ResultsFolder.Result> progress)
            throws IOException {
        SideComparison comparison = new SideComparison(experiment, sides, seeds);
        folder.results().forEach(comparison::restore);
        List<RunOrder.Run> order = RunOrder.of(sides.size(), seeds, experiment.hashCode());
        for (RunOrder.Run run : RunOrder.remaining(order, comparison.finished.keySet())) {
            ResultsFolder.Result result = comparison.run(run, runner);
            folder.add(result);
            progress.accept(result);
        }
        return comparison.compareWithFirst();
    }

    private void restore(ResultsFolder.Result result) {
        for (int side = 0; side < sides.size(); side++) {
            if (result.experiment().equals(storedNames.get(side))
                    && result.side().equals(sides.get(side).name())) {
                finished.put(new RunOrder.Run(side, result.seed()), result.figures());
            }
        }
    }

    private ResultsFolder.Result run(RunOrder.Run run, SideRunner runner) throws IOException {
        ExperimentSide side = sides.get(run.side());
        Map<String, Double> figures = runner.run(side, run.seed());
        finished.put(run, figures);
        return new ResultsFolder.Result(storedNames.get(run.side()), side.name(), run.seed(), figures);
    }

    private Map<String, List<FigureComparison>> compareWithFirst() {
        List<String> figures =
                finished.values().iterator().next().keySet().stream().sorted().toList();
        Map<String, List<FigureComparison>> comparisons = new LinkedHashMap<>();
        for (int side = 1; side < sides.size(); side++) {
            List<FigureComparison> compared = new ArrayList<>();
            for (String figure : figures) {
                compared.add(compare(figure, values(0, figure), values(side, figure)));
            }
            comparisons.put(sides.get(side).name(), compared);
        }
        return comparisons;
    }

    private static FigureComparison compare(String figure, List<Double> first, List<Double> second) {
        PairedComparison verdict = PairedComparison.of(first, second, HIGHER_IS_BETTER.contains(figure));
        return new FigureComparison(figure, verdict, first, second);
    }

    private List<Double> values(int side, String figure) {
        return seeds.stream()
                .map(seed -> finished.get(new RunOrder.Run(side, seed)).get(figure))
                .toList();
    }

    /** A fingerprint of the scenario and of the programs that run it. */
    private static String fingerprint(ExperimentSide side) throws IOException {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(ScenarioWriter.of(side.scenario()).getBytes(StandardCharsets.UTF_8));
            PolicyLoader.digest(PolicyLoader.own(), digest);
            if (side.build() != null) {
                PolicyLoader.digest(side.build(), digest);
            }
            return HexFormat.of().formatHex(digest.digest(), 0, FINGERPRINT_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JVM has SHA-256", e);
        }
    }
}
