package loftflow.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import loftflow.experiment.evaluation.FleetCostReport;
import loftflow.experiment.history.CallCounts;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.history.RunHistory;
import loftflow.experiment.scenario.Scenario;
import org.junit.jupiter.api.Test;

/** What a whole fleet costs, and how late its ends are. */
class FleetCostReportTest {
    private static final long MS = 1_000;

    private static MessageHistory asked(RunHistory history, int relay) {
        MessageHistory ask = new MessageHistory(0, -1, 0, relay, 0, 1_000 * MS);
        ask.tried(0);
        history.asked(ask);
        return ask;
    }

    @Test
    void endsAreSortedByHowLateTheyAreAndTheLatestIsNamed() {
        RunHistory history = new RunHistory();
        long[] late = {-500, 0, 1, 100, 101, 300, 301, 340};
        for (long ms : late) {
            asked(history, 3).ended((1_000 + ms) * MS, MessageHistory.Told.FAILED);
        }
        asked(history, 3).taken();
        FleetCostReport costs = FleetCostReport.of(history);
        assertEquals(
                List.of(2L, 2L, 2L, 2L), List.of(costs.inTime(), costs.within100(), costs.within300(), costs.later()));
        assertEquals(340 * MS, costs.latest());
        assertEquals(7, costs.latestAsk());
        assertEquals(9, costs.asked());
    }

    @Test
    void refusedWithoutAnAttemptAndCutOffAreToldApart() {
        RunHistory history = new RunHistory();
        asked(history, 0).ended(5, MessageHistory.Told.REFUSED);
        MessageHistory sent = asked(history, 0);
        sent.posted(new MessageHistory.Posting(0, 4, 1, 2, false, MessageHistory.Answer.FULL));
        sent.ended(5, MessageHistory.Told.REFUSED);
        asked(history, 1).cut();
        MessageHistory again = asked(history, 1);
        again.cut();
        again.tried(10);
        again.taken();
        FleetCostReport costs = FleetCostReport.of(history);
        assertEquals(1, costs.untried());
        assertEquals(1, costs.cut());
    }

    @Test
    void whoHasTheMostIsNamedAndNobodyWhereThereIsNone() {
        CallCounts costs = new CallCounts();
        costs.count(CallCounts.Of.CHECKS, 7, 2);
        costs.count(CallCounts.Of.CHECKS, 7, 3);
        costs.count(CallCounts.Of.CHECKS, CallCounts.NONE, 3);
        assertEquals(3, costs.total(CallCounts.Of.CHECKS));
        assertEquals(new CallCounts.Most(7, 2), costs.mostOfRelays(CallCounts.Of.CHECKS));
        assertEquals(new CallCounts.Most(3, 2), costs.mostOfEndpoints(CallCounts.Of.CHECKS));
        assertEquals(new CallCounts.Most(CallCounts.NONE, 0), costs.mostOfRelays(CallCounts.Of.REFUSED));
    }

    /** The counts of a run are those of its history: each posting is a call, and each of them by its answer. */
    @Test
    void costsOfARunAddUpToItsPostings() throws IOException {
        Scenario scenario = ExperimentRunner.read(
                        "s", ExperimentRunner.named("half-the-fleet-dies").replace("batch = 5", "batch = 1"))
                .scenario();
        ExperimentRunner.Played played = ExperimentRunner.play(scenario, 1);
        CallCounts costs = played.costs().counts();
        List<MessageHistory.Posting> postings = played.history().asks().stream()
                .flatMap(a -> a.postings().stream())
                .toList();
        assertEquals(postings.size(), costs.total(CallCounts.Of.CALLS));
        long refused = postings.stream()
                .filter(p -> p.answer() == MessageHistory.Answer.FULL)
                .count();
        long all = costs.total(CallCounts.Of.REFUSED);
        assertTrue(all >= refused && all <= refused + costs.total(CallCounts.Of.CHECKS), all + " of " + refused);
        assertEquals(9, costs.total(CallCounts.Of.LISTS), "six relays, three of them twice");
        assertEquals(
                1_000.0
                        * costs.total(CallCounts.Of.CALLS)
                        / played.history().asks().size(),
                played.costs().perThousand(costs.total(CallCounts.Of.CALLS)));
    }
}
