package loftflow.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loftflow.config.file.Finding;
import loftflow.experiment.scenario.Arrival;
import loftflow.experiment.scenario.ArrivalGenerator;
import loftflow.experiment.scenario.FaultSchedule;
import loftflow.experiment.scenario.Scenario;
import loftflow.experiment.scenario.ScenarioReader;
import loftflow.experiment.scenario.ScenarioSchema;
import loftflow.experiment.scenario.ScenarioWriter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Scenario files, and what they ask for: failures by seed, arrivals by rate. */
class ScenarioFileTest {
    private static final long SECOND = 1_000_000;

    /** Each row changes one thing in a sound scenario; what is found names the setting and says why. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "name = \"settlement\" | name = \"car-order\" | class[3].name | stands above",
                "deadline = \"5s\" | deadline = \"1s\" | class[1].deadline | no longer than wanted = 1500ms",
                "key-window = \"7500ms\" |  | class[2].key-window | is missing",
                "to = [\"railways\"] | to = [\"ships\"] | class[3].to | no group",
                "response = \"250ms\" | response = \"1m\" | class[1].deadline | no partner of it could deliver",
                "name = \"short-lines\" | name = \"elevators\" | group[3].name | stands above",
                "kind = \"short-lines\" | kind = \"railways\" | group[3].kind | a kind has one of each",
                "buildings = [\"main\", \"annex\", \"yard\"] | buildings = [] | group[1].buildings | names no building",
                "limit = \"26.4/s\" |  | group[1].told | no limit to tell",
                "rate = \"18.48/s\" | rate = 18.48 | class[1].rate | with its unit",
                "skew = 0.5 | skew = 9 | fleet.skew | out of bounds",
                "relays = 3 | relais = 3 | fleet.relais | did you mean fleet.relays?",
                "share = 54 | share = -1 | tenant[1].share | out of bounds",
                "name = \"lumber-desk\" | name = \"grain-desk\" | tenant[3].name | stands above",
                "span = \"60s\" | span = \"2d\" | span | out of bounds",
                "span = \"60s\" | span = \"1d\"\\nload = 900 | span | no run of more than",
                "#end | [[failure]]\\nkind = \"down\"\\nat = \"61s\" | failure[1].at | when nothing is handed in any more",
                "#end | [[failure]]\\nkind = \"down\"\\nat = \"1s\"\\ngroup = \"x\" | failure[1].group | there is no group x",
                "#end | [[failure]]\\nkind = \"down\"\\nat = \"1s\"\\nbuilding = \"x\" | failure[1].building | no endpoint stands in x",
                "#end | [[failure]]\\nkind = \"relays-die\"\\nat = \"1s\"\\ngroup = \"railways\" | failure[1].group | strikes no endpoints",
                "#end | [[failure]]\\nkind = \"down\"\\nat = \"1s\"\\nfactor = 2 | failure[1].factor | for slow and leak alone",
                "#end | [[failure]]\\nkind = \"slow\"\\nat = \"1s\"\\npart = 0.5 | failure[1].part | for errors and limits alone",
                "#end | [[failure]]\\nkind = \"limits\"\\nat = \"1s\" | failure[1].part | is missing",
                "#end | [[failure]]\\nkind = \"limits\"\\nat = \"1s\"\\npart = 0.5\\ngroup = \"elevators\" | failure[1].kind | has no limit to lower",
                "restart = \"3s\" | restart = \"60s\"\\n[[failure]]\\nkind = \"relays-die\"\\nat = \"1s\" | failure[1].kind | are back after 1m",
                "#end | [[failure]]\\nkind = \"relays-roll\"\\nat = \"50s\"\\nlasts = \"20s\" | failure[1].lasts | restarted for nobody",
                "kind = \"elevators\" | kind = \"elevators\"\\nrefusals-count = true | group[2].refusals-count | no limit to use up",
                "partners = 3\\nendpoints = 3 | partners = 1\\nendpoints = 2 | group[1].buildings | names 3 buildings for 2 endpoints",
                "#end | [[failure]]\\nkind = \"flood\"\\nat = \"1s\" | failure[1].kind | is none of down",
                "#end | [[failure] | * | "
            })
    void contradictionIsFound(String old, String changed, String key, String why) throws IOException {
        String text = ScenarioFiles.builtInText("quiet-day") + "\n#end\n";
        assertTrue(text.contains(old.replace("\\n", "\n")), old);
        String broken = text.replaceFirst(
                Pattern.quote(old.replace("\\n", "\n")),
                Matcher.quoteReplacement(changed == null ? "" : changed.replace("\\n", "\n")));
        ScenarioReader.ReadResult read = ScenarioFiles.read("broken", broken);
        assertEquals(null, read.scenario());
        assertTrue(
                read.findings().stream()
                        .filter(Finding::isError)
                        .anyMatch(f -> (key.equals("*") || f.key().equals(key))
                                && f.reason().contains(why == null ? "" : why)
                                && f.line() > 0),
                read.findings().toString());
    }

    /** What stands in the repository is sound, and a scenario that is written reads the same. */
    @Test
    void namedScenariosAreSoundAndReadAsTheyAreWritten() throws IOException {
        for (String name : ScenarioFiles.BUILT_IN) {
            ScenarioReader.ReadResult read = ScenarioFiles.read(name, ScenarioFiles.builtInText(name));
            assertEquals(List.of(), read.findings());
            assertEquals(name, read.scenario().name());
            assertEquals(
                    read.scenario(),
                    ScenarioFiles.read(name, ScenarioWriter.of(read.scenario())).scenario());
        }
        try (var files = Files.list(Path.of("src/main/resources/scenarios"))) {
            assertEquals(ScenarioFiles.BUILT_IN.size(), files.count());
        }
        assertEquals(
                ScenarioSchema.SCENARIO.reference(),
                Files.readString(Path.of("docs/operators/scenarios.md")),
                "written by: loftflow lab reference");
    }

    private static Scenario with(String failure) throws IOException {
        return ScenarioFiles.read("s", ScenarioFiles.builtInText("quiet-day") + "\n[[failure]]\n" + failure)
                .scenario();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                // Failure; endpoints that it strikes; the state at 9 s, at 15 s, and at 25 s with what is able then.
                "kind = \"down\"\\nat = \"10s\"\\nlasts = \"10s\"\\ngroup = \"railways\" | 9 | DOWN | 0.575 | 1",
                "kind = \"shut\"\\nat = \"10s\"\\nlasts = \"10s\"\\nbuilding = \"annex\" | 11 | REJECTING | 0.575 | 1",
                "kind = \"silent\"\\nat = \"10s\"\\nlasts = \"10s\"\\ngroup = \"elevators\"\\nshare = 0.5 | 5 | UNRESPONSIVE | 0.575 | 1",
                "kind = \"slow\"\\nat = \"10s\"\\nlasts = \"10s\"\\nfactor = 4 | 29 | SERVING | 1 | 4",
                "kind = \"leak\"\\nat = \"10s\"\\nlasts = \"10s\"\\nfactor = 4 | 29 | SERVING | 1 | 2",
                "kind = \"drain\"\\nat = \"10s\"\\nlasts = \"10s\"\\ngroup = \"short-lines\"\\nshare = 0.4 | 4 | SERVING | 1 | 1"
            })
    void failureStrikesWhatItSaysAndWhileItLasts(
            String failure, int struck, FaultSchedule.ServingState meets, double able, double slower)
            throws IOException {
        Scenario scenario = with(failure.replace("\\n", "\n"));
        Scenario.Layout layout = scenario.layout();
        FaultSchedule faults = FaultSchedule.of(scenario, layout, 3);
        boolean drains = failure.contains("drain");
        List<Integer> hit = layout.endpoints().stream()
                .map(Scenario.Endpoint::number)
                .filter(e -> drains
                        ? faults.endpointDrains().stream().anyMatch(d -> d.endpoint() == e)
                        : !faults.conditionAt(e, 15 * SECOND).equals(FaultSchedule.EndpointCondition.HEALTHY))
                .toList();
        assertEquals(struck, hit.size(), hit.toString());
        for (int e : hit) {
            assertEquals(FaultSchedule.EndpointCondition.HEALTHY, faults.conditionAt(e, 9 * SECOND));
            assertEquals(meets, faults.conditionAt(e, 15 * SECOND).servingState());
            assertEquals(slower, faults.conditionAt(e, 15 * SECOND).slowdownFactor(), 1e-9);
            assertEquals(able, faults.conditionAt(e, 25 * SECOND).capacityShare(), 1e-9);
            assertEquals(
                    drains ? FaultSchedule.ServingState.REMOVED : FaultSchedule.ServingState.SERVING,
                    faults.conditionAt(e, 25 * SECOND).servingState());
        }
    }

    @Test
    void limitsAreLoweredWhileItLastsAndRelaysRollATenthAtATime() throws IOException {
        Scenario scenario = with("kind = \"limits\"\nat = \"10s\"\nlasts = \"10s\"\ngroup = \"railways\"\npart = 0.25");
        FaultSchedule faults = FaultSchedule.of(scenario, scenario.layout(), 3);
        assertEquals(
                List.of(1.0, 0.25, 1.0),
                List.of(
                        faults.conditionAt(0, 9 * SECOND).limitShare(),
                        faults.conditionAt(0, 15 * SECOND).limitShare(),
                        faults.conditionAt(0, 20 * SECOND).limitShare()));
        assertEquals(1, faults.conditionAt(9, 15 * SECOND).limitShare(), "an elevator's");
        assertEquals(1, faults.conditionAt(0, 25 * SECOND).capacityShare(), "nobody comes back cold");
        Scenario roll = ScenarioFiles.read(
                        "s",
                        ScenarioFiles.builtInText("quiet-day").replace("relays = 3", "relays = 25")
                                + "\n[[failure]]\nkind = \"relays-roll\"\nat = \"10s\"\nlasts = \"20s\"")
                .scenario();
        List<FaultSchedule.RelayCrash> deaths =
                FaultSchedule.of(roll, roll.layout(), 1).relayCrashes();
        assertEquals(
                25,
                deaths.stream().map(FaultSchedule.RelayCrash::relay).distinct().count());
        assertEquals(
                10,
                deaths.stream()
                        .map(FaultSchedule.RelayCrash::atMicros)
                        .distinct()
                        .count());
        assertEquals(
                List.of(10 * SECOND, 28 * SECOND),
                List.of(deaths.get(0).atMicros(), deaths.get(24).atMicros()));
        assertTrue(deaths.stream().allMatch(d -> d.restartedAtMicros() == d.atMicros() + 3 * SECOND));
    }

    @Test
    void hazardComesAsOftenAsItSaysAndElsewhereEachTime() throws IOException {
        Scenario scenario = with("kind = \"down\"\nat = \"0s\"\nlasts = \"1s\"\nhazard = 600\nshare = 0.1");
        double strikes = 0;
        for (long seed = 0; seed < 200; seed++) {
            strikes += FaultSchedule.of(scenario, scenario.layout(), seed)
                    .faultWindows()
                    .size();
        }
        assertEquals(10, strikes / 200, 0.7, "ten a minute");
        Scenario dies = with("kind = \"relays-die\"\nat = \"5s\"\nshare = 0.5");
        assertEquals(2, FaultSchedule.of(dies, dies.layout(), 1).relayCrashes().size(), "half of three, rounded");
        FaultSchedule silent =
                FaultSchedule.of(with("kind = \"discovery\"\nat = \"5s\"\nlasts = \"4s\""), scenario.layout(), 1);
        assertEquals(
                List.of(4 * SECOND, 9 * SECOND, 9 * SECOND),
                List.of(
                        silent.discoveryAvailableFrom(4 * SECOND),
                        silent.discoveryAvailableFrom(6 * SECOND),
                        silent.discoveryAvailableFrom(9 * SECOND)));
    }

    /** Rates, shares and clumps are kept, whatever the clumps are. */
    @ParameterizedTest
    @CsvSource({"0, 8", "0.3, 8", "1, 50"})
    void arrivalsKeepTheirRates(double clumped, int clump) throws IOException {
        Scenario quiet =
                ScenarioFiles.read("s", ScenarioFiles.builtInText("quiet-day")).scenario();
        Scenario scenario = new Scenario(
                "s",
                "",
                2_000 * SECOND,
                1,
                quiet.fleet(),
                new Scenario.Clients(2, SECOND, clumped, clump, 0, 0),
                quiet.network(),
                quiet.classes(),
                quiet.tenants(),
                quiet.groups(),
                List.of());
        ArrivalGenerator arrivals = new ArrivalGenerator(scenario, scenario.layout(), 1);
        long count = 0;
        long orders = 0;
        long last = 0;
        while (arrivals.hasNext()) {
            Arrival arrival = arrivals.next();
            assertTrue(arrival.atMicros() >= last);
            last = arrival.atMicros();
            count++;
            orders += arrival.classIndex() == 1 ? 1 : 0;
            assertTrue(arrival.classIndex() != 2 || arrival.partner() < 3, "settlements go to railways alone");
        }
        assertEquals(44, count / 2_000.0, clump == 50 ? 4 : 1);
        assertEquals(0.32, (double) orders / count, clump == 50 ? 0.05 : 0.02);
    }

    /** What waits at the beginning comes first, and leaves what comes later as it is. */
    @Test
    void backlogComesAtOnceAndChangesNothingElse() throws IOException {
        String text = ScenarioFiles.builtInText("quiet-day");
        Scenario quiet = ScenarioFiles.read("s", text).scenario();
        Scenario young = ScenarioFiles.read("s", text.replace("[clients]\n", "[clients]\nbacklog = 40\n"))
                .scenario();
        ArrivalGenerator usual = new ArrivalGenerator(quiet, quiet.layout(), 1);
        ArrivalGenerator arrivals = new ArrivalGenerator(young, young.layout(), 1);
        for (int i = 0; i < 40; i++) {
            assertEquals(0, arrivals.next().atMicros());
        }
        while (usual.hasNext()) {
            assertEquals(usual.next(), arrivals.next());
        }
        assertFalse(arrivals.hasNext());
    }
}
