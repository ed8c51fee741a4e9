package loftflow.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loftflow.experiment.evaluation.ProgressSnapshot;
import loftflow.experiment.evaluation.RuleChecker;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.loopback.LoopbackRun;
import loftflow.experiment.results.ResultsFolder;
import loftflow.experiment.scenario.ArrivalGenerator;
import loftflow.experiment.scenario.FaultSchedule;
import loftflow.experiment.scenario.RuleLimits;
import loftflow.experiment.scenario.Scenario;
import loftflow.fake.ServedRelay;
import loftflow.server.RelayProcess;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The second driver: whole relays on loopback play what the emulator plays. */
@Timeout(120)
class LoopbackRunTest {
    @TempDir
    Path folder;

    private static Scenario scenario(String failures) throws IOException {
        String text = ScenarioFiles.builtInText("quiet-day")
                .replace("span = \"60s\"", "span = \"6s\"")
                .replace("relays = 3", "relays = 2")
                .replace("deadline = \"28s\"", "deadline = \"8s\"")
                .replace("deadline = \"20s\"", "deadline = \"8s\"");
        return ScenarioFiles.read("real", text + failures).scenario();
    }

    /**
     * A relay is killed in mid-run, a partner is down, an endpoint drains: every message has its end, and no rule is
     * broken.
     */
    @Test
    void fleetThatDiesAndPartnersThatFailLeaveNoMessageWithoutAnEnd() throws Exception {
        Scenario scenario = scenario(
                """
                [[failure]]
                kind = "relays-die"
                at = "2s"
                share = 0.5
                [[failure]]
                kind = "down"
                at = "1s"
                lasts = "2s"
                group = "elevators"
                share = 0.4
                [[failure]]
                kind = "down"
                at = "2s"
                lasts = "1s"
                group = "elevators"
                [[failure]]
                kind = "drain"
                at = "3s"
                lasts = "1s"
                group = "railways"
                building = "yard"
                """);
        List<ProgressSnapshot> shown = new ArrayList<>();
        LoopbackResult real =
                ExperimentRunner.runOnLoopback(scenario, 1, null, LoopbackRun.RelayProgram.OWN, folder, shown::add);
        assertEquals(
                Map.of(),
                real.result().rules().counts(),
                real.result().rules().firstBreaches().toString());
        assertEquals(1, real.result().history().downtimes().size(), "the relay died and came back");
        assertTrue(
                real.result().service().submitted() > 150,
                "asked " + real.result().service().submitted());
        assertTrue(
                real.result().service().delivered() > real.result().service().submitted() / 2,
                real.result().service().toString());
        assertTrue(real.outcome().cpuMicrosPerMessage() > 0);
        assertTrue(
                shown.stream()
                        .anyMatch(s -> s.endpoints().get(0).servingState() == FaultSchedule.ServingState.DOWN
                                && s.delivered() > 0),
                "what is down stands first: " + shown);
    }

    /**
     * Nine in ten of what may go there go to one partner, and partners stop reading in mid-run: every message has its
     * end in time.
     */
    @Test
    void oneDestinationWithNearlyAllAndPartnersThatStopReadingLeaveNothingOpen() throws Exception {
        Scenario scenario = oneDestinationWithNearlyAll("2s", "2s");
        LoopbackResult real =
                ExperimentRunner.runOnLoopback(scenario, 1, null, LoopbackRun.RelayProgram.OWN, folder, s -> {});
        assertEquals(
                Map.of(),
                real.result().rules().counts(),
                real.result().rules().firstBreaches().toString());
        int hot = scenario.layout().partners().stream()
                .filter(p -> p.group().kind().equals("elevators"))
                .findFirst()
                .orElseThrow()
                .number();
        long there = real.result().history().messages().stream()
                .filter(a -> a.partner() == hot)
                .count();
        assertTrue(
                there > 0.5 * real.result().history().messages().size(),
                there + " of " + real.result().history().messages().size());
        assertTrue(
                real.result().history().messages().stream().anyMatch(a -> a.partner() == hot && !a.isDelivered()),
                "silence shows");
        assertTrue(real.result().service().delivered() > 0);
    }

    private static Scenario oneDestinationWithNearlyAll(String silentAt, String silentFor) throws IOException {
        return ScenarioFiles.read(
                        "real",
                        ScenarioFiles.builtInText("quiet-day")
                                        .replace("span = \"60s\"", "span = \"5s\"\nload = 0.2")
                                        .replace("relays = 3", "relays = 1")
                                        .replace("deadline = \"28s\"", "deadline = \"4s\"")
                                        .replace("deadline = \"20s\"", "deadline = \"4s\"")
                                        .replaceAll("(?m)^weight = 3", "weight = 100")
                                        .replaceAll("(?m)^partners = 5", "partners = 1")
                                        .replaceAll(
                                                "endpoints = 2\nbuildings = .*",
                                                "endpoints = 2\nbuildings = [\"main\", \"annex\"]")
                                + "[[failure]]\nkind = \"silent\"\nat = \"" + silentAt
                                + "\"\nlasts = \"" + silentFor + "\"\ngroup = \"elevators\"\n")
                .scenario();
    }

    /** Guards against messages that are sent late with their whole time: they end by the deadline from when they were due. */
    @Test
    void messageThatIsSentLateEndsInTime() throws Exception {
        Scenario scenario = oneDestinationWithNearlyAll("500ms", "6s");
        boolean[] stalled = new boolean[1];
        try (LoopbackRun run =
                new LoopbackRun(scenario, RuleLimits.STANDARD, 1, LoopbackRun.RelayProgram.OWN, folder)) {
            LoopbackRun.Outcome outcome = run.play(
                    new ArrivalGenerator(scenario, scenario.layout(), 1),
                    at -> {
                        if (at > 700_000 && !stalled[0]) {
                            stalled[0] = true;
                            RelayProcess.blockThread(2_000);
                        }
                    },
                    history -> {});
            assertTrue(outcome.lateness().maxMicros() >= 700_000, "messages were sent late");
            assertEquals(
                    Map.of(),
                    RuleChecker.check(scenario, RuleLimits.STANDARD, outcome.history())
                            .counts());
            assertTrue(
                    outcome.history().messages().stream().anyMatch(message -> !message.isDelivered()),
                    "messages ended undelivered");
        }
    }

    /** Both sides of an experiment as whole relays, each with its own classes; and a bare proxy in a relay's place. */
    @Test
    void wholeRelaysAreComparedAndSoIsABareProxy() throws Exception {
        Scenario scenario = ScenarioFiles.read(
                        "s",
                        ScenarioFiles.builtInText("full-core")
                                .replace("span = \"14s\"", "span = \"2s\"\nload = 0.05")
                                .replace("ramp = \"4s\"", "ramp = \"0s\""))
                .scenario();
        try (ResultsFolder results = ResultsFolder.open(folder.resolve("results"))) {
            List<ResultsFolder.Result> made = new ArrayList<>();
            var verdicts = SideComparison.compare(
                    results,
                    "x",
                    List.of(
                            new ExperimentSide("A", scenario, null),
                            new ExperimentSide("B", scenario, Path.of("target/classes"))),
                    List.of(1L),
                    SideRunners.loopback(-1, folder.resolve("relays")),
                    made::add);
            assertTrue(
                    made.stream()
                            .allMatch(r ->
                                    r.figures().get("cpu-us") > 0 && r.figures().get("service") > 0.9),
                    made.toString());
            assertTrue(verdicts.get("B").stream().anyMatch(c -> c.figure().equals("cpu-us")), verdicts.toString());
            // A build without a relay in it is no side.
            Path empty = Files.createDirectories(folder.resolve("empty/loftflow/cli"));
            Files.write(empty.resolve("Main.class"), new byte[] {1});
            assertThrows(
                    IOException.class,
                    () -> SideComparison.compare(
                            results,
                            "x",
                            List.of(new ExperimentSide("A", scenario, folder.resolve("empty"))),
                            List.of(1L),
                            SideRunners.loopback(-1, folder.resolve("relays")),
                            made::add));
        }
        List<String> said = new ArrayList<>();
        boolean held = CapacityTrials.loopback(
                        scenario,
                        new ServiceTarget(0.9, 2_000),
                        new LoopbackRun.RelayProgram(new ServedRelay.Program(null, 0), true),
                        folder.resolve("relays"),
                        said::add)
                .passes(1, 1);
        assertTrue(held, said.toString());
    }

    /**
     * A generator that stands still for half a second shows: as lateness, as an invalid run, and in what messages took.
     */
    @Test
    void stallOfTheGeneratorIsCountedAndNotHidden() throws Exception {
        Scenario scenario = scenario(
                """
                [[failure]]
                kind = "relays-die"
                at = "4s"
                [[failure]]
                kind = "relays-die"
                at = "5s"
                [[failure]]
                kind = "discovery"
                at = "4s"
                lasts = "1s"
                [[failure]]
                kind = "discovery"
                at = "4500ms"
                lasts = "500ms"
                """);
        boolean[] stalled = new boolean[1];
        try (LoopbackRun run =
                new LoopbackRun(scenario, RuleLimits.STANDARD, 1, LoopbackRun.RelayProgram.OWN, folder)) {
            LoopbackRun.Outcome outcome = run.play(
                    new ArrivalGenerator(scenario, scenario.layout(), 1),
                    at -> {
                        if (at > 2_000_000 && !stalled[0]) {
                            stalled[0] = true;
                            try {
                                TimeUnit.MILLISECONDS.sleep(700);
                            } catch (InterruptedException e) {
                                throw new AssertionError(e);
                            }
                        }
                    },
                    history -> {});
            assertTrue(
                    outcome.lateness().maxMicros() >= 500_000,
                    outcome.lateness().maxMicros() + " us");
            assertFalse(outcome.isValid());
            long hit = outcome.history().messages().stream()
                    .filter(a -> a.submittedAtMicros() > 2_000_000
                            && a.submittedAtMicros() < 2_300_000
                            && a.deliveredAtMicros() - a.submittedAtMicros() > 500_000)
                    .count();
            assertTrue(hit > 0, "what was due in the stall took so much longer");
            assertEquals(
                    Map.of(),
                    RuleChecker.check(scenario, RuleLimits.STANDARD, outcome.history())
                            .counts());
            assertEquals(2, outcome.history().downtimes().size(), "one that is away does not die once more");
            assertTrue(outcome.history().messages().stream()
                    .allMatch(a -> a.clientOutcome() != MessageHistory.ClientOutcome.PENDING));
        }
    }
}
