package loftflow.policy;

import static loftflow.policy.PolicyHarness.SECOND;
import static loftflow.policy.PolicyHarness.route;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests {@link MessageCompleter} through rounds of the complete policy. */
class MessageCompleterTest extends PolicyTestBase {

    @Test
    void messageWithoutARouteWaitsForAListChangeOrExpires() {
        relay.accept(1, "safe", 9).accept(2, "safe", 8).advance(SECOND);
        assertEquals(0, relay.sent.size());
        relay.applyChanges(route("z", 9, "plain", "east"));
        assertEquals(1, relay.sendCount(1));
        relay.advance(20 * SECOND);
        assertEquals(List.of(2L), relay.rejected);
    }
}
