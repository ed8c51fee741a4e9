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
        ask.recordSubmission(0);
        history.addMessage(ask);
        return ask;
    }

    @Test
    void endsAreSortedByHowLateTheyAreAndTheLatestIsNamed() {
        RunHistory history = new RunHistory();
        long[] late = {-500, 0, 1, 100, 101, 300, 301, 340};
        for (long ms : late) {
            asked(history, 3).recordCompletion((1_000 + ms) * MS, MessageHistory.ClientOutcome.FAILED);
        }
        asked(history, 3).recordAccepted();
        FleetCostReport costs = FleetCostReport.of(history);
        assertEquals(
                List.of(2L, 2L, 2L, 2L),
                List.of(
                        costs.completedInTime(),
                        costs.lateWithin100Millis(),
                        costs.lateWithin300Millis(),
                        costs.lateBeyond300Millis()));
        assertEquals(340 * MS, costs.maxLatenessMicros());
        assertEquals(7, costs.latestMessage());
        assertEquals(9, costs.submitted());
    }

    @Test
    void refusedWithoutAnAttemptAndCutOffAreToldApart() {
        RunHistory history = new RunHistory();
        asked(history, 0).recordCompletion(5, MessageHistory.ClientOutcome.REJECTED);
        MessageHistory sent = asked(history, 0);
        sent.recordCall(new MessageHistory.Call(0, 4, 1, 2, false, MessageHistory.Response.REJECTED));
        sent.recordCompletion(5, MessageHistory.ClientOutcome.REJECTED);
        asked(history, 1).recordConnectionLost();
        MessageHistory again = asked(history, 1);
        again.recordConnectionLost();
        again.recordSubmission(10);
        again.recordAccepted();
        FleetCostReport costs = FleetCostReport.of(history);
        assertEquals(1, costs.rejectedWithoutAttempt());
        assertEquals(1, costs.connectionsLost());
    }

    @Test
    void whoHasTheMostIsNamedAndNobodyWhereThereIsNone() {
        CallCounts costs = new CallCounts();
        costs.count(CallCounts.Metric.PROBES, 7, 2);
        costs.count(CallCounts.Metric.PROBES, 7, 3);
        costs.count(CallCounts.Metric.PROBES, CallCounts.NONE, 3);
        assertEquals(3, costs.total(CallCounts.Metric.PROBES));
        assertEquals(new CallCounts.Maximum(7, 2), costs.busiestRelay(CallCounts.Metric.PROBES));
        assertEquals(new CallCounts.Maximum(3, 2), costs.busiestEndpoint(CallCounts.Metric.PROBES));
        assertEquals(new CallCounts.Maximum(CallCounts.NONE, 0), costs.busiestRelay(CallCounts.Metric.REJECTED));
    }

    /** The counts of a run are those of its history: each posting is a call, and each of them by its answer. */
    @Test
    void costsOfARunAddUpToItsPostings() throws IOException {
        Scenario scenario = ScenarioFiles.read(
                        "s", ScenarioFiles.builtInText("half-the-fleet-dies").replace("batch = 5", "batch = 1"))
                .scenario();
        RunResult played = ExperimentRunner.run(scenario, 1);
        CallCounts costs = played.costs().counts();
        List<MessageHistory.Call> postings = played.history().messages().stream()
                .flatMap(a -> a.calls().stream())
                .toList();
        assertEquals(postings.size(), costs.total(CallCounts.Metric.CALLS));
        long refused = postings.stream()
                .filter(p -> p.response() == MessageHistory.Response.REJECTED)
                .count();
        long all = costs.total(CallCounts.Metric.REJECTED);
        assertTrue(all >= refused && all <= refused + costs.total(CallCounts.Metric.PROBES), all + " of " + refused);
        assertEquals(9, costs.total(CallCounts.Metric.ENDPOINT_LISTS), "six relays, three of them twice");
        assertEquals(
                1_000.0
                        * costs.total(CallCounts.Metric.CALLS)
                        / played.history().messages().size(),
                played.costs().perThousand(costs.total(CallCounts.Metric.CALLS)));
    }
}
