package loftflow.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import javax.tools.ToolProvider;
import loftflow.fake.ServedRelay;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests that the soak detects faults: each mutant is the relay with one small fault in one class. */
@Order(1)
@Timeout(300)
class SoakMutantTest {
    private static final int SIDE_BY_SIDE = 3;
    /** Run in this order until one detects the mutant: the traffic of a single seed may not reach the fault. */
    private static final long[] SEEDS = {2, 4, 6};

    /**
     * A fault in the source of the relay.
     *
     * @param source path of the class below the root package
     * @param original source text to be replaced
     * @param changed replacement, which contains the fault
     * @param rule name of the rule whose check has to find the fault
     */
    private record Mutant(String source, String original, String changed, String rule) {}

    private static final List<Mutant> MUTANTS = List.of(
            new Mutant(
                    "listener/http/HttpClientConnection",
                    "        isClosing = !isKeepAlive",
                    "        if (listener.isDraining()) {\n            context.close();\n            return;\n        }\n"
                            + "        isClosing = !isKeepAlive",
                    "unanswered"),
            new Mutant(
                    "policy/PendingMessage",
                    "            if (attempt.mayHaveExecuted()) {",
                    "            if (attempt.mayHaveExecuted() && attempts.isEmpty()) {",
                    "executed twice"),
            new Mutant(
                    "policy/RetryPolicy",
                    "case NON_IDEMPOTENT -> message.firstAttemptThatMayHaveExecuted() == null;",
                    "case NON_IDEMPOTENT -> true;",
                    "executed though rejected"),
            new Mutant(
                    "engine/MessageLifecycle",
                    "            context.deadLetterSink().store(message);\n        }\n"
                            + "        context.completionNotifier().notifyCompletion(message);",
                    "            context.deadLetterSink().store(message);\n        }",
                    "lost"),
            new Mutant(
                    "upstream/http/CallResponse",
                    "if (millis == null ||",
                    "if (millis != null || millis == null ||",
                    "Retry-After ignored"),
            new Mutant(
                    "upstream/http/UpstreamCall",
                    "        onStatusLine(code);\n        endWithoutResponse(AttemptOutcome.ERROR);",
                    "        endAll(AttemptOutcome.OK, true);",
                    "lost"),
            new Mutant(
                    "upstream/http/UpstreamCall",
                    "                endAttempt(attempt, AttemptOutcome.OK, !isLate);",
                    "                endAttempt(attempt, AttemptOutcome.TIMEOUT, false);",
                    "sent after its end"),
            new Mutant(
                    "discovery/EndpointWatcher",
                    "            boolean leavesGap = leavesGap(list, isFullExpected);",
                    "            if (revision >= 0 && list.revision() > revision) {\n                return true;\n            }\n"
                            + "            boolean leavesGap = leavesGap(list, isFullExpected);",
                    "sent to a withdrawn endpoint"));

    @TempDir
    Path folder;

    private static SoakPlan plan(long seed) {
        return new SoakPlan(
                seed,
                true,
                SoakPlan.Crowd.NONE,
                SystemFaults.NONE,
                ResponseCopies.Plan.NONE,
                List.of(new SoakPlan.RestartPlan(SoakPlan.Signals.TERM, 4_000, 0, 300, SoakPlan.Discovery.UP, true)));
    }

    /** Compiles a copy of the class with the fault; returns the folder of the class files. */
    private static Path compile(Mutant mutant, Path folder) throws IOException {
        String text = Files.readString(Path.of("src/main/java/loftflow", mutant.source() + ".java"));
        assertTrue(text.contains(mutant.original()), mutant.toString());
        Path source = folder.resolve("source").resolve("loftflow").resolve(mutant.source() + ".java");
        Files.createDirectories(source.getParent());
        Files.writeString(source, text.replace(mutant.original(), mutant.changed()));
        Path classes = Files.createDirectories(folder.resolve("classes"));
        int status = ToolProvider.getSystemJavaCompiler()
                .run(
                        null,
                        null,
                        null,
                        "-nowarn",
                        "-proc:none",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "-d",
                        classes.toString(),
                        source.toString());
        assertEquals(0, status, mutant.toString());
        return classes;
    }

    private static List<String> run(Mutant mutant, Path folder) throws Exception {
        ServedRelay.Program program = new ServedRelay.Program(compile(mutant, folder), -1);
        List<String> findings = new ArrayList<>();
        for (long seed : SEEDS) {
            Path seedFolder = Files.createDirectory(folder.resolve("seed" + seed));
            findings.addAll(SoakChecks.check(SoakRun.run(plan(seed), seedFolder, program)));
            if (findings.stream().anyMatch(finding -> finding.startsWith(mutant.rule() + ":"))) {
                break;
            }
        }
        return findings;
    }

    @Test
    void everyMutantIsDetected() throws Exception {
        ExecutorService pool = Executors.newFixedThreadPool(SIDE_BY_SIDE);
        List<Future<List<String>>> runs = new ArrayList<>();
        for (int i = 0; i < MUTANTS.size(); i++) {
            Mutant mutant = MUTANTS.get(i);
            Path runFolder = Files.createDirectory(folder.resolve("mutant" + i));
            runs.add(pool.submit(() -> run(mutant, runFolder)));
        }
        pool.shutdown();
        for (int i = 0; i < MUTANTS.size(); i++) {
            String rule = MUTANTS.get(i).rule();
            List<String> findings = runs.get(i).get();
            assertTrue(
                    findings.stream().anyMatch(finding -> finding.startsWith(rule + ":")),
                    MUTANTS.get(i) + " findings " + findings);
        }
    }
}
