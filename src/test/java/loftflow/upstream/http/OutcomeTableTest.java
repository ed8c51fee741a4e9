package loftflow.upstream.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import loftflow.policy.api.AttemptOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the outcome of every status and message state. */
class OutcomeTableTest {
    @ParameterizedTest
    @CsvSource({
        "200, OK, true",
        "500, ERROR, false",
        "429, REJECTED, false",
        "503, REJECTED, false",
        "504, NOT_SENT, false",
        "410, NOT_SENT, true",
        "400, NOT_SENT, false",
        "302, ERROR, false"
    })
    void statusDeterminesTheOutcomeOfACall(int status, AttemptOutcome outcome, boolean isMessageCompleted) {
        assertEquals(new OutcomeTable.Outcome(outcome, isMessageCompleted), OutcomeTable.ofStatus(status, false));
    }

    /** A message was sent again on a status that does not say that it never ran. */
    @ParameterizedTest
    @ValueSource(ints = {201, 204, 302, 401, 403, 404, 408, 413, 425, 500, 502})
    void statusThatTheProtocolDoesNotNameLeavesExecutionUncertain(int status) {
        assertEquals(new OutcomeTable.Outcome(AttemptOutcome.ERROR, false), OutcomeTable.ofStatus(status, false));
    }

    @ParameterizedTest
    @CsvSource({
        "200, ERROR",
        "410, ERROR",
        "500, ERROR",
        "404, ERROR",
        "429, REJECTED",
        "503, REJECTED",
        "504, NOT_SENT",
        "400, NOT_SENT",
        "413, NOT_SENT"
    })
    void statusDeterminesTheOutcomeOfABatch(int status, AttemptOutcome outcome) {
        assertEquals(new OutcomeTable.Outcome(outcome, false), OutcomeTable.ofBatchStatus(status, false));
    }

    @Test
    void concurrencyLimitOfTheRelayIsNotARejection() {
        assertEquals(new OutcomeTable.Outcome(AttemptOutcome.NOT_SENT, false), OutcomeTable.ofStatus(503, true));
    }

    @ParameterizedTest
    @CsvSource({
        "done, OK, true",
        "failed, ERROR, false",
        "busy, REJECTED, false",
        "void, NOT_SENT, true",
        "used_up, NOT_SENT, false",
        "other, ERROR, false"
    })
    void stateDeterminesTheOutcomeOfAMessageInABatch(String state, AttemptOutcome outcome, boolean isMessageCompleted) {
        assertEquals(new OutcomeTable.Outcome(outcome, isMessageCompleted), OutcomeTable.ofMessageState(state));
    }

    @ParameterizedTest
    @CsvSource({"200, OK", "503, REJECTED", "429, REJECTED", "404, ERROR"})
    void statusDeterminesTheOutcomeOfAProbe(int status, AttemptOutcome outcome) {
        assertEquals(outcome, OutcomeTable.ofProbeStatus(status));
    }
}
