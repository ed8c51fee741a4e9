package pipitstage.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import pipitstage.lab.history.Ask;
import pipitstage.lab.history.Costs;
import pipitstage.lab.history.History;
import pipitstage.lab.scenario.Scenario;
import pipitstage.lab.service.FleetCosts;

/** What a whole fleet costs, and how late its ends are. */
class FleetCostsTest {
    private static final long MS = 1_000;

    private static Ask asked(History history, int relay) {
        Ask ask = new Ask(0, -1, 0, relay, 0, 1_000 * MS);
        ask.tried(0);
        history.asked(ask);
        return ask;
    }

    @Test
    void endsAreSortedByHowLateTheyAreAndTheLatestIsNamed() {
        History history = new History();
        long[] late = {-500, 0, 1, 100, 101, 300, 301, 340};
        for (long ms : late) {
            asked(history, 3).ended((1_000 + ms) * MS, Ask.Told.FAILED);
        }
        asked(history, 3).taken();
        FleetCosts costs = FleetCosts.of(history);
        assertEquals(
                List.of(2L, 2L, 2L, 2L), List.of(costs.inTime(), costs.within100(), costs.within300(), costs.later()));
        assertEquals(340 * MS, costs.latest());
        assertEquals(7, costs.latestAsk());
        assertEquals(9, costs.asked());
    }

    @Test
    void refusedWithoutAnAttemptAndCutOffAreToldApart() {
        History history = new History();
        asked(history, 0).ended(5, Ask.Told.REFUSED);
        Ask sent = asked(history, 0);
        sent.posted(new Ask.Posting(0, 4, 1, 2, false, Ask.Answer.FULL));
        sent.ended(5, Ask.Told.REFUSED);
        asked(history, 1).cut();
        Ask again = asked(history, 1);
        again.cut();
        again.tried(10);
        again.taken();
        FleetCosts costs = FleetCosts.of(history);
        assertEquals(1, costs.untried());
        assertEquals(1, costs.cut());
    }

    @Test
    void whoHasTheMostIsNamedAndNobodyWhereThereIsNone() {
        Costs costs = new Costs();
        costs.count(Costs.Of.CHECKS, 7, 2);
        costs.count(Costs.Of.CHECKS, 7, 3);
        costs.count(Costs.Of.CHECKS, Costs.NONE, 3);
        assertEquals(3, costs.total(Costs.Of.CHECKS));
        assertEquals(new Costs.Most(7, 2), costs.mostOfRelays(Costs.Of.CHECKS));
        assertEquals(new Costs.Most(3, 2), costs.mostOfEndpoints(Costs.Of.CHECKS));
        assertEquals(new Costs.Most(Costs.NONE, 0), costs.mostOfRelays(Costs.Of.REFUSED));
    }

    /** The counts of a run are those of its history: each posting is a call, and each of them by its answer. */
    @Test
    void costsOfARunAddUpToItsPostings() throws IOException {
        Scenario scenario = Lab.read("s", Lab.named("half-the-fleet-dies").replace("batch = 5", "batch = 1"))
                .scenario();
        Lab.Played played = Lab.play(scenario, 1);
        Costs costs = played.costs().counts();
        List<Ask.Posting> postings = played.history().asks().stream()
                .flatMap(a -> a.postings().stream())
                .toList();
        assertEquals(postings.size(), costs.total(Costs.Of.CALLS));
        long refused =
                postings.stream().filter(p -> p.answer() == Ask.Answer.FULL).count();
        long all = costs.total(Costs.Of.REFUSED);
        assertTrue(all >= refused && all <= refused + costs.total(Costs.Of.CHECKS), all + " of " + refused);
        assertEquals(9, costs.total(Costs.Of.LISTS), "six relays, three of them twice");
        assertEquals(
                1_000.0 * costs.total(Costs.Of.CALLS) / played.history().asks().size(),
                played.costs().perThousand(costs.total(Costs.Of.CALLS)));
    }
}
