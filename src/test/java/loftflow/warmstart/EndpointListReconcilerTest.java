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

/** Acceptance of discovery lists: accepted entries and the time at which they are accepted. */
class EndpointListReconcilerTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long SETTLE_MICROS = 60 * SECOND_MICROS;

    private static ListedEndpoint entry(String id, int port, Availability availability) {
        return new ListedEndpoint(new EndpointEntry(id, 7, "k", "b", availability, 0), "127.0.0.1:" + port);
    }

    private static ListedEndpoint listed(int i) {
        return entry("e" + i, 1000 + i, Availability.LISTED);
    }

    private static List<ListedEndpoint> firstEndpoints(int count) {
        return IntStream.range(0, count)
                .mapToObj(EndpointListReconcilerTest::listed)
                .toList();
    }

    private static ListUpdate fullList(long revision, List<ListedEndpoint> entries) {
        return new ListUpdate(EndpointListKind.FULL, revision, entries);
    }

    private static ListUpdate deltaList(long revision, ListedEndpoint... entries) {
        return new ListUpdate(EndpointListKind.DELTA, revision, List.of(entries));
    }

    @Test
    void fullListReplacesTheRestoredList() {
        EndpointListReconciler reconciler = new EndpointListReconciler(SETTLE_MICROS, 5, firstEndpoints(20));
        EndpointListReconciler.Result result = reconciler.reconcile(fullList(6, firstEndpoints(18)), 0);
        assertEquals(EndpointListKind.FULL, result.accepted().kind());
        assertFalse(reconciler.isInService("e18") || reconciler.isInService("e19"));
        assertTrue(reconciler.isInService("e17"));
        assertEquals(EndpointListReconciler.NEVER, result.refreshAtMicros());
    }

    @Test
    void emptyListRemovesNothingUntilTheSettleTimeIsOver() {
        EndpointListReconciler reconciler = new EndpointListReconciler(SETTLE_MICROS, 5, firstEndpoints(3));
        EndpointListReconciler.Result result = reconciler.reconcile(fullList(6, List.of()), 0);
        assertNull(result.accepted());
        assertEquals(SETTLE_MICROS, result.refreshAtMicros());
        assertEquals(1, result.logLines().size(), "the doubt is logged once: " + result.logLines());
        assertTrue(reconciler
                .reconcile(fullList(6, List.of()), SETTLE_MICROS - 1)
                .logLines()
                .isEmpty());
        assertTrue(reconciler.isInService("e0"));
        assertEquals(
                EndpointListKind.FULL,
                reconciler
                        .reconcile(fullList(6, List.of()), SETTLE_MICROS)
                        .accepted()
                        .kind());
        assertFalse(reconciler.isInService("e0"));
    }

    @Test
    void listOmittingNineOfTenAppliesItsEntriesAndRetainsTheRest() {
        EndpointListReconciler reconciler = new EndpointListReconciler(SETTLE_MICROS, 5, firstEndpoints(20));
        List<ListedEndpoint> fewEntries = new ArrayList<>(
                List.of(listed(0), entry("new", 9, Availability.LISTED), entry("e1", 1001, Availability.DRAINING)));
        EndpointListReconciler.Result result = reconciler.reconcile(fullList(6, fewEntries), 0);
        assertEquals(
                deltaList(6, fewEntries.toArray(ListedEndpoint[]::new)),
                result.accepted(),
                "the named entries are accepted at once");
        assertFalse(reconciler.isInService("e1"), "an explicit drain is accepted");
        assertTrue(reconciler.isInService("e5"));
        // A complete list clears the doubt.
        assertEquals(
                EndpointListKind.FULL,
                reconciler
                        .reconcile(fullList(7, firstEndpoints(20)), SECOND_MICROS)
                        .accepted()
                        .kind());
        reconciler.reconcile(fullList(8, fewEntries), 2 * SECOND_MICROS);
        assertTrue(reconciler.isInService("e5"), "the settle time starts again");
        reconciler.reconcile(fullList(8, fewEntries), 2 * SECOND_MICROS + SETTLE_MICROS);
        assertFalse(reconciler.isInService("e5"));
    }

    @Test
    void omissionOfEightInTenIsAccepted() {
        EndpointListReconciler reconciler = new EndpointListReconciler(SETTLE_MICROS, 5, firstEndpoints(20));
        assertEquals(
                EndpointListKind.FULL,
                reconciler
                        .reconcile(fullList(6, firstEndpoints(4)), 0)
                        .accepted()
                        .kind());
    }

    @Test
    void olderRevisionAddsNothingAndRemovesAtOnce() {
        EndpointListReconciler reconciler = new EndpointListReconciler(SETTLE_MICROS, 5, firstEndpoints(4));
        reconciler.reconcile(deltaList(9, entry("e3", 1003, Availability.REMOVED)), 0);
        List<ListedEndpoint> olderEntries = List.of(
                listed(0),
                listed(3),
                entry("e1", 1001, Availability.DRAINING),
                entry("unknown", 8, Availability.LISTED));
        EndpointListReconciler.Result result = reconciler.reconcile(fullList(7, olderEntries), SECOND_MICROS);
        assertEquals(deltaList(7, listed(0), entry("e1", 1001, Availability.DRAINING)), result.accepted());
        assertFalse(reconciler.isInService("e3") || reconciler.isInService("unknown") || reconciler.isInService("e1"));
        assertTrue(reconciler.isInService("e2"), "an omitted endpoint stays in service");
        reconciler.reconcile(fullList(7, olderEntries), SECOND_MICROS + SETTLE_MICROS);
        assertTrue(
                reconciler.isInService("e3") && reconciler.isInService("unknown"),
                "a restarted revision count is accepted after the settle time");
        assertFalse(reconciler.isInService("e2"));
    }

    @Test
    void deltaOfAnOlderRevisionRequestsTheFullList() {
        EndpointListReconciler reconciler = new EndpointListReconciler(SETTLE_MICROS, 5, firstEndpoints(2));
        EndpointListReconciler.Result result =
                reconciler.reconcile(deltaList(3, listed(5), entry("e0", 1000, Availability.REMOVED)), SECOND_MICROS);
        assertEquals(
                List.of(entry("e0", 1000, Availability.REMOVED)),
                result.accepted().entries());
        assertEquals(SECOND_MICROS, result.refreshAtMicros());
    }

    @Test
    void newIdAtAnAddressRemovesTheOldOne() {
        EndpointListReconciler reconciler = new EndpointListReconciler(SETTLE_MICROS, 5, firstEndpoints(3));
        ListedEndpoint next = entry("next", 1001, Availability.LISTED);
        EndpointListReconciler.Result result = reconciler.reconcile(deltaList(6, next), 0);
        assertEquals(List.of(listed(1).removed(), next), result.accepted().entries());
        assertFalse(reconciler.isInService("e1"));
        EndpointListReconciler reconcilerWithBoth = new EndpointListReconciler(SETTLE_MICROS, 5, firstEndpoints(3));
        reconcilerWithBoth.reconcile(deltaList(6, next, listed(1)), 0);
        assertTrue(
                reconcilerWithBoth.isInService("e1") && reconcilerWithBoth.isInService("next"),
                "both endpoints stay in service if the list names both");
    }

    /** A settle time of 0 is for platforms whose lists are authoritative. */
    @Test
    void everyListIsAcceptedAtOnceWithoutASettleTime() {
        EndpointListReconciler reconciler = new EndpointListReconciler(0, 5, firstEndpoints(20));
        assertEquals(
                EndpointListKind.FULL,
                reconciler
                        .reconcile(fullList(6, firstEndpoints(1)), 0)
                        .accepted()
                        .kind());
        assertFalse(reconciler.isInService("e5"));
        assertEquals(
                List.of(listed(7)),
                reconciler.reconcile(deltaList(3, listed(7)), 1).accepted().entries(),
                "a list with an older revision is accepted");
        for (int i = 0; i < 5; i++) {
            reconciler.reconcile(deltaList(7, entry("e7", 1007, Availability.REMOVED)), 2);
            reconciler.reconcile(deltaList(7, listed(7)), 3);
            assertTrue(reconciler.isInService("e7"), "return " + i);
        }
        assertEquals(
                EndpointListKind.FULL,
                reconciler.reconcile(fullList(8, List.of()), 4).accepted().kind());
    }

    @Test
    void flappingEndpointIsHeldBackLongerEachTime() {
        EndpointListReconciler reconciler = new EndpointListReconciler(SETTLE_MICROS, 5, firstEndpoints(2));
        long now = 0;
        for (int i = 0; i < 2; i++) {
            reconciler.reconcile(deltaList(6 + i, entry("e1", 1001, Availability.REMOVED)), now += SECOND_MICROS);
            reconciler.reconcile(deltaList(6 + i, listed(1)), now += SECOND_MICROS);
            assertTrue(reconciler.isInService("e1"), "return " + i);
        }
        reconciler.reconcile(deltaList(9, entry("e1", 1001, Availability.REMOVED)), now += SECOND_MICROS);
        assertNull(reconciler
                .reconcile(deltaList(9, listed(1)), now += SECOND_MICROS)
                .accepted());
        assertEquals(now + 10 * SECOND_MICROS, reconciler.nextReleaseMicros());
        assertNull(reconciler.releaseDue(now + 10 * SECOND_MICROS - 1));
        now += 10 * SECOND_MICROS;
        assertEquals(List.of(listed(1)), reconciler.releaseDue(now).entries());
        assertTrue(reconciler.isInService("e1"));
        reconciler.reconcile(deltaList(10, entry("e1", 1001, Availability.REMOVED)), now += SECOND_MICROS);
        assertFalse(reconciler.isInService("e1"), "a removal is accepted at once");
        reconciler.reconcile(deltaList(10, listed(1)), now += SECOND_MICROS);
        assertEquals(now + 20 * SECOND_MICROS, reconciler.nextReleaseMicros());
        reconciler.reconcile(deltaList(11, entry("e1", 1001, Availability.REMOVED)), now += SECOND_MICROS);
        assertEquals(
                EndpointListReconciler.NEVER,
                reconciler.nextReleaseMicros(),
                "an endpoint that is removed while it is held back stays out of service");
        assertNull(reconciler.releaseDue(now + 99 * SECOND_MICROS));
    }

    @Test
    void fullListThatOmitsAHeldEndpointEndsItsHold() {
        EndpointListReconciler reconciler = new EndpointListReconciler(SETTLE_MICROS, 5, firstEndpoints(20));
        long now = 0;
        for (int i = 0; i < 3; i++) {
            reconciler.reconcile(fullList(6 + 2 * i, firstEndpoints(19)), now += SECOND_MICROS);
            reconciler.reconcile(fullList(7 + 2 * i, firstEndpoints(20)), now += SECOND_MICROS);
        }
        assertFalse(reconciler.isInService("e19"));
        reconciler.reconcile(fullList(20, firstEndpoints(19)), now += SECOND_MICROS);
        assertNull(reconciler.releaseDue(now + 99 * SECOND_MICROS));
    }
}
