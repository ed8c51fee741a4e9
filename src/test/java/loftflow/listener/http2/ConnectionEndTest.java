package loftflow.listener.http2;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import loftflow.listener.http2.flowcontrol.ConnectionExpiry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** How streams and connections end: resets, windows that stay closed, clients that don't read, room, and goodbyes. */
@Timeout(60)
class ConnectionEndTest extends Http2TestBase {
    // ---- resets and lost connections

    /** Before the journal's record nothing is owed; after it the message goes on, whatever its client does. */
    @ParameterizedTest
    @CsvSource({
        "HEAD, RESET",
        "HEAD, LOST",
        "HALF, RESET",
        "HALF, LOST",
        "TAKEN, RESET",
        "TAKEN, LOST",
        "ANSWERED, RESET",
        "ANSWERED, LOST"
    })
    void streamThatItsClientLeaves(String stage, String how) throws IOException {
        serve(usual());
        intake.acceptsAll = stage.equals("ANSWERED");
        RawClient client = client();
        int id = client.head(RawClient.message("m").add("content-length", "2"), false);
        if (!stage.equals("HEAD")) {
            client.data(id, new byte[1], false);
        }
        boolean whole = stage.equals("TAKEN") || stage.equals("ANSWERED");
        if (whole) {
            client.data(id, new byte[1], true);
            await(() -> intake.messageIds().contains("m"));
        } else {
            await(() -> on(() -> server.isIdle()) == false);
        }
        if (how.equals("RESET")) {
            client.reset(id);
            assertEquals(202, statusOfNext(client));
        } else {
            client.drop();
            await(() -> on(() -> server.house().size()) == 0);
        }
        assertEquals(whole, intake.messageIds().contains("m"));
        assertEquals(Set.of(), intake.withdrawn, "nothing that is recorded is taken back");
        await(() -> stage.equals("TAKEN") == intake.disconnected.contains("m"));
        assertFalse(on(() -> server.isAnswering()));
        if (stage.equals("TAKEN")) {
            take(0);
            assertFalse(client.statuses.containsKey(id), "nobody waits for it");
        }
        assertServes("after");
    }

    private int statusOfNext(RawClient client) throws IOException {
        intake.acceptsAll = true;
        return client.status(client.send(RawClient.message("next"), "x"));
    }

    @Test
    void streamsOfALostConnectionAllGoOn() throws IOException {
        serve(usual());
        intake.acceptsAll = false;
        RawClient client = client();
        for (int i = 0; i < 100; i++) {
            client.send(RawClient.message("m" + i), "x");
        }
        await(() -> intake.submissions.size() == 100);
        client.drop();
        await(() -> intake.disconnected.size() == 100);
        assertFalse(on(() -> server.isAnswering()));
    }

    /** A connection that has stood for long before its first message: its silence is none of the message's time. */
    @Test
    void firstMessageOfAConnectionThatStoodForLongHasAllItsTime() throws IOException {
        serve(usual());
        RawClient client = client();
        long opened = clock.micros();
        await(() -> clock.micros() - opened > 3 * SECOND);
        long sent = clock.micros();
        assertEquals(202, client.status(client.send(RawClient.message("m"), "x")));
        long lost = sent
                + 8 * SECOND
                - intake.submissions.get(0).message().content().deadlineMicros();
        assertTrue(lost < 3 * SECOND / 2, "microseconds lost: " + lost);
    }

    // ---- windows and clients that don't read

    /** Answers are HEADERS alone, which no window holds up (RFC 9113, 6.9). */
    @ParameterizedTest
    @ValueSource(strings = {"closed from the start", "shrunk below what is out", "opened a byte at a time"})
    void windowThatStaysClosedHoldsNoAnswerUp(String how) throws IOException {
        serve(usual());
        intake.acceptsAll = false;
        RawClient client = client();
        if (!how.startsWith("shrunk")) {
            client.frame(RawClient.SETTINGS, 0, 0, RawClient.setting(4, 0));
        }
        int id = client.send(RawClient.message("m"), "x");
        await(() -> intake.messageIds().contains("m"));
        if (how.startsWith("shrunk")) {
            client.frame(RawClient.SETTINGS, 0, 0, RawClient.setting(4, 1));
        }
        for (int i = 0; how.startsWith("opened") && i < 100; i++) {
            client.frame(RawClient.WINDOW_UPDATE, 0, id, RawClient.number(1));
        }
        take(0);
        assertEquals(202, client.status(id));
        assertEquals(202, statusOfNext(client));
    }

    @Test
    void clientThatDoesNotReadIsNotReadFromEitherAndEndsWhileOthersGoOn() throws IOException {
        serve(with(4_000, 8_000, 1 << 20, new ConnectionExpiry.Spans(SECOND, 60 * SECOND, 0, SECOND)));
        RawClient other = client();
        // Its answers fill what little the system buffers for it, and it reads none of them.
        RawClient deaf = new RawClient("127.0.0.1", port, 4_096);
        clients.add(deaf);
        deaf.preface();
        deaf.await(() -> !deaf.offered.isEmpty());
        Thread talker = new Thread(() -> {
            try {
                for (int i = 0; i < 2_000_000; i++) {
                    deaf.send(RawClient.message("d" + i), "x");
                }
            } catch (IOException e) {
                // It was ended.
            }
        });
        talker.start();
        int asked = 0;
        long before = on(() -> (long) server.house().size());
        assertEquals(2, before);
        while (on(() -> server.house().size()) == 2) {
            assertEquals(202, other.status(other.send(RawClient.message("o" + asked++), "x")));
        }
        assertTrue(asked > 5, "the other one was served meanwhile: " + asked);
        await(() -> !talker.isAlive());
        assertEquals(202, other.status(other.send(RawClient.message("last"), "x")));
    }

    // ---- room for what is half read

    @Test
    void halfReadBodiesWaitForRoomAndThenComeAndASlowConnectionGivesWay() throws IOException {
        serve(with(100, 400, 128 << 10, new ConnectionExpiry.Spans(SECOND, 60 * SECOND, 0, SECOND)));
        RawClient greedy = client();
        List<Integer> slow = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            slow.add(greedy.head(
                    RawClient.message("g" + i, "nonsense", null, 7, 8_000).add("content-length", "65536"), false));
        }
        // The common half holds one of them, so that two wait.
        greedy.await(() -> greedy.windows.containsKey(slow.get(0)));
        RawClient modest = client();
        int own = modest.head(RawClient.message("own").add("content-length", "20000"), false);
        send(modest, own, 20_000);
        assertEquals(202, modest.status(own), "what belongs to its class is there for it");
        int common = modest.head(
                RawClient.message("common", "nonsense", null, 7, 8_000).add("content-length", "20000"), false);
        send(modest, common, 20_000);
        assertEquals(202, modest.status(common), "the slow one has given way");
        assertEquals(503, greedy.status(slow.get(0)));
        assertEquals("1.000", greedy.comeBacks.get(slow.get(0)));
        // Those that waited and did not come in time hear that there was no room, those that were let in that they are
        // slow.
        greedy.await(() -> greedy.statuses.size() == 3);
        assertTrue(Set.of(408, 503).containsAll(greedy.statuses.values()), greedy.statuses.toString());
        assertEquals(0, on(() -> server.credit().heldBytes()));
    }

    private static void send(RawClient client, int id, int bytes) throws IOException {
        for (int sent = 0; sent < bytes; sent += 4_000) {
            client.paced(id, new byte[4_000], sent + 4_000 >= bytes);
        }
    }

    @Test
    void ninetyLargeBodiesSideBySideAllEnd() throws IOException {
        serve(with(100, 400, 8 << 20, new ConnectionExpiry.Spans(SECOND, 60 * SECOND, 0, SECOND)));
        RawClient client = client();
        List<Integer> ids = new ArrayList<>();
        for (int i = 0; i < 90; i++) {
            ids.add(client.head(RawClient.message("m" + i).add("content-length", "40000"), false));
        }
        for (int piece = 0; piece < 10; piece++) {
            for (int id : ids) {
                client.paced(id, new byte[4_000], piece == 9);
            }
        }
        for (int id : ids) {
            assertEquals(202, client.status(id));
        }
        assertEquals(0, on(() -> server.credit().heldBytes()));
    }

    // ---- what is offered

    @Test
    void fewerStreamsAreOfferedUnderLoadAndWhatIsBeyondIsRefusedAsNeverTaken() throws IOException {
        serve(with(100, 150, 1 << 20, new ConnectionExpiry.Spans(SECOND, 60 * SECOND, 0, SECOND)));
        intake.acceptsAll = false;
        RawClient first = client();
        RawClient second = client();
        for (int i = 0; i < 100; i++) {
            first.send(RawClient.message("f" + i), "x");
        }
        await(() -> intake.submissions.size() == 100);
        List<Integer> ids = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            ids.add(second.send(RawClient.message("s" + i), "x"));
        }
        second.await(() -> second.resets.size() == 50);
        assertEquals(Set.of(REFUSED), Set.copyOf(second.resets.values()));
        assertEquals(150, intake.submissions.size(), "what was refused was never taken");
        assertTrue(ids.subList(0, 50).stream().noneMatch(second.resets::containsKey));
        // The refusals were a shortage; a relay that is nearly full makes it worse.
        intake.utilization = 0.95;
        first.await(() -> first.offered.get(first.offered.size() - 1) <= 4);
        intake.utilization = 0;
        IntStream.range(0, 150).forEach(this::take);
        first.await(() -> first.offered.get(first.offered.size() - 1) == 100);
        assertEquals(100, first.offered.get(0));
    }

    /** A client that sends more than it was offered, bodies and all, loses those streams and not its connection. */
    @Test
    void whatIsMoreThanAConnectionWasOfferedIsRefusedOneByOne() throws IOException {
        serve(with(10, 400, 1 << 20, new ConnectionExpiry.Spans(SECOND, 60 * SECOND, 0, SECOND)));
        intake.acceptsAll = false;
        RawClient client = client();
        for (int i = 0; i < 30; i++) {
            client.send(RawClient.message("m" + i), "x");
        }
        client.await(() -> client.resets.size() == 20);
        assertEquals(Set.of(REFUSED), Set.copyOf(client.resets.values()));
        assertEquals(10, intake.submissions.size());
        IntStream.range(0, 10).forEach(this::take);
        client.await(() -> client.statuses.size() == 10);
        assertEquals(202, statusOfNext(client));
        assertEquals(List.of(), client.goAways);
    }

    // ---- goodbyes

    /** At the drain all that a client begins with lies unread: it is answered, and hears a goodbye. */
    @Test
    void streamThatLiesUnreadOnANewConnectionAtTheDrainIsAnswered() throws IOException {
        serve(usual());
        RawClient client = silentClient();
        await(() -> on(() -> server.house().size()) == 1);
        on(() -> {
            begin(client);
            server.drain(8 * SECOND);
            return null;
        });
        assertIsAnsweredAndHearsAGoodbye(client);
    }

    /** The same on a connection that only the kernel has accepted, as the relay is about to end: it is not done. */
    @Test
    void streamThatLiesUnreadAtTheEndKeepsTheRelayFromEnding() throws IOException {
        serve(usual());
        RawClient client = on(() -> {
            server.drain(8 * SECOND);
            RawClient late = silentClient();
            begin(late);
            server.takeIn();
            assertFalse(server.isIdle());
            return late;
        });
        assertIsAnsweredAndHearsAGoodbye(client);
    }

    private static void begin(RawClient client) throws IOException {
        client.preface();
        client.send(RawClient.message("m"), "x");
        client.awaitReceived();
    }

    private void assertIsAnsweredAndHearsAGoodbye(RawClient client) throws IOException {
        assertEquals(202, client.status(1));
        client.await(() -> !client.goAways.isEmpty());
        assertEquals(List.of("m"), intake.messageIds());
    }

    @Test
    void drainLetsEachOfAHundredOpenStreamsFinish() throws IOException {
        serve(usual());
        intake.acceptsAll = false;
        RawClient client = client();
        List<Integer> ids = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            ids.add(client.send(RawClient.message("m" + i), "x"));
        }
        await(() -> intake.submissions.size() == 100);
        IntStream.range(0, 50).forEach(this::take);
        on(() -> {
            server.drain(8 * SECOND);
            return null;
        });
        // It reads no further than the first GOAWAY, so that the relay does not hear that it knows.
        client.await(() -> client.goAways.size() == 1);
        assertEquals(Integer.MAX_VALUE, client.goAways.get(0)[0]);
        client.reset(client.head(RawClient.message("half"), false));
        client.await(() -> client.goAways.size() == 2);
        int last = client.goAways.get(1)[0];
        assertEquals(201, last, "the last stream that may have been taken");
        int late = client.send(RawClient.message("late"), "x");
        IntStream.range(50, 100).forEach(this::take);
        client.awaitEnd();
        ids.forEach(id -> assertEquals(202, client.statuses.get(id), id + " of " + client.statuses.keySet()));
        assertTrue(client.answers.values().stream().allMatch(times -> times == 1));
        assertFalse(client.statuses.containsKey(late));
        assertFalse(intake.messageIds().contains("late"), "never taken");
        await(() -> on(() -> server.isIdle()));
    }

    @Test
    void streamBetweenTheTwoWordsIsTakenAndAClientThatHeedsNeitherIsClosedInTime() throws IOException {
        serve(usual());
        intake.acceptsAll = false;
        RawClient client = client();
        client.send(RawClient.message("before"), "x");
        await(() -> intake.submissions.size() == 1);
        on(() -> {
            server.drain(SECOND);
            return null;
        });
        client.send(RawClient.message("between"), "x");
        await(() -> intake.messageIds().contains("between"));
        await(() -> on(() -> server.isIdle()));
        // Its streams are open still, and go on without it.
        client.awaitEnd();
        await(() -> intake.disconnected.equals(Set.of("before", "between")));
        RawClient fresh = client();
        fresh.awaitEnd();
        assertEquals(NO_ERROR, fresh.lastError(), "who comes now is told at once");
    }

    @Test
    void idleAndOldConnectionsGoInGoodOrder() throws IOException {
        serve(with(100, 400, 1 << 20, new ConnectionExpiry.Spans(SECOND, SECOND / 5, SECOND, SECOND)));
        RawClient idle = client();
        idle.awaitEnd();
        assertEquals(NO_ERROR, idle.lastError());
        assertEquals(2, idle.goAways.size());
        intake.acceptsAll = false;
        RawClient old = client();
        int id = old.send(RawClient.message("m"), "x");
        old.await(() -> old.goAways.size() == 2);
        take(0);
        old.awaitEnd();
        assertEquals(202, old.statuses.get(id));
    }
}
