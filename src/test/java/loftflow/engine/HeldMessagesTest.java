package loftflow.engine;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests how much memory messages and the ids of ended messages may take. */
class HeldMessagesTest {
    private static final long MAX_BYTES = 1 << 20;
    private static final String LONG_ID = "i".repeat(190);

    private static Message.Content content(String id, int bodyBytes) {
        return new Message.Content(id, "safe", null, null, 0, 7, new byte[bodyBytes]);
    }

    /** Guards against a heap that is filled by large bodies, while the number of open messages is within its limit. */
    @Test
    void largeBodiesLeaveNoRoomUntilTheirMessagesHaveEnded() {
        MessageTable table = new MessageTable(MAX_BYTES);
        Message first = new Message(1, content("m1", 64 << 10));
        int held = 0;
        while (table.hasRoomFor(first.content())) {
            held++;
            table.add(new Message(held, content("m" + held, 64 << 10)));
        }
        assertTrue(held >= 5 && held <= 8, "held: " + held);
        Message ended = table.find(1);
        ended.markDone();
        table.removeIfSettled(ended);
        assertTrue(table.hasRoomFor(first.content()));
    }

    @Test
    void messageThatReplacesAnotherTakesItsMemoryOnce() {
        MessageTable table = new MessageTable(MAX_BYTES);
        for (int i = 0; i < 100; i++) {
            table.add(new Message(1, content("m1", 64 << 10)));
        }
        assertTrue(table.hasRoomFor(content("m2", 64 << 10)));
    }

    /** Guards against ids that take more memory than their number suggests. */
    @Test
    void longIdsOfEndedMessagesAreForgottenBeforeTheyFillTheMemory() {
        EndedMessages ended = new EndedMessages(MAX_BYTES);
        int count = 16_000;
        for (int i = 0; i < count; i++) {
            ended.add(content(LONG_ID + i, 0), true, i);
        }
        assertTrue(ended.contains(LONG_ID + (count - 1), count));
        assertTrue(ended.contains(LONG_ID + (count - 2000), count));
        assertFalse(ended.contains(LONG_ID + (count - 3000), count));
    }
}
