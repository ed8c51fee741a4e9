package loftflow.warmstart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.EndpointListKind;
import org.junit.jupiter.api.Test;

/** What of discovery's lists is believed. */
class EndpointListReconcilerTest {
    private static final long SECOND = 1_000_000;
    private static final long SETTLE = 60 * SECOND;

    private static ListedEndpoint entry(String id, int port, Availability availability) {
        return new ListedEndpoint(new EndpointEntry(id, 7, "k", "b", availability, 0), "127.0.0.1:" + port);
    }

    private static ListedEndpoint in(int i) {
        return entry("e" + i, 1000 + i, Availability.LISTED);
    }

    private static List<ListedEndpoint> all(int n) {
        return IntStream.range(0, n).mapToObj(EndpointListReconcilerTest::in).toList();
    }

    private static ListUpdate full(long revision, List<ListedEndpoint> entries) {
        return new ListUpdate(EndpointListKind.FULL, revision, entries);
    }

    private static ListUpdate changes(long revision, ListedEndpoint... entries) {
        return new ListUpdate(EndpointListKind.DELTA, revision, List.of(entries));
    }

    @Test
    void wholeListReplacesWhatWasRemembered() {
        EndpointListReconciler lists = new EndpointListReconciler(SETTLE, 5, all(20));
        EndpointListReconciler.Verdict verdict = lists.take(full(6, all(18)), 0);
        assertEquals(EndpointListKind.FULL, verdict.passOn().kind());
        assertFalse(lists.has("e18") || lists.has("e19"));
        assertTrue(lists.has("e17"));
        assertEquals(EndpointListReconciler.NEVER, verdict.askAt());
    }

    @Test
    void emptyListTakesNothingAwayUntilItHasBeenToldForLong() {
        EndpointListReconciler lists = new EndpointListReconciler(SETTLE, 5, all(3));
        EndpointListReconciler.Verdict verdict = lists.take(full(6, List.of()), 0);
        assertNull(verdict.passOn());
        assertEquals(SETTLE, verdict.askAt());
        assertEquals(1, verdict.log().size(), "told once: " + verdict.log());
        assertTrue(lists.take(full(6, List.of()), SETTLE - 1).log().isEmpty());
        assertTrue(lists.has("e0"));
        assertEquals(
                EndpointListKind.FULL,
                lists.take(full(6, List.of()), SETTLE).passOn().kind());
        assertFalse(lists.has("e0"));
    }

    @Test
    void listThatLostNineOfTenConfirmsWhatItNamesAndKeepsTheRestForNow() {
        EndpointListReconciler lists = new EndpointListReconciler(SETTLE, 5, all(20));
        List<ListedEndpoint> few = new ArrayList<>(
                List.of(in(0), entry("new", 9, Availability.LISTED), entry("e1", 1001, Availability.DRAINING)));
        EndpointListReconciler.Verdict verdict = lists.take(full(6, few), 0);
        assertEquals(changes(6, few.toArray(ListedEndpoint[]::new)), verdict.passOn(), "what it says counts at once");
        assertFalse(lists.has("e1"), "a drain with a word is believed");
        assertTrue(lists.has("e5"));
        // A whole list again ends the doubt.
        assertEquals(
                EndpointListKind.FULL,
                lists.take(full(7, all(20)), SECOND).passOn().kind());
        lists.take(full(8, few), 2 * SECOND);
        assertTrue(lists.has("e5"), "the settling time begins anew");
        lists.take(full(8, few), 2 * SECOND + SETTLE);
        assertFalse(lists.has("e5"));
    }

    @Test
    void lossOfEightInTenIsBelieved() {
        EndpointListReconciler lists = new EndpointListReconciler(SETTLE, 5, all(20));
        assertEquals(
                EndpointListKind.FULL, lists.take(full(6, all(4)), 0).passOn().kind());
    }

    @Test
    void revisionThatGoesBackBringsNothingBackAndTakesAwayAtOnce() {
        EndpointListReconciler lists = new EndpointListReconciler(SETTLE, 5, all(4));
        lists.take(changes(9, entry("e3", 1003, Availability.REMOVED)), 0);
        List<ListedEndpoint> old = List.of(
                in(0), in(3), entry("e1", 1001, Availability.DRAINING), entry("unknown", 8, Availability.LISTED));
        EndpointListReconciler.Verdict verdict = lists.take(full(7, old), SECOND);
        assertEquals(changes(7, in(0), entry("e1", 1001, Availability.DRAINING)), verdict.passOn());
        assertFalse(lists.has("e3") || lists.has("unknown") || lists.has("e1"));
        assertTrue(lists.has("e2"), "what it leaves out stays");
        lists.take(full(7, old), SECOND + SETTLE);
        assertTrue(lists.has("e3") && lists.has("unknown"), "a discovery that counts anew is believed in the end");
        assertFalse(lists.has("e2"));
    }

    @Test
    void changesOfAnOlderRevisionAskForTheWholeList() {
        EndpointListReconciler lists = new EndpointListReconciler(SETTLE, 5, all(2));
        EndpointListReconciler.Verdict verdict =
                lists.take(changes(3, in(5), entry("e0", 1000, Availability.REMOVED)), SECOND);
        assertEquals(
                List.of(entry("e0", 1000, Availability.REMOVED)),
                verdict.passOn().entries());
        assertEquals(SECOND, verdict.askAt());
    }

    @Test
    void newIdAtAnAddressEndsTheOldOne() {
        EndpointListReconciler lists = new EndpointListReconciler(SETTLE, 5, all(3));
        ListedEndpoint next = entry("next", 1001, Availability.LISTED);
        EndpointListReconciler.Verdict verdict = lists.take(changes(6, next), 0);
        assertEquals(List.of(in(1).gone(), next), verdict.passOn().entries());
        assertFalse(lists.has("e1"));
        EndpointListReconciler both = new EndpointListReconciler(SETTLE, 5, all(3));
        both.take(changes(6, next, in(1)), 0);
        assertTrue(both.has("e1") && both.has("next"), "discovery itself lists both");
    }

    /** Where the platform's word holds. */
    @Test
    void nothingIsDoubtedWhereNothingIsToSettle() {
        EndpointListReconciler lists = new EndpointListReconciler(0, 5, all(20));
        assertEquals(
                EndpointListKind.FULL, lists.take(full(6, all(1)), 0).passOn().kind());
        assertFalse(lists.has("e5"));
        assertEquals(List.of(in(7)), lists.take(changes(3, in(7)), 1).passOn().entries(), "a revision that went back");
        for (int i = 0; i < 5; i++) {
            lists.take(changes(7, entry("e7", 1007, Availability.REMOVED)), 2);
            lists.take(changes(7, in(7)), 3);
            assertTrue(lists.has("e7"), "return " + i);
        }
        assertEquals(
                EndpointListKind.FULL,
                lists.take(full(8, List.of()), 4).passOn().kind());
    }

    @Test
    void flappingEndpointIsHeldBackEachTimeLonger() {
        EndpointListReconciler lists = new EndpointListReconciler(SETTLE, 5, all(2));
        long now = 0;
        for (int i = 0; i < 2; i++) {
            lists.take(changes(6 + i, entry("e1", 1001, Availability.REMOVED)), now += SECOND);
            lists.take(changes(6 + i, in(1)), now += SECOND);
            assertTrue(lists.has("e1"), "return " + i);
        }
        lists.take(changes(9, entry("e1", 1001, Availability.REMOVED)), now += SECOND);
        assertNull(lists.take(changes(9, in(1)), now += SECOND).passOn());
        assertEquals(now + 10 * SECOND, lists.nextAt());
        assertNull(lists.due(now + 10 * SECOND - 1));
        now += 10 * SECOND;
        assertEquals(List.of(in(1)), lists.due(now).entries());
        assertTrue(lists.has("e1"));
        lists.take(changes(10, entry("e1", 1001, Availability.REMOVED)), now += SECOND);
        assertFalse(lists.has("e1"), "going is believed at once");
        lists.take(changes(10, in(1)), now += SECOND);
        assertEquals(now + 20 * SECOND, lists.nextAt());
        lists.take(changes(11, entry("e1", 1001, Availability.REMOVED)), now += SECOND);
        assertEquals(EndpointListReconciler.NEVER, lists.nextAt(), "one that goes while it is held stays out");
        assertNull(lists.due(now + 99 * SECOND));
    }

    @Test
    void wholeListEndsWhatIsHeldBackToo() {
        EndpointListReconciler lists = new EndpointListReconciler(SETTLE, 5, all(20));
        long now = 0;
        for (int i = 0; i < 3; i++) {
            lists.take(full(6 + 2 * i, all(19)), now += SECOND);
            lists.take(full(7 + 2 * i, all(20)), now += SECOND);
        }
        assertFalse(lists.has("e19"));
        lists.take(full(20, all(19)), now += SECOND);
        assertNull(lists.due(now + 99 * SECOND));
    }
}
