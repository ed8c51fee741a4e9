package pipitstage.remembered;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import pipitstage.Policy;
import pipitstage.Policy.Availability;
import pipitstage.Policy.Belief;
import pipitstage.Policy.LimitReport;
import pipitstage.Policy.ListKind;
import pipitstage.Policy.Result;
import pipitstage.Policy.Standing;

/** What a relay knows over a restart, and how it meets discovery again. */
class BookTest {
    private static final long SECOND = 1_000_000;
    private static final long T = 1_700_000_000 * SECOND;
    private static final Moment AT = new Moment(T, 900 * SECOND, "b1");
    private static final Book.Rules RULES =
            new Book.Rules(new Trust(1800 * SECOND), 60 * SECOND, SECOND / 10, 10 * SECOND, false);

    private static Listing listing(int i) {
        return new Listing(new Policy.Listed("e" + i, i, "k", "b", Availability.LISTED, 0), "127.0.0.1:" + (1000 + i));
    }

    private static Told all(long revision, int n) {
        return new Told(
                ListKind.FULL,
                revision,
                IntStream.range(0, n).mapToObj(BookTest::listing).toList());
    }

    private static Policy.Outcome outcome(int i, Result result, long wait) {
        return new Policy.Outcome(1, 0, "e" + i, result, false, wait, 2 * SECOND, LimitReport.NONE);
    }

    private static Policy.ProbeDone probe(int i, Result result) {
        return new Policy.ProbeDone("e" + i, result, 0, 1000, LimitReport.NONE);
    }

    private static Standing standing(int i, long wait, double usual, boolean out, long warm) {
        return new Standing("e" + i, wait, 0, usual, 30_000, out, warm);
    }

    /** A book that discovery has told of {@code n} endpoints. */
    private static Book told(int n) {
        Book book = new Book(RULES, "app#0");
        book.open(null, List.of(), true, null, AT, T);
        book.heard(all(5, n), T);
        return book;
    }

    private static Book.Opening reopen(Book book, Picture picture, List<Note> notes, long later) {
        return book.open(picture, notes, true, null, AT.plus(later), T + later);
    }

    private static Policy.Remembered of(Book.Opening opening, int i) {
        return opening.remembered().stream()
                .filter(r -> r.standing().route().equals("e" + i))
                .findFirst()
                .orElse(null);
    }

    @Test
    void startKnowsTheListAndWhatWasLearnt() {
        Picture picture = told(3).picture(AT, T, List.of(standing(1, 0, 4.5, false, 0)));
        Book.Opening opening = reopen(new Book(RULES, "app#0"), picture, List.of(), 5 * SECOND);
        assertEquals(List.of(listing(0), listing(1), listing(2)), opening.list());
        assertEquals(5, opening.revision());
        assertEquals(new Policy.Remembered(Belief.AS_LISTED, standing(1, 0, 4.5, false, 0)), of(opening, 1));
        assertEquals(
                List.of("remembered 3 endpoints of revision 5, saved 5 s ago: 3 as listed, 0 to be tried first,"
                        + " 0 if nothing else is left, 0 never"),
                opening.log());
    }

    @Test
    void drainAndRemovalToldAfterThePictureHold() {
        Book book = told(3);
        Picture picture = book.picture(AT, T, List.of());
        Listing drained = new Listing(new Policy.Listed("e1", 1, "k", "b", Availability.DRAINING, 0), "127.0.0.1:1001");
        Book.Heard heard = book.heard(
                new Told(ListKind.CHANGES, 6, List.of(drained, listing(2).gone())), T + SECOND);
        assertEquals(
                List.of(new Note(Note.Kind.GONE, "e1", T + SECOND), new Note(Note.Kind.GONE, "e2", T + SECOND)),
                heard.notes());
        Book.Opening opening = reopen(new Book(RULES, "app#0"), picture, heard.notes(), 2 * SECOND);
        assertEquals(List.of(listing(0)), opening.list());
    }

    @Test
    void waitIsNeverShortenedByARestart() {
        Book book = told(2);
        Picture picture = book.picture(AT, T, List.of(standing(0, 20 * SECOND, 0, false, 0)));
        Book.Heard heard = book.saw(outcome(1, Result.FULL, 8 * SECOND), T + SECOND);
        assertEquals(List.of(new Note(Note.Kind.WAIT, "e1", T + 9 * SECOND)), heard.notes());
        assertTrue(
                book.saw(outcome(1, Result.FULL, 7 * SECOND), T + 2 * SECOND)
                        .notes()
                        .isEmpty(),
                "no longer wait");
        Book.Opening opening = reopen(new Book(RULES, "app#0"), picture, heard.notes(), 5 * SECOND);
        assertEquals(15 * SECOND + SECOND / 10, of(opening, 0).standing().waitLeft());
        assertEquals(4 * SECOND + SECOND / 10, of(opening, 1).standing().waitLeft());
        // Where the clock was set two hours back over a boot, nothing is known to have passed.
        Moment back = new Moment(T - 7200 * SECOND, SECOND, "b2");
        Book.Opening doubtful = new Book(RULES, "app#0").open(picture, heard.notes(), true, null, back, T);
        assertEquals(20 * SECOND + SECOND / 10, of(doubtful, 0).standing().waitLeft());
        assertEquals(Belief.LAST, of(doubtful, 0).belief());
    }

    @Test
    void lostNoteDoubtsEverythingAndWaitsForAll() {
        Picture picture = told(2).picture(AT, T, List.of());
        Note lost = Note.inPlaceOf(
                List.of(new Note(Note.Kind.GONE, "e0", T), new Note(Note.Kind.WAIT, "e1", T + 9 * SECOND)));
        Book.Opening opening = reopen(new Book(RULES, "app#0"), picture, List.of(lost), SECOND);
        for (Policy.Remembered one : opening.remembered()) {
            assertEquals(Belief.TRY_FIRST, one.belief());
            assertEquals(8 * SECOND + SECOND / 10, one.standing().waitLeft());
        }
    }

    @Test
    void partnerThatWasOutIsColdAndOneThatCameBackJustNowStaysSo() {
        Book book = told(3);
        Picture picture = book.picture(AT, T, List.of(standing(0, 0, 0, true, 0)));
        for (int i = 0; i < 3; i++) {
            assertEquals(
                    i == 2 ? 1 : 0,
                    book.saw(outcome(1, Result.CONNECT_FAILED, 0), T + i * SECOND)
                            .notes()
                            .size());
            book.saw(outcome(2, Result.RESET, 0), T + i * SECOND);
        }
        List<Note> notes = List.of(
                new Note(Note.Kind.DOWN, "e1", T + 2 * SECOND),
                new Note(Note.Kind.DOWN, "e2", T + 2 * SECOND),
                book.saw(outcome(2, Result.OK, 0), T + 4 * SECOND).notes().get(0));
        assertEquals(new Note(Note.Kind.BACK, "e2", T + 4 * SECOND), notes.get(2));
        Book.Opening opening = reopen(new Book(RULES, "app#0"), picture, notes, 6 * SECOND);
        assertTrue(of(opening, 0).standing().out());
        assertTrue(of(opening, 1).standing().out());
        assertEquals(Belief.TRY_FIRST, of(opening, 1).belief(), "its last call failed");
        assertFalse(of(opening, 2).standing().out());
        assertEquals(8 * SECOND, of(opening, 2).standing().warmLeft());
    }

    @Test
    void addressThatAnswersAsSomethingElseIsOutUntilDiscoverySaysOtherwise() {
        Picture picture = told(3).picture(AT, T, List.of());
        Book book = new Book(RULES, "app#0");
        reopen(book, picture, List.of(), SECOND);
        Book.Heard heard = book.saw(probe(1, Result.ERROR), T + 2 * SECOND);
        assertEquals(new Told(ListKind.CHANGES, 5, List.of(listing(1).gone())), heard.passOn());
        assertEquals(Note.Kind.STRUCK, heard.notes().get(0).kind());
        Book.Opening again = reopen(new Book(RULES, "app#0"), picture, heard.notes(), 9 * SECOND);
        assertEquals(List.of(listing(0), listing(2)), again.list(), "over a restart too");
        Book.Heard back = book.heard(all(6, 3), T + 20 * SECOND);
        assertEquals(3, back.passOn().entries().size());
        assertEquals(
                List.of("e1"),
                back.remembered().stream().map(r -> r.standing().route()).toList());
        assertTrue(back.remembered().get(0).standing().out(), "it is cold, as far as this relay knows");
        assertNull(
                book.saw(probe(1, Result.ERROR), T + 21 * SECOND).passOn(), "what discovery lists is not struck out");
    }

    @Test
    void addressThatRefusesOrHangsTwiceIsOutAndOneRefusalIsNot() {
        Picture picture = told(4).picture(AT, T, List.of());
        Book book = new Book(RULES, "app#0");
        reopen(book, picture, List.of(), SECOND);
        assertNull(
                book.saw(outcome(0, Result.CONNECT_FAILED, 0), T + 2 * SECOND).passOn());
        assertNull(
                book.saw(outcome(0, Result.CONNECT_FAILED, 0), T + 2 * SECOND + 9)
                        .passOn(),
                "one burst is one refusal");
        assertEquals(
                "e0",
                book.saw(outcome(0, Result.CONNECT_FAILED, 0), T + 4 * SECOND)
                        .passOn()
                        .entries()
                        .get(0)
                        .id());
        assertNull(book.saw(probe(1, Result.TIMEOUT), T + 2 * SECOND).passOn());
        assertEquals(
                "e1",
                book.saw(probe(1, Result.TIMEOUT), T + 4 * SECOND)
                        .passOn()
                        .entries()
                        .get(0)
                        .id());
        book.saw(outcome(2, Result.CONNECT_FAILED, 0), T + 2 * SECOND);
        book.saw(outcome(2, Result.OK, 0), T + 3 * SECOND);
        assertNull(
                book.saw(outcome(2, Result.CONNECT_FAILED, 0), T + 9 * SECOND).passOn(), "an answer between");
        book.saw(outcome(3, Result.FULL, 0), T + 2 * SECOND);
        assertNull(book.saw(outcome(3, Result.RESET, 0), T + 9 * SECOND).passOn());
    }

    @Test
    void tenStartsInTenSecondsKeepPaceAndTrust() {
        Picture picture = told(1).picture(AT, T, List.of(standing(0, 0, 8, false, 0)));
        for (int start = 1; start <= 10; start++) {
            Book book = new Book(RULES, "app#0");
            long now = start * SECOND;
            Book.Opening opening = reopen(book, picture, List.of(), now);
            assertEquals(Belief.AS_LISTED, of(opening, 0).belief());
            assertEquals(8, of(opening, 0).standing().usual(), 1e-6);
            // In so short a life the module has seen a tenth of the usual calls.
            picture = book.picture(AT.plus(now), T + now, List.of(standing(0, 0, 0.8, false, 0)));
        }
        assertEquals(T, picture.endpoints().get(0).listedAt(), "no start counts as evidence");
        Book late = new Book(RULES, "app#0");
        assertEquals(
                Belief.TRY_FIRST,
                of(reopen(late, picture, List.of(), 1802 * SECOND), 0).belief());
    }

    @Test
    void listOnFileIsAllThereIsAndKeepsWhatWasLearnt() {
        Book.Rules fixed = new Book.Rules(RULES.trust(), RULES.settle(), RULES.margin(), RULES.warmUp(), true);
        Picture picture = told(3).picture(AT, T, List.of(standing(1, 9 * SECOND, 3, true, 0)));
        Book book = new Book(fixed, "app#0");
        Told file = new Told(ListKind.FULL, 0, List.of(listing(1), listing(5)));
        Book.Opening opening = book.open(
                picture,
                List.of(new Note(Note.Kind.STRUCK, "e1", T)),
                true,
                file,
                AT.plus(99_999 * SECOND),
                T + 99_999 * SECOND);
        assertEquals(List.of(listing(1), listing(5)), opening.list());
        assertEquals(Belief.AS_LISTED, of(opening, 1).belief());
        assertTrue(of(opening, 1).standing().out());
        assertNull(book.saw(probe(1, Result.ERROR), T).passOn(), "nobody could say otherwise");
    }

    @Test
    void newerListThanThePictureIsUsedWithWhatWasLearnt() {
        Picture picture = told(2).picture(AT, T, List.of(standing(0, 0, 0, true, 0)));
        Book.Opening opening = new Book(RULES, "app#0").open(picture, List.of(), true, all(9, 1), AT, T);
        assertEquals(9, opening.revision());
        assertEquals(List.of(listing(0)), opening.list());
        assertTrue(of(opening, 0).standing().out());
        assertEquals(
                2,
                new Book(RULES, "app#0")
                        .open(picture, List.of(), true, all(4, 1), AT, T)
                        .list()
                        .size());
    }

    @Test
    void pictureCountsOnAndIsDueAgainWhereItCouldNotBeSaved() {
        Book book = told(1);
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
