package loftflow.warmstart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import loftflow.policy.api.AttemptCompleted;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.LimitReport;
import loftflow.policy.api.ProbeCompleted;
import loftflow.policy.api.RouteRestored;
import loftflow.policy.api.RouteSnapshot;
import loftflow.policy.api.TrustLevel;
import org.junit.jupiter.api.Test;

/** What a relay knows over a restart, and how it meets discovery again. */
class EndpointHistoryTest {
    private static final long SECOND = 1_000_000;
    private static final long T = 1_700_000_000 * SECOND;
    private static final ClockReading AT = new ClockReading(T, 900 * SECOND, "b1");
    private static final EndpointHistory.Rules RULES =
            new EndpointHistory.Rules(new TrustPolicy(1800 * SECOND), 60 * SECOND, SECOND / 10, 10 * SECOND, false);

    private static ListedEndpoint listing(int i) {
        return new ListedEndpoint(
                new EndpointEntry("e" + i, i, "k", "b", Availability.LISTED, 0), "127.0.0.1:" + (1000 + i));
    }

    private static ListUpdate all(long revision, int n) {
        return new ListUpdate(
                EndpointListKind.FULL,
                revision,
                IntStream.range(0, n).mapToObj(EndpointHistoryTest::listing).toList());
    }

    private static AttemptCompleted outcome(int i, AttemptOutcome result, long wait) {
        return new AttemptCompleted(1, 0, "e" + i, result, false, wait, 2 * SECOND, LimitReport.NONE);
    }

    private static ProbeCompleted probe(int i, AttemptOutcome result) {
        return new ProbeCompleted("e" + i, result, 0, 1000, LimitReport.NONE);
    }

    private static RouteSnapshot standing(int i, long wait, double usual, boolean out, long warm) {
        return new RouteSnapshot("e" + i, wait, 0, usual, 30_000, out, warm);
    }

    /** A book that discovery has told of {@code n} endpoints. */
    private static EndpointHistory told(int n) {
        EndpointHistory book = new EndpointHistory(RULES, "app#0");
        book.open(null, List.of(), true, null, AT, T);
        book.heard(all(5, n), T);
        return book;
    }

    private static EndpointHistory.Opening reopen(
            EndpointHistory book, Snapshot picture, List<SnapshotDelta> notes, long later) {
        return book.open(picture, notes, true, null, AT.plus(later), T + later);
    }

    private static RouteRestored of(EndpointHistory.Opening opening, int i) {
        return opening.remembered().stream()
                .filter(r -> r.snapshot().route().equals("e" + i))
                .findFirst()
                .orElse(null);
    }

    @Test
    void startKnowsTheListAndWhatWasLearnt() {
        Snapshot picture = told(3).picture(AT, T, List.of(standing(1, 0, 4.5, false, 0)));
        EndpointHistory.Opening opening = reopen(new EndpointHistory(RULES, "app#0"), picture, List.of(), 5 * SECOND);
        assertEquals(List.of(listing(0), listing(1), listing(2)), opening.list());
        assertEquals(5, opening.revision());
        assertEquals(new RouteRestored(TrustLevel.AS_LISTED, standing(1, 0, 4.5, false, 0)), of(opening, 1));
        assertEquals(
                List.of("remembered 3 endpoints of revision 5, saved 5 s ago: 3 as listed, 0 to be tried first,"
                        + " 0 if nothing else is left, 0 never"),
                opening.log());
    }

    @Test
    void drainAndRemovalToldAfterThePictureHold() {
        EndpointHistory book = told(3);
        Snapshot picture = book.picture(AT, T, List.of());
        ListedEndpoint drained =
                new ListedEndpoint(new EndpointEntry("e1", 1, "k", "b", Availability.DRAINING, 0), "127.0.0.1:1001");
        EndpointHistory.Heard heard = book.heard(
                new ListUpdate(
                        EndpointListKind.DELTA, 6, List.of(drained, listing(2).gone())),
                T + SECOND);
        assertEquals(
                List.of(
                        new SnapshotDelta(SnapshotDelta.Kind.GONE, "e1", T + SECOND),
                        new SnapshotDelta(SnapshotDelta.Kind.GONE, "e2", T + SECOND)),
                heard.notes());
        EndpointHistory.Opening opening =
                reopen(new EndpointHistory(RULES, "app#0"), picture, heard.notes(), 2 * SECOND);
        assertEquals(List.of(listing(0)), opening.list());
    }

    @Test
    void waitIsNeverShortenedByARestart() {
        EndpointHistory book = told(2);
        Snapshot picture = book.picture(AT, T, List.of(standing(0, 20 * SECOND, 0, false, 0)));
        EndpointHistory.Heard heard = book.saw(outcome(1, AttemptOutcome.REJECTED, 8 * SECOND), T + SECOND);
        assertEquals(List.of(new SnapshotDelta(SnapshotDelta.Kind.WAIT, "e1", T + 9 * SECOND)), heard.notes());
        assertTrue(
                book.saw(outcome(1, AttemptOutcome.REJECTED, 7 * SECOND), T + 2 * SECOND)
                        .notes()
                        .isEmpty(),
                "no longer wait");
        EndpointHistory.Opening opening =
                reopen(new EndpointHistory(RULES, "app#0"), picture, heard.notes(), 5 * SECOND);
        assertEquals(15 * SECOND + SECOND / 10, of(opening, 0).snapshot().retryAfterRemainingMicros());
        assertEquals(4 * SECOND + SECOND / 10, of(opening, 1).snapshot().retryAfterRemainingMicros());
        // Where the clock was set two hours back over a boot, nothing is known to have passed.
        ClockReading back = new ClockReading(T - 7200 * SECOND, SECOND, "b2");
        EndpointHistory.Opening doubtful =
                new EndpointHistory(RULES, "app#0").open(picture, heard.notes(), true, null, back, T);
        assertEquals(20 * SECOND + SECOND / 10, of(doubtful, 0).snapshot().retryAfterRemainingMicros());
        assertEquals(TrustLevel.LAST_RESORT, of(doubtful, 0).trust());
    }

    @Test
    void lostNoteDoubtsEverythingAndWaitsForAll() {
        Snapshot picture = told(2).picture(AT, T, List.of());
        SnapshotDelta lost = SnapshotDelta.inPlaceOf(List.of(
                new SnapshotDelta(SnapshotDelta.Kind.GONE, "e0", T),
                new SnapshotDelta(SnapshotDelta.Kind.WAIT, "e1", T + 9 * SECOND)));
        EndpointHistory.Opening opening = reopen(new EndpointHistory(RULES, "app#0"), picture, List.of(lost), SECOND);
        for (RouteRestored one : opening.remembered()) {
            assertEquals(TrustLevel.PROBE_FIRST, one.trust());
            assertEquals(8 * SECOND + SECOND / 10, one.snapshot().retryAfterRemainingMicros());
        }
    }

    @Test
    void partnerThatWasOutIsColdAndOneThatCameBackJustNowStaysSo() {
        EndpointHistory book = told(3);
        Snapshot picture = book.picture(AT, T, List.of(standing(0, 0, 0, true, 0)));
        for (int i = 0; i < 3; i++) {
            assertEquals(
                    i == 2 ? 1 : 0,
                    book.saw(outcome(1, AttemptOutcome.CONNECT_FAILED, 0), T + i * SECOND)
                            .notes()
                            .size());
            book.saw(outcome(2, AttemptOutcome.RESET, 0), T + i * SECOND);
        }
        List<SnapshotDelta> notes = List.of(
                new SnapshotDelta(SnapshotDelta.Kind.DOWN, "e1", T + 2 * SECOND),
                new SnapshotDelta(SnapshotDelta.Kind.DOWN, "e2", T + 2 * SECOND),
                book.saw(outcome(2, AttemptOutcome.OK, 0), T + 4 * SECOND)
                        .notes()
                        .get(0));
        assertEquals(new SnapshotDelta(SnapshotDelta.Kind.BACK, "e2", T + 4 * SECOND), notes.get(2));
        EndpointHistory.Opening opening = reopen(new EndpointHistory(RULES, "app#0"), picture, notes, 6 * SECOND);
        assertTrue(of(opening, 0).snapshot().circuitOpen());
        assertTrue(of(opening, 1).snapshot().circuitOpen());
        assertEquals(TrustLevel.PROBE_FIRST, of(opening, 1).trust(), "its last call failed");
        assertFalse(of(opening, 2).snapshot().circuitOpen());
        assertEquals(8 * SECOND, of(opening, 2).snapshot().warmUpRemainingMicros());
    }

    @Test
    void addressThatAnswersAsSomethingElseIsOutUntilDiscoverySaysOtherwise() {
        Snapshot picture = told(3).picture(AT, T, List.of());
        EndpointHistory book = new EndpointHistory(RULES, "app#0");
        reopen(book, picture, List.of(), SECOND);
        EndpointHistory.Heard heard = book.saw(probe(1, AttemptOutcome.ERROR), T + 2 * SECOND);
        assertEquals(
                new ListUpdate(EndpointListKind.DELTA, 5, List.of(listing(1).gone())), heard.passOn());
        assertEquals(SnapshotDelta.Kind.STRUCK, heard.notes().get(0).kind());
        EndpointHistory.Opening again = reopen(new EndpointHistory(RULES, "app#0"), picture, heard.notes(), 9 * SECOND);
        assertEquals(List.of(listing(0), listing(2)), again.list(), "over a restart too");
        EndpointHistory.Heard back = book.heard(all(6, 3), T + 20 * SECOND);
        assertEquals(3, back.passOn().entries().size());
        assertEquals(
                List.of("e1"),
                back.remembered().stream().map(r -> r.snapshot().route()).toList());
        assertTrue(back.remembered().get(0).snapshot().circuitOpen(), "it is cold, as far as this relay knows");
        assertNull(
                book.saw(probe(1, AttemptOutcome.ERROR), T + 21 * SECOND).passOn(),
                "what discovery lists is not struck out");
    }

    @Test
    void addressThatRefusesOrHangsTwiceIsOutAndOneRefusalIsNot() {
        Snapshot picture = told(4).picture(AT, T, List.of());
        EndpointHistory book = new EndpointHistory(RULES, "app#0");
        reopen(book, picture, List.of(), SECOND);
        assertNull(book.saw(outcome(0, AttemptOutcome.CONNECT_FAILED, 0), T + 2 * SECOND)
                .passOn());
        assertNull(
                book.saw(outcome(0, AttemptOutcome.CONNECT_FAILED, 0), T + 2 * SECOND + 9)
                        .passOn(),
                "one burst is one refusal");
        assertEquals(
                "e0",
                book.saw(outcome(0, AttemptOutcome.CONNECT_FAILED, 0), T + 4 * SECOND)
                        .passOn()
                        .entries()
                        .get(0)
                        .id());
        assertNull(book.saw(probe(1, AttemptOutcome.TIMEOUT), T + 2 * SECOND).passOn());
        assertEquals(
                "e1",
                book.saw(probe(1, AttemptOutcome.TIMEOUT), T + 4 * SECOND)
                        .passOn()
                        .entries()
                        .get(0)
                        .id());
        book.saw(outcome(2, AttemptOutcome.CONNECT_FAILED, 0), T + 2 * SECOND);
        book.saw(outcome(2, AttemptOutcome.OK, 0), T + 3 * SECOND);
        assertNull(
                book.saw(outcome(2, AttemptOutcome.CONNECT_FAILED, 0), T + 9 * SECOND)
                        .passOn(),
                "an answer between");
        book.saw(outcome(3, AttemptOutcome.REJECTED, 0), T + 2 * SECOND);
        assertNull(book.saw(outcome(3, AttemptOutcome.RESET, 0), T + 9 * SECOND).passOn());
    }

    @Test
    void tenStartsInTenSecondsKeepPaceAndTrust() {
        Snapshot picture = told(1).picture(AT, T, List.of(standing(0, 0, 8, false, 0)));
        for (int start = 1; start <= 10; start++) {
            EndpointHistory book = new EndpointHistory(RULES, "app#0");
            long now = start * SECOND;
            EndpointHistory.Opening opening = reopen(book, picture, List.of(), now);
            assertEquals(TrustLevel.AS_LISTED, of(opening, 0).trust());
            assertEquals(8, of(opening, 0).snapshot().usualRatePerSecond(), 1e-6);
            // In so short a life the module has seen a tenth of the usual calls.
            picture = book.picture(AT.plus(now), T + now, List.of(standing(0, 0, 0.8, false, 0)));
        }
        assertEquals(T, picture.endpoints().get(0).listedAt(), "no start counts as evidence");
        EndpointHistory late = new EndpointHistory(RULES, "app#0");
        assertEquals(
                TrustLevel.PROBE_FIRST,
                of(reopen(late, picture, List.of(), 1802 * SECOND), 0).trust());
    }

    @Test
    void listOnFileIsAllThereIsAndKeepsWhatWasLearnt() {
        EndpointHistory.Rules fixed =
                new EndpointHistory.Rules(RULES.trust(), RULES.settle(), RULES.margin(), RULES.warmUp(), true);
        Snapshot picture = told(3).picture(AT, T, List.of(standing(1, 9 * SECOND, 3, true, 0)));
        EndpointHistory book = new EndpointHistory(fixed, "app#0");
        ListUpdate file = new ListUpdate(EndpointListKind.FULL, 0, List.of(listing(1), listing(5)));
        EndpointHistory.Opening opening = book.open(
                picture,
                List.of(new SnapshotDelta(SnapshotDelta.Kind.STRUCK, "e1", T)),
                true,
                file,
                AT.plus(99_999 * SECOND),
                T + 99_999 * SECOND);
        assertEquals(List.of(listing(1), listing(5)), opening.list());
        assertEquals(TrustLevel.AS_LISTED, of(opening, 1).trust());
        assertTrue(of(opening, 1).snapshot().circuitOpen());
        assertNull(book.saw(probe(1, AttemptOutcome.ERROR), T).passOn(), "nobody could say otherwise");
    }

    @Test
    void newerListThanThePictureIsUsedWithWhatWasLearnt() {
        Snapshot picture = told(2).picture(AT, T, List.of(standing(0, 0, 0, true, 0)));
        EndpointHistory.Opening opening =
                new EndpointHistory(RULES, "app#0").open(picture, List.of(), true, all(9, 1), AT, T);
        assertEquals(9, opening.revision());
        assertEquals(List.of(listing(0)), opening.list());
        assertTrue(of(opening, 0).snapshot().circuitOpen());
        assertEquals(
                2,
                new EndpointHistory(RULES, "app#0")
                        .open(picture, List.of(), true, all(4, 1), AT, T)
                        .list()
                        .size());
    }

    @Test
    void pictureCountsOnAndIsDueAgainWhereItCouldNotBeSaved() {
        EndpointHistory book = told(1);
        assertTrue(book.hasChanged());
        assertEquals(1, book.picture(AT, T, List.of()).generation());
        assertTrue(book.hasChanged(), "it may not be saved just now");
        book.saving();
        assertFalse(book.hasChanged());
        assertEquals(2, book.picture(AT, T, List.of()).generation());
        book.saving();
        book.notSaved();
        assertTrue(book.hasChanged());
        assertEquals(2, book.picture(AT, T, List.of()).generation(), "its place is the one that does not stand");
    }
}
