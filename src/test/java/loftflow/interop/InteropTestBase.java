package loftflow.interop;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.stream.Collectors;
import loftflow.config.tool.ConfigTool;
import loftflow.fake.ServedRelay;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What holds whatever is spoken on either side of a relay, with the real program as a process. */
abstract class InteropTestBase {
    @TempDir
    Path folder;

    InboundSide front;
    OutboundSide partner;
    ServedRelay relay;
    private Path file;
    private int starts;

    abstract InboundSide front(Path state) throws IOException;

    abstract OutboundSide partner() throws IOException;

    @BeforeEach
    void prepare() throws Exception {
        front = front(folder.resolve("state"));
        partner = partner();
        Path application = Files.writeString(
                folder.resolve("app.toml"),
                """
                format = 1
                name = "app"
                [machine]
                memory = "160MiB"
                descriptors = 128
                disk = "24MiB"
                folder = "%s"
                %s
                %s
                [[class]]
                name = "settlement"
                repeat = "once"
                wanted = "500ms"
                deadline = "8s"
                peak-rate = "5/s"
                [[class]]
                name = "car-order"
                repeat = "by-key"
                key-window = "20s"
                wanted = "500ms"
                deadline = "8s"
                peak-rate = "5/s"
                [[partner]]
                name = "elevator"
                number = 7
                kind = "elevators"
                response = "20ms"
                %s
                """
                        .formatted(folder.resolve("state"), front.table(), partner.tables(), partner.endpoint()));
        ConfigTool.Outcome outcome = ConfigTool.write(application, folder, false);
        assertEquals(
                ConfigTool.Written.NEW, outcome.written(), outcome.findings().toString());
        file = outcome.file();
        start();
    }

    private void start() throws Exception {
        relay = ServedRelay.start(file, folder.resolve("log" + starts++), "-Xmx64m")
                .awaitServing();
        front.connect(relay);
    }

    @AfterEach
    void end() throws Exception {
        relay.close();
        front.close();
        partner.close();
    }

    /** As a client does, again while the relay refuses: one that is short of CPU at its start does. */
    private void handIn(String id, String type, long budgetMs) {
        await(() -> {
            try {
                return front.handIn(id, type, "key-" + id, 7, budgetMs);
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        });
    }

    int told(String end) {
        try {
            return front.ends().getOrDefault(end, 0);
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void messageTakesEffectOnceAndItsEndIsTold() {
        for (String type : new String[] {"settlement", "car-order"}) {
            String id = "m-" + type;
            handIn(id, type, 5_000);
            await(() -> partner.effects().containsKey(id));
            await(() -> !front.tellsDelivered() || told(id + "=done") == 1);
            assertEquals(1, partner.effects().get(id));
            assertEquals(
                    "key-" + id,
                    partner.came().stream()
                            .filter(c -> c.id().equals(id))
                            .findFirst()
                            .orElseThrow()
                            .key());
        }
    }

    @Test
    void settlementWhoseOutcomeIsUnknownIsNeverSentAgain() {
        partner.breaks();
        handIn("s1", "settlement", 2_000);
        await(() -> told("s1=dead") == 1);
        assertEquals(1, partner.came().stream().filter(c -> c.id().equals("s1")).count());
    }

    @Test
    void keyedMessageWhoseOutcomeIsUnknownIsSentAgainUnderItsKey() {
        partner.breaks();
        handIn("k1", "car-order", 8_000);
        await(() -> partner.effects().containsKey("k1"));
        partner.well();
        await(() -> partner.effects().get("k1") >= 2);
        assertEquals(
                Set.of("key-k1"),
                partner.came().stream().map(OutboundSide.Came::key).collect(Collectors.toSet()));
        await(() -> !front.tellsDelivered() || told("k1=done") == 1);
    }

    @Test
    void whatIsShutGetsItsMessagesWhenItOpensAndItsWaitIsKept() {
        partner.shut();
        handIn("s1", "settlement", 8_000);
        handIn("k1", "car-order", 8_000);
        // Later messages meet a partner that is known to be shut.
        handIn("s2", "settlement", 8_000);
        assertTrue(partner.effects().isEmpty());
        partner.well();
        await(() -> Set.of("s1", "k1", "s2").stream()
                .allMatch(id -> partner.effects().containsKey(id) || told(id + "=bounced") > 0));
        assertFalse(partner.effects().isEmpty(), "the partner is open again");
        partner.effects().forEach((id, times) -> assertEquals(1, times, id));
        assertEquals(0, partner.waitsBroken());
    }

    @Test
    void messageThatWasTakenOutlastsAKillAndAnOrderlyEnd() throws Exception {
        partner.shut();
        handIn("s1", "settlement", 8_000);
        relay.close();
        start();
        handIn("s2", "settlement", 8_000);
        relay.stop();
        partner.well();
        start();
        await(() -> Set.of("s1", "s2").stream()
                .allMatch(id ->
                        partner.effects().containsKey(id) || told(id + "=bounced") > 0 || told(id + "=dead") > 0));
        partner.effects().forEach((id, times) -> assertEquals(1, times, id));
    }

    /**
     * The partner is restarted as it opens: a call that it had not read when the relay gave it up may run by the protocol,
     * and is none that was sent after its message's end.
     */
    @Test
    void whatIsShutBeyondADeadlineGetsNothingAndItsMessagesEnd() throws IOException {
        partner.shut();
        handIn("s1", "settlement", 1_200);
        handIn("s2", "settlement", 1_500);
        await(() -> told("s1=bounced") + told("s1=dead") == 1 && told("s2=bounced") + told("s2=dead") == 1);
        assertTrue(partner.effects().isEmpty());
        partner.reopen();
        handIn("s3", "settlement", 8_000);
        await(() -> partner.effects().containsKey("s3") || told("s3=bounced") > 0);
        assertFalse(partner.effects().containsKey("s1") || partner.effects().containsKey("s2"), "they were over");
        assertEquals(0, partner.waitsBroken());
    }

    @Test
    void settlementThatIsOutAtAKillOrAnOrderlyEndIsNotSentAgain() throws Exception {
        partner.silent();
        handIn("s1", "settlement", 7_000);
        await(() -> partner.effects().containsKey("s1"));
        relay.close();
        start();
        handIn("s2", "settlement", 7_000);
        await(() -> partner.effects().containsKey("s2"));
        relay.stop();
        partner.well();
        start();
        await(() -> told("s1=dead") == 1 && told("s2=dead") == 1);
        assertEquals(1, partner.effects().get("s1"));
        assertEquals(1, partner.effects().get("s2"));
    }

    @Test
    void whatCanNotBeTakenIsRefused() throws Exception {
        handIn("ok", "settlement", 5_000);
        assertFalse(front.handIn("m1", "no-such-class", null, 7, 5_000));
        assertFalse(front.handIn("m2", "settlement", null, 99, 5_000));
        assertFalse(front.handIn("m3", "car-order", null, 7, 5_000), "it has no key");
        if (front instanceof InboundSide.Amqp amqp) {
            await(() -> amqp.returned().size() == 3);
            assertEquals("m1 406,m2 312,m3 406", String.join(",", amqp.returned()));
        }
        handIn("ok2", "settlement", 5_000);
        await(() -> partner.effects().containsKey("ok2"));
        assertEquals(Set.of("ok", "ok2"), partner.effects().keySet());
    }
}
