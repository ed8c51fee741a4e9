package loftflow.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import loftflow.deadletter.DeadLetter;
import loftflow.deadletter.ExecutionCertainty;
import loftflow.engine.Message;
import loftflow.policy.api.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** The names in admin requests and responses, on which command lines of other versions rely. */
class DeadLetterSelectionTest {
    private static String errorFor(String member, String value) {
        return assertThrows(IllegalArgumentException.class, () -> DeadLetterSelection.of(Map.of(member, value)))
                .getMessage();
    }

    @Test
    void statesAndCertaintiesAreParsedFromTheirProtocolNames() {
        DeadLetterSelection selection = DeadLetterSelection.of(Map.of("state", "resending", "ran", "did"));
        assertEquals(DeadLetter.State.REDRIVING, selection.filter().state());
        assertEquals(ExecutionCertainty.EXECUTED, selection.filter().certainty());
    }

    @Test
    void errorListsTheAllowedNames() {
        assertEquals("state: \"lost\" is none of [kept, resending, delivered, discarded]", errorFor("state", "lost"));
        assertEquals("ran: \"executed\" is none of [never, maybe, did]", errorFor("ran", "executed"));
        assertEquals("most: a number is needed, not \"many\"", errorFor("most", "many"));
    }

    @Test
    void deadLetterIsWrittenWithTheProtocolNames() {
        DeadLetter deadLetter = new DeadLetter(
                12,
                new Message.Content("m1", "unsafe", "acme", "k", 2_000_000, 7, new byte[] {1, 2, 3}),
                1_000_000,
                "timeout",
                "failed",
                DeadLetter.State.REDRIVING,
                0,
                new DeadLetter.Confirmation("clerk", "not posted", 1, 3),
                4,
                List.of(new DeadLetter.Attempt("r0", "b0", 500_000, AttemptOutcome.REJECTED)));
        assertEquals(
                "{\"id\":12,\"ref\":\"m1\",\"class\":\"unsafe\",\"tenant\":\"acme\",\"key\":\"k\",\"destination\":7,"
                        + "\"kept\":\"1970-01-01T00:00:01Z\",\"deadline\":\"1970-01-01T00:00:02Z\","
                        + "\"state\":\"resending\",\"ran\":\"never\",\"why\":\"timeout\",\"told\":\"failed\","
                        + "\"resends\":4,\"verdict\":\"may be sent\",\"word\":\"clerk: not posted\",\"tries\":["
                        + "{\"route\":\"r0\",\"building\":\"b0\",\"sent\":\"1970-01-01T00:00:00.500Z\","
                        + "\"result\":\"FULL\",\"ran\":\"never\"}],\"audit\":[\"a line\"],\"body\":\"AQID\"}",
                JsonLines.deadLetter(deadLetter, true, "may be sent", List.of("a line")));
    }
}
