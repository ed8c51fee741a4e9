package loftflow.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class MemoryBudgetTest {
    private final MemoryBudget budget = new MemoryBudget(1000, 100);
    private final MemoryBudget.Account first = budget.openAccount();
    private final MemoryBudget.Account second = budget.openAccount();

    @Test
    void holderIsRefusedWhatExceedsTheCapacityOfAllTogether() {
        assertTrue(first.tryHold(900));
        assertFalse(second.tryHold(101));
        assertEquals(900, budget.heldBytes());
        first.release();
        assertTrue(second.tryHold(1000));
    }

    @Test
    void holderIsNeverRefusedWhatIsGuaranteedOrWhatItReleases() {
        assertTrue(first.tryHold(1000));
        assertTrue(second.tryHold(100));
        assertTrue(first.tryHold(950));
        assertEquals(1050, budget.heldBytes());
    }

    @Test
    void limitsOfAllPeersLeaveTheRelaySevenSixteenthsOfTheHeap() {
        MemoryLimits limits = MemoryLimits.ofHeap(64 << 20);
        long sum = limits.clientRequestBytes()
                + limits.messageBytes()
                + limits.hostResponseBytes()
                + limits.revocableOutcomeBytes()
                + limits.endedMessageBytes();
        assertEquals(36 << 20, sum);
    }
}
