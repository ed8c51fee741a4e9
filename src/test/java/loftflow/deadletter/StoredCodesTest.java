package loftflow.deadletter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Pins the codes of the database and the admin protocol, which must not change. */
class StoredCodesTest {
    private static Stream<Arguments> stateCodes() {
        return Stream.of(
                Arguments.of(DeadLetter.State.STORED, "KEPT"),
                Arguments.of(DeadLetter.State.REDRIVING, "RESENDING"),
                Arguments.of(DeadLetter.State.DELIVERED, "DELIVERED"),
                Arguments.of(DeadLetter.State.DISCARDED, "DISCARDED"));
    }

    @ParameterizedTest
    @MethodSource("stateCodes")
    void stateCodesArePinned(DeadLetter.State state, String code) {
        assertEquals(code, state.code());
        assertEquals(state, DeadLetter.State.ofCode(code));
    }

    private static Stream<Arguments> certaintyCodes() {
        return Stream.of(
                Arguments.of(ExecutionCertainty.NOT_EXECUTED, "NEVER"),
                Arguments.of(ExecutionCertainty.UNKNOWN, "MAYBE"),
                Arguments.of(ExecutionCertainty.EXECUTED, "DID"));
    }

    @ParameterizedTest
    @MethodSource("certaintyCodes")
    void certaintyCodesArePinned(ExecutionCertainty certainty, String code) {
        assertEquals(code, certainty.code());
        assertEquals(certainty, ExecutionCertainty.ofCode(code));
    }

    @Test
    void unknownCodesAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> DeadLetter.State.ofCode("REDRIVING"));
        assertThrows(IllegalArgumentException.class, () -> ExecutionCertainty.ofCode("EXECUTED"));
    }

    /** The certainty of several attempts is computed as their maximum, which depends on the order of the constants. */
    @Test
    void certaintiesAreInAscendingOrder() {
        assertEquals(
                List.of(ExecutionCertainty.NOT_EXECUTED, ExecutionCertainty.UNKNOWN, ExecutionCertainty.EXECUTED),
                List.of(ExecutionCertainty.values()));
        assertTrue(ExecutionCertainty.EXECUTED.compareTo(ExecutionCertainty.UNKNOWN) > 0);
    }
}
