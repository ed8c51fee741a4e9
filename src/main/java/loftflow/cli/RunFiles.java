package loftflow.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import loftflow.experiment.RunResult;
import loftflow.experiment.results.RunReport;

/** Writes the results of runs as JSON, CSV and HTML. */
final class RunFiles {
    private static final JsonFactory JSON = new JsonFactory();

    private RunFiles() {}

    /** Writes the HTML report of a run; without effect where {@code page} is null. */
    static void writePage(Path page, RunResult result) throws IOException {
        if (page != null) {
            Files.writeString(
                    page,
                    RunReport.of(result.scenario(), result.seed(), result.service(), result.rules(), result.history()));
        }
    }

    /** Writes a JSON object for each run, one a line. */
    static void writeJson(Path file, List<RunResult> all) throws IOException {
        try (JsonGenerator json = JSON.createGenerator(Files.newBufferedWriter(file))) {
            json.setRootValueSeparator(null);
            for (RunResult result : all) {
                json.writeStartObject();
                json.writeStringField("scenario", result.scenario().name());
                json.writeNumberField("seed", result.seed());
                for (Map.Entry<String, Double> figure : result.figures().entrySet()) {
                    json.writeNumberField(figure.getKey(), figure.getValue());
                }
                json.writeEndObject();
                json.writeRaw('\n');
            }
        }
    }

    /** Writes a CSV row for each run, after a header. */
    static void writeCsv(Path file, List<RunResult> all) throws IOException {
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
}
