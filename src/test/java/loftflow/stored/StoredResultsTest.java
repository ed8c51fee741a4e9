package loftflow.stored;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import loftflow.experiment.results.ResultsFolder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A folder of experiment results that an earlier build left. */
class StoredResultsTest {
    private static final String NAME = "results.log";
    private static final List<ResultsFolder.Result> RESULTS = List.of(
            new ResultsFolder.Result(
                    "quiet-day", "base", 11, Map.of("delivered", 0.75, "p99", 1234.5, "none", Double.NaN)),
            new ResultsFolder.Result("quiet-day", "other \"side\"", -5, Map.of("endless", Double.POSITIVE_INFINITY)),
            new ResultsFolder.Result("brown-out", "base", 12, Map.of()));

    @TempDir
    Path folder;

    @Test
    void resultsOfTheEarlierBuildAreRead() throws IOException {
        try (ResultsFolder results = ResultsFolder.open(StoredData.copy("results", folder))) {
            assertEquals(RESULTS, results.results());
            assertEquals(0, results.truncatedBytes());
        }
    }

    @Test
    void sameResultsWriteTheBytesOfTheEarlierBuild() throws IOException {
        try (ResultsFolder results = ResultsFolder.open(folder)) {
            for (ResultsFolder.Result result : RESULTS) {
                results.add(result);
            }
        }
        assertArrayEquals(
                Files.readAllBytes(StoredData.original("results").resolve(NAME)),
                Files.readAllBytes(folder.resolve(NAME)));
        assertEquals(List.of("lock", NAME), StoredData.files(folder));
    }

    @Test
    void tornTailLosesItsResultAlone() throws IOException {
        Path copy = StoredData.copy("results", folder);
        StoredData.tear(copy.resolve(NAME), 1);
        try (ResultsFolder results = ResultsFolder.open(copy)) {
            assertEquals(RESULTS.subList(0, 2), results.results());
            assertEquals(57, results.truncatedBytes());
        }
        assertEquals(198, Files.size(copy.resolve(NAME)));
    }

    /** A field of an unknown name counts as a figure, and one that is no number is refused. */
    @Test
    void unknownFieldIsRefused() throws IOException {
        Path copy = StoredData.copy("results", folder);
        byte[] record = "{\"experiment\":\"x\",\"new\":\"y\",\"seed\":1}".getBytes(StandardCharsets.UTF_8);
        StoredData.appendRecord(copy.resolve(NAME), record);
        assertThrows(NumberFormatException.class, () -> ResultsFolder.open(copy));
    }
}
