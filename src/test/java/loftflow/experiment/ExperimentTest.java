package loftflow.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import loftflow.experiment.design.CapacitySearch;
import loftflow.experiment.design.PairedComparison;
import loftflow.experiment.design.RunOrder;
import loftflow.experiment.design.SampleStatistics;
import loftflow.experiment.results.ResultsFolder;
import loftflow.experiment.scenario.RandomStreams;
import loftflow.experiment.scenario.Scenario;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What is run next, what runs say, and what is kept of them. */
class ExperimentTest {
    @TempDir
    Path folder;

    /**
     * Two sides that are the same, or differ by so much of the noise: how often a difference is found. Of sides that
     * are
     * the same it is five in a hundred at the most.
     */
    @ParameterizedTest
    @CsvSource({"6, 0, 0, 0.07", "12, 0, 0, 0.07", "30, 0, 0, 0.07", "12, 1.5, 0.9, 1", "30, 0.8, 0.9, 1", "5, 10, 0, 0"
    })
    void verdictFindsDifferencesAndFewThatAreNone(int pairs, double shift, double least, double most) {
        UniformRandomProvider random = RandomStreams.of(7, "noise", pairs);
        var noise = ZigguratSampler.NormalizedGaussian.of(random);
        int found = 0;
        int covered = 0;
        for (int i = 0; i < 400; i++) {
            List<Double> before = new ArrayList<>();
            List<Double> after = new ArrayList<>();
            for (int k = 0; k < pairs; k++) {
                // A seed makes both sides good or bad together.
                before.add(10 * noise.sample());
                after.add(before.get(k) + shift + noise.sample());
            }
            PairedComparison verdict = PairedComparison.of(before, after, true);
            found += verdict.verdict() == PairedComparison.Verdict.BETTER
                            || verdict.verdict() == PairedComparison.Verdict.WORSE
                    ? 1
                    : 0;
            covered += verdict.lowerBound() <= shift && shift <= verdict.upperBound() ? 1 : 0;
            assertTrue(pairs >= PairedComparison.MIN_PAIRS
                    == (verdict.verdict() != PairedComparison.Verdict.TOO_FEW_RUNS));
        }
        assertTrue(found / 400.0 >= least && found / 400.0 <= most, found + " of 400");
        assertTrue(pairs < 12 || covered / 400.0 > 0.88, "the interval holds the truth in " + covered + " of 400");
    }

    @Test
    void directionCountsAndNoDifferenceAtAllIsNone() {
        List<Double> low = List.of(1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0);
        List<Double> high = List.of(2.0, 3.1, 4.0, 5.2, 6.0, 7.0, 8.3);
        assertEquals(
                PairedComparison.Verdict.BETTER,
                PairedComparison.of(low, high, true).verdict());
        assertEquals(
                PairedComparison.Verdict.WORSE,
                PairedComparison.of(low, high, false).verdict());
        assertEquals(
                PairedComparison.Verdict.NO_DIFFERENCE_SHOWN,
                PairedComparison.of(low, low, true).verdict());
        assertThrows(IllegalArgumentException.class, () -> PairedComparison.of(low, List.of(1.0), true));
        SampleStatistics spread = SampleStatistics.of(low);
        assertEquals(
                List.of(4.0, 1.0, 7.0, 1.5),
                List.of(spread.mean(), spread.min(), spread.max(), spread.relativeRange()));
        assertTrue(
                spread.lowerBound() > 1.5
                        && spread.lowerBound() < 4
                        && spread.upperBound() > 4
                        && spread.upperBound() < 6.5,
                spread.toString());
    }

    @Test
    void everySideFollowsEveryOtherAsOftenInOneOrderAsInTheOther() {
        List<Long> seeds = LongStream.range(0, 20).boxed().toList();
        List<RunOrder.Run> runs = RunOrder.of(3, seeds, 5);
        assertEquals(runs, RunOrder.of(3, seeds, 5));
        assertEquals(60, new HashSet<>(runs).size());
        int[][] ahead = new int[3][3];
        for (int block = 0; block < 20; block++) {
            for (int i = 0; i < 3; i++) {
                for (int k = i + 1; k < 3; k++) {
                    ahead[runs.get(block * 3 + i).side()][
                            runs.get(block * 3 + k).side()]++;
                }
            }
        }
        assertEquals("[[0, 10, 10], [10, 0, 10], [10, 10, 0]]", Arrays.deepToString(ahead));
    }

    /** An edge anywhere is found to the tolerance, also where runs near it hold by chance. */
    @ParameterizedTest
    @CsvSource({"0.37, 0", "1, 0", "7.9, 0", "0.37, 0.05", "1.3, 0.05", "7.9, 0.05", "300, 0", "0.001, 0"})
    void capacityFindsTheEdge(double edge, double noise) {
        double worst = 0;
        int runs = 0;
        for (int i = 0; i < 100; i++) {
            UniformRandomProvider random = RandomStreams.of(i, "edge", 0);
            var drawn = ZigguratSampler.NormalizedGaussian.of(random);
            CapacitySearch search = new CapacitySearch(1, 0.05, 0.01, 100);
            while (!search.isDone()) {
                assertTrue(search.runs() < 200, "it ends");
                search.recordRun(search.nextLoad() * (1 + noise * drawn.sample()) <= edge);
            }
            runs += search.runs();
            double truth = Math.max(0, Math.min(100, edge));
            worst = Math.max(
                    worst,
                    edge < 0.01 ? search.highestPassingLoad() : Math.abs(search.highestPassingLoad() / truth - 1));
        }
        assertTrue(worst <= 0.05 + 3.5 * noise, "off by " + worst);
        assertTrue(runs / 100 < 45, runs / 100 + " runs each");
    }

    private static List<ExperimentSide> same(String a, String b) throws IOException {
        Scenario scenario = ScenarioFiles.read("s", ScenarioFiles.builtInText("one-slow-building"))
                .scenario()
                .withDurationAndLoad(25_000_000, 1);
        return List.of(new ExperimentSide(a, scenario, null), new ExperimentSide(b, scenario, null));
    }

    /**
     * A kill after any byte of a record: what is whole stays, what is torn is run again, and the verdict is the same.
     */
    @Test
    void experimentThatIsCutOffAnywhereGoesOnWithoutRepeatingWhatIsFinished() throws IOException {
        List<Long> seeds = List.of(1L, 2L, 3L);
        List<ResultsFolder.Result> made = new ArrayList<>();
        Map<String, List<FigureComparison>> whole;
        try (ResultsFolder results = ResultsFolder.open(folder)) {
            whole = SideComparison.compare(results, "x", same("A", "B"), seeds, SideRunners.emulator(), made::add);
            assertThrows(IOException.class, () -> ResultsFolder.open(folder), "two at once");
        }
        assertEquals(6, made.size());
        byte[] all = Files.readAllBytes(folder.resolve("results.log"));
        for (int cut = all.length - 1; cut > 0; cut -= all.length / 7) {
            Path again = folder.resolve("cut" + cut);
            Files.createDirectories(again);
            Files.write(again.resolve("results.log"), Arrays.copyOf(all, cut));
            List<ResultsFolder.Result> remade = new ArrayList<>();
            try (ResultsFolder results = ResultsFolder.open(again)) {
                int kept = results.results().size();
                assertEquals(made.subList(0, kept), results.results());
                assertEquals(
                        whole,
                        SideComparison.compare(
                                results, "x", same("A", "B"), seeds, SideRunners.emulator(), remade::add));
                assertEquals(made.subList(kept, 6), remade);
            }
        }
        try (ResultsFolder results = ResultsFolder.open(folder)) {
            List<ResultsFolder.Result> other = new ArrayList<>();
            List<ExperimentSide> sides = same("A", "B");
            SideComparison.compare(
                    results,
                    "x",
                    List.of(
                            sides.get(0),
                            new ExperimentSide(
                                    "B", sides.get(1).scenario().withDurationAndLoad(25_000_000, 1.1), null)),
                    seeds,
                    SideRunners.emulator(),
                    other::add);
            assertEquals(3, other.size(), "a side that has changed is run anew, the other one is not");
        }
    }

    /** Another build's module plays its side; the same build as a folder is the same program. */
    @Test
    void anotherBuildPlaysItsSide() throws IOException {
        Scenario scenario = same("A", "B").get(0).scenario();
        Path own = Path.of("target/classes");
        try (ResultsFolder results = ResultsFolder.open(folder)) {
            Map<String, List<FigureComparison>> verdicts = SideComparison.compare(
                    results,
                    "x",
                    List.of(new ExperimentSide("A", scenario, null), new ExperimentSide("B", scenario, own)),
                    LongStream.range(0, 7).boxed().toList(),
                    SideRunners.emulator(),
                    result -> {});
            assertTrue(
                    verdicts.get("B").stream()
                            .allMatch(c -> c.comparison().verdict() == PairedComparison.Verdict.NO_DIFFERENCE_SHOWN
                                    && c.comparison().effect() == 0),
                    verdicts.toString());
            // Any class of it that is another makes it another program, also one that the module's main class does not
            // show.
            Path changed = folder.resolve("build/loftflow/policy");
            Files.createDirectories(changed);
            try (var files = Files.list(own.resolve("loftflow/policy"))) {
                for (Path file :
                        files.filter(f -> f.toString().endsWith(".class")).toList()) {
                    Files.copy(file, changed.resolve(file.getFileName()));
                }
            }
            Path build = folder.resolve("build");
            assertEquals(1, remade(results, scenario, build));
            assertEquals(0, remade(results, scenario, build));
            Files.copy(own.resolve("loftflow/json/JsonFields.class"), changed.resolve("Route$Other.class"));
            assertEquals(1, remade(results, scenario, build));
            assertThrows(
                    IOException.class,
                    () -> SideComparison.compare(
                            results,
                            "x",
                            List.of(new ExperimentSide("A", scenario, folder)),
                            List.of(1L),
                            SideRunners.emulator(),
                            result -> {}));
        }
    }

    /** How many runs a build's side takes that are not there. */
    private static int remade(ResultsFolder results, Scenario scenario, Path build) throws IOException {
        List<ResultsFolder.Result> made = new ArrayList<>();
        SideComparison.compare(
                results,
                "x",
                List.of(new ExperimentSide("A", scenario, null), new ExperimentSide("B", scenario, build)),
                List.of(0L),
                SideRunners.emulator(),
                made::add);
        return made.size();
    }

    /** Its first burst is refused: 0.64 of its worth was delivered when each refusal of it cut the pace again. */
    @Test
    void youngRelayWithABacklogFindsItsPace() throws IOException {
        Scenario scenario = ScenarioFiles.read("young-burst", ScenarioFiles.builtInText("young-burst"))
                .scenario();
        RunResult played = ExperimentRunner.run(scenario, 1);
        assertTrue(
                played.service().overall() > 0.8, "service " + played.service().overall());
        assertTrue(played.rules().isClean());
        assertTrue(played.service().peakLoad() < 1, "load " + played.service().peakLoad());
    }
}
