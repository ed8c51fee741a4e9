package loftflow.deadletter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The codes in the database and the admin protocol, which must not change. */
class StoredCodesTest {
    @ParameterizedTest
    @CsvSource({"KEPT, KEPT", "REDRIVING, RESENDING", "DELIVERED, DELIVERED", "DISCARDED, DISCARDED"})
    void stateCodesArePinned(DeadLetter.State state, String code) {
        assertEquals(code, state.code());
        assertEquals(state, DeadLetter.State.ofCode(code));
    }

    @ParameterizedTest
    @CsvSource({"NOT_EXECUTED, NEVER", "MAYBE, MAYBE", "EXECUTED, DID"})
    void certaintyCodesArePinned(ExecutionCertainty certainty, String code) {
        assertEquals(code, certainty.code());
        assertEquals(certainty, ExecutionCertainty.ofCode(code));
    }

    @Test
    void unknownCodesAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> DeadLetter.State.ofCode("REDRIVING"));
        assertThrows(IllegalArgumentException.class, () -> ExecutionCertainty.ofCode("EXECUTED"));
    }

    /** The certainty of several attempts is the greatest of theirs. */
    @Test
    void certaintiesAreInAscendingOrder() {
        assertEquals(
                List.of(ExecutionCertainty.NOT_EXECUTED, ExecutionCertainty.MAYBE, ExecutionCertainty.EXECUTED),
                List.of(ExecutionCertainty.values()));
        assertTrue(ExecutionCertainty.EXECUTED.compareTo(ExecutionCertainty.MAYBE) > 0);
    }
}
