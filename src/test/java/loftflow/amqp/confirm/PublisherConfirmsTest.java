package loftflow.amqp.confirm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import loftflow.amqp.confirm.PublisherConfirms.Outcome;
import org.junit.jupiter.api.Test;

/** Tests which outcome each confirm, return and channel close proves. */
class PublisherConfirmsTest {
    private final PublisherConfirms<String> confirms = new PublisherConfirms<>();

    private void publish(String... names) {
        for (String name : names) {
            confirms.written(confirms.publish(name));
        }
    }

    private static String text(List<PublisherConfirms.Settled<String>> settled) {
        return settled.stream().map(s -> s.publish() + " " + s.outcome()).collect(Collectors.joining(", "));
    }

    @Test
    void confirmSettlesOneOrAllUpToItsTag() {
        publish("a", "b", "c", "d");
        assertEquals("b ACKED", text(confirms.confirmed(2, false, true)));
        assertEquals("a ACKED, c ACKED", text(confirms.confirmed(3, true, true)));
        assertEquals("d NACKED", text(confirms.confirmed(0, true, false)));
        assertEquals(0, confirms.openCount());
    }

    @Test
    void returnedPublishIsSettledOnce() {
        publish("a", "b");
        assertEquals("a RETURNED", text(confirms.returned(1)));
        assertEquals("", text(confirms.returned(1)));
        assertEquals("", text(confirms.returned(9)));
        assertEquals("b ACKED", text(confirms.confirmed(2, true, true)));
        publish("c");
        assertEquals("c RETURNED", text(confirms.returned(3)));
        assertEquals("", text(confirms.closed(false)), "the end says no more of it than the return did");
    }

    /** A broker returns a publish before it confirms it, so that only an open one can be meant. */
    @Test
    void returnWithoutTagIsForTheOnlyOpenPublish() {
        publish("a", "b");
        assertEquals("a ACKED", text(confirms.confirmed(1, false, true)));
        confirms.publish("half");
        assertEquals("b RETURNED", text(confirms.returned(null, publish -> false)));
        assertEquals("", text(confirms.confirmed(2, false, true)));
        assertEquals("", text(confirms.returned(null, publish -> false)), "it has not left whole");
    }

    /** Guards against confirms that count as delivered though one of their publishes was returned. */
    @Test
    void returnWithoutTagLeavesSeveralOpenPublishesUnknown() {
        publish("a", "b");
        assertEquals("a UNKNOWN, b UNKNOWN", text(confirms.returned("1", publish -> false)));
        publish("c");
        assertEquals("c UNKNOWN", text(confirms.returned(null, publish -> false)), "a or b may be meant as well");
        assertEquals("", text(confirms.confirmed(2, true, true)));
        publish("d");
        assertEquals("d ACKED", text(confirms.confirmed(0, true, true)));
    }

    @Test
    void returnWithoutTagIsForTheMessageThatItNames() {
        publish("a", "b", "c", "c");
        assertEquals("b RETURNED", text(confirms.returned(null, "b"::equals)));
        assertEquals("c UNKNOWN, c UNKNOWN", text(confirms.returned(null, "c"::equals)));
        assertEquals("a ACKED", text(confirms.confirmed(0, true, true)));
    }

    @Test
    void tagOfNoOpenPublishSaysNothingOfOthers() {
        publish("a");
        assertEquals("", text(confirms.returned(9L, publish -> true)));
        assertEquals("a ACKED", text(confirms.confirmed(1, false, true)));
    }

    @Test
    void invalidConfirmSettlesNothing() {
        publish("a");
        assertNull(confirms.confirmed(2, false, true));
        assertNull(confirms.confirmed(9, true, true));
        assertNull(confirms.confirmed(0, false, true));
        confirms.publish("half");
        assertNull(confirms.confirmed(2, false, true), "it has not left whole");
        assertNull(confirms.confirmed(2, true, true));
        assertEquals(2, confirms.openCount(), "nothing was settled by any of it");
        assertEquals("a ACKED", text(confirms.confirmed(1, false, true)));
        assertNull(confirms.confirmed(1, false, true));
    }

    @Test
    void closeLeavesOnlyWrittenPublishesUnknown() {
        publish("a", "b");
        confirms.publish("half");
        assertEquals("a UNKNOWN, b UNKNOWN, half NEVER", text(confirms.closed(false)));
        assertEquals(0, confirms.openCount());
    }

    @Test
    void lastPublishIsNotProcessedAfterAChannelError() {
        publish("a", "b", "c");
        assertEquals("a UNKNOWN, b UNKNOWN, c NEVER", text(confirms.closed(true)));
        publish("only");
        assertEquals("only NEVER", text(confirms.closed(true)));
        publish("x");
        confirms.publish("half");
        assertEquals("x UNKNOWN, half NEVER", text(confirms.closed(true)), "the one at fault may be the half one");
        publish("y", "z");
        confirms.confirmed(confirmedTag(), false, true);
        assertEquals("y UNKNOWN", text(confirms.closed(true)), "a confirmed one is not at fault");
    }

    private long confirmedTag() {
        long tag = confirms.publish("probe");
        confirms.written(tag);
        assertEquals("probe ACKED", text(confirms.confirmed(tag, false, true)));
        return tag - 1;
    }

    /** Compares the outcomes with a simulated broker that processes a channel in order, over 5,000 random runs. */
    @Test
    void outcomesNeverContradictTheBroker() {
        int never = playRandomRuns((drawn, tag, random) -> drawn.returned(tag));
        assertTrue(never > 1_000, "drawn too seldom: " + never);
    }

    /** The same with returns that lose their tag, and some of them also what names their message. */
    @Test
    void outcomesNeverContradictTheBrokerWhereReturnsLoseTheirTag() {
        playRandomRuns((drawn, tag, random) -> {
            boolean hasTag = random.nextInt(3) == 0;
            boolean namesMessage = random.nextBoolean();
            return drawn.returned(hasTag ? Long.valueOf(tag) : null, publish -> namesMessage && publish.equals(tag));
        });
    }

    /** How a broker returns a publish. */
    private interface Return {
        List<PublisherConfirms.Settled<Integer>> send(PublisherConfirms<Integer> drawn, int tag, Random random);
    }

    /** Returns how many publishes are said never to have been processed. */
    private static int playRandomRuns(Return sentReturn) {
        int never = 0;
        for (int seed = 0; seed < 5_000; seed++) {
            Random random = new Random(seed);
            PublisherConfirms<Integer> drawn = new PublisherConfirms<>();
            Set<Integer> ran = new HashSet<>();
            Map<Integer, Outcome> concluded = new HashMap<>();
            int count = 1 + random.nextInt(8);
            int whole = random.nextInt(count + 1);
            int fault = random.nextInt(3) == 0 && whole > 0 ? 1 + random.nextInt(whole) : 0;
            for (int tag = 1; tag <= count; tag++) {
                drawn.publish(tag);
                if (tag <= whole) {
                    drawn.written(tag);
                }
            }
            for (int tag = 1; tag <= whole && tag != fault; tag++) {
                if (random.nextInt(4) == 0) {
                    sentReturn.send(drawn, tag, random).forEach(s -> concluded.put(s.publish(), s.outcome()));
                } else {
                    ran.add(tag);
                }
                if (random.nextBoolean()) {
                    drawn.confirmed(tag, random.nextBoolean(), true)
                            .forEach(s -> concluded.put(s.publish(), s.outcome()));
                }
            }
            drawn.closed(fault > 0 && whole == count).forEach(s -> concluded.put(s.publish(), s.outcome()));
            assertEquals(count, concluded.size(), "seed " + seed);
            for (Map.Entry<Integer, Outcome> one : concluded.entrySet()) {
                boolean runs = ran.contains(one.getKey());
                boolean right =
                        switch (one.getValue()) {
                            case ACKED -> runs;
                            case RETURNED, NEVER -> !runs;
                            default -> true;
                        };
                never += one.getValue() == Outcome.NEVER ? 1 : 0;
                assertTrue(right, "seed " + seed + ": " + one + ", ran: " + ran);
            }
        }
        return never;
    }
}
