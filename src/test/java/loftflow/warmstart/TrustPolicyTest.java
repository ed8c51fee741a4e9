package loftflow.warmstart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Ages, clocks and the curve of trust. */
class TrustPolicyTest {
    private static final long SECOND = 1_000_000;
    private static final long HOUR = 3600 * SECOND;
    private static final long T = 1_700_000_000 * SECOND;
    private static final TrustPolicy TRUST = new TrustPolicy(HOUR / 2);

    private static KnownEndpoint known(long listed, long answered, long failed, KnownEndpoint.State state) {
        return new KnownEndpoint(
                new EndpointEntry("a", 7, "k", "b", Availability.LISTED, 0),
                "127.0.0.1:1",
                state,
                listed,
                answered,
                failed,
                0,
                null);
    }

    private static DowntimeEstimate exactly(long span) {
        return new DowntimeEstimate(span, span, false);
    }

    @ParameterizedTest
    @CsvSource({
        "1, AS_LISTED",
        "133, AS_LISTED",
        "134, TRY_FIRST",
        "7200, TRY_FIRST",
        "53999, TRY_FIRST",
        "54001, LAST",
        "1814400, LAST"
    })
    void degreeFallsWithAge(long seconds, EndpointTrust degree) {
        assertEquals(
                degree, TRUST.degree(known(T, 0, 0, KnownEndpoint.State.LISTED), T, exactly(seconds * SECOND), true));
        assertEquals(
                degree,
                TRUST.degree(known(T - seconds * SECOND, 0, 0, KnownEndpoint.State.LISTED), T, exactly(0), true),
                "the age before the picture counts alike");
    }

    @Test
    void answerIsEvidenceAndAFailureAfterItIsDoubt() {
        assertEquals(
                EndpointTrust.AS_LISTED,
                TRUST.degree(known(T - 9 * HOUR, T, T - 1, KnownEndpoint.State.LISTED), T, exactly(1), true));
        assertEquals(
                EndpointTrust.TRY_FIRST,
                TRUST.degree(known(T, T - 2, T - 1, KnownEndpoint.State.LISTED), T, exactly(1), true));
    }

    @Test
    void removedDrainingAndStruckNeverComeBackAtAnyAge() {
        for (KnownEndpoint.State state :
                new KnownEndpoint.State[] {KnownEndpoint.State.GONE, KnownEndpoint.State.STRUCK}) {
            for (long age : new long[] {0, HOUR, 1000 * HOUR, DowntimeEstimate.UNKNOWN}) {
                assertEquals(EndpointTrust.NEVER, TRUST.degree(known(T, T, 0, state), T, exactly(age), true));
            }
        }
    }

    @Test
    void doubtAllowsNoMoreThanOneTry() {
        KnownEndpoint young = known(T, T, 0, KnownEndpoint.State.LISTED);
        assertEquals(
                EndpointTrust.TRY_FIRST,
                TRUST.degree(young, T, new DowntimeEstimate(0, SECOND, true), true),
                "a boot between");
        assertEquals(EndpointTrust.TRY_FIRST, TRUST.degree(young, T, exactly(SECOND), false), "notes are missing");
        assertEquals(
                EndpointTrust.LAST,
                TRUST.degree(young, T, new DowntimeEstimate(0, DowntimeEstimate.UNKNOWN, true), true),
                "set back");
        assertEquals(
                EndpointTrust.TRY_FIRST,
                TRUST.degree(known(T + HOUR, 0, 0, KnownEndpoint.State.LISTED), T, exactly(1), true),
                "evidence from the future");
    }

    @Test
    void clockThatIsNeverSetMeasuresWithinABoot() {
        ClockReading then = new ClockReading(T, 500 * SECOND, "b1");
        for (long set : new long[] {0, -2 * HOUR, 2 * HOUR}) {
            ClockReading now = new ClockReading(T + set + 5 * SECOND, 505 * SECOND, "b1");
            assertEquals(exactly(5 * SECOND), DowntimeEstimate.between(then, now));
            assertEquals(T + 5 * SECOND, DowntimeEstimate.goOn(T, then, now), "the relay's own time goes on");
        }
    }

    @Test
    void overABootNothingIsProven() {
        ClockReading then = new ClockReading(T, 500 * SECOND, "b1");
        DowntimeEstimate later = DowntimeEstimate.between(then, new ClockReading(T + HOUR, SECOND, "b2"));
        assertEquals(new DowntimeEstimate(0, HOUR, true), later);
        DowntimeEstimate back = DowntimeEstimate.between(then, new ClockReading(T - 2 * HOUR, SECOND, "b2"));
        assertEquals(new DowntimeEstimate(0, DowntimeEstimate.UNKNOWN, true), back);
        assertEquals(
                T,
                DowntimeEstimate.goOn(T, then, new ClockReading(T - 2 * HOUR, SECOND, "b2")),
                "time never goes back");
        assertTrue(
                DowntimeEstimate.between(new ClockReading(T, 0, ""), new ClockReading(T, 0, ""))
                        .doubtful(),
                "no boot is told");
        assertTrue(
                DowntimeEstimate.between(then, new ClockReading(T, 499 * SECOND, "b1"))
                        .doubtful(),
                "a boot's clock can't go back");
    }

    @Test
    void trustOnlyFallsWithoutEvidence() {
        double before = TRUST.at(0);
        assertEquals(1, before);
        for (long age = SECOND; age < 40 * HOUR; age += 97 * SECOND) {
            double now = TRUST.at(age);
            assertFalse(now > before);
            before = now;
        }
    }
}
