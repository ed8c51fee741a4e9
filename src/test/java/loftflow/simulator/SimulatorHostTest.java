package loftflow.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.StringReader;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import loftflow.json.MalformedInputException;
import loftflow.policy.DefaultDeliveryPolicy;
import loftflow.policy.api.AttemptCompleted;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.Availability;
import loftflow.policy.api.DestinationKind;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.EndpointListReceived;
import loftflow.policy.api.KeyScope;
import loftflow.policy.api.LimitReport;
import loftflow.policy.api.MessageAccepted;
import loftflow.policy.api.PolicyEvent;
import loftflow.policy.api.PolicySettings;
import loftflow.policy.api.TimerFired;
import org.junit.jupiter.api.Test;

class SimulatorHostTest {
    private static final String PARAMS =
            "{\"me\":1,\"fleet-size\":3,\"zone\":\"x\",\"kinds\":[\"k\"],\"zones\":[\"x\"],"
                    + "\"classes\":[{\"name\":\"c\",\"repeat\":\"by_key\",\"key-scope\":\"zone\",\"goal-time-s\":1.5,"
                    + "\"deadline-s\":5,\"later-key\":1}],\"family-info\":{\"call-slots\":4,\"batch-by-kind\":[5],"
                    + "\"routes-apart\":[true]},\"limits\":{\"max-open\":9,\"send-cap\":3},\"contract\":{\"fall-s\":2.0},"
                    + "\"fees\":{}}";
    private static final String LAUNCH = "[\"launch\",9," + PARAMS + "]";

    private final List<PolicySettings> started = new ArrayList<>();
    private final List<PolicyEvent> seen = new ArrayList<>();

    private String play(String... batches) throws IOException {
        StringWriter out = new StringWriter();
        new SimulatorHost(settings -> {
                    started.add(settings);
                    return (now, events, actions) -> seen.addAll(events);
                })
                .run(new StringReader(String.join("\n", batches)), out);
        return out.toString();
    }

    private static String batch(String... messages) {
        return "{\"t-s\":2.5,\"n\":1,\"groups\":[{\"i\":3,\"in\":[" + String.join(",", messages) + "]}]}";
    }

    @Test
    void emptyBatchIsAnsweredByItsNumber() throws IOException {
        assertEquals("{\"n\":4,\"groups\":[]}\n", play("{\"t-s\":8.4,\"n\":4,\"groups\":[]}"));
    }

    @Test
    void settingsAreReadAndUnknownKeysIgnored() throws IOException {
        play(batch(LAUNCH));
        PolicySettings settings = started.get(0);
        assertEquals(new DestinationKind("k", true, 5), settings.kinds().get(0));
        assertEquals(1_500_000, settings.classes().get(0).latencyObjectiveMicros());
        assertEquals(KeyScope.ZONE, settings.classes().get(0).keyScope());
        assertEquals(2_000_000, settings.rules().overloadWindowMicros());
    }

    @Test
    void eventsAreTranslated() throws IOException {
        play(batch(
                LAUNCH,
                "[\"directory\",0,[[\"k\",\"LAME\",\"x\",null,\"h\",7,1.5]]]",
                "[\"discovery\",\"cached\",4,0]",
                "[\"job-in\",8,\"c\",null,\"ord\",9.25,null,7,1,\"later\"]",
                "[\"outcome\",8,300,false,\"full\",0,\"h\",0.02,{\"x0\":0.5,\"x1\":2,\"other\":1}]"));
        assertEquals(
                new EndpointListReceived(
                        EndpointListKind.CACHED,
                        4,
                        List.of(new EndpointEntry("h", 7, "k", "x", Availability.DRAINING, 1.5))),
                seen.get(0));
        assertEquals(new MessageAccepted(8, "c", null, "ord", 9_250_000, 7), seen.get(1));
        assertEquals(
                new AttemptCompleted(
                        8, 0, "h", AttemptOutcome.REJECTED, false, 300_000, 20_000, new LimitReport(0.5, 2)),
                seen.get(2));
    }

    @Test
    void listNumberReusedInOneBatchIsResolvedInOrder() throws IOException {
        play(batch(
                LAUNCH,
                "[\"directory\",0,[[\"k\",\"IN\",\"x\",null,\"a\",7,1]]]",
                "[\"discovery\",\"cached\",4,0]",
                "[\"directory\",0,[]]",
                "[\"discovery\",\"full\",5,0]"));
        assertEquals(1, ((EndpointListReceived) seen.get(0)).entries().size());
        assertEquals(0, ((EndpointListReceived) seen.get(1)).entries().size());
    }

    @Test
    void deathAndStartInOneBatchForgetTheOldLife() throws IOException {
        play(batch(LAUNCH), batch("[\"reminder\",1]", "[\"detach\"]", LAUNCH, "[\"reminder\",2]"));
        assertEquals(2, started.size());
        assertEquals(List.of(new TimerFired(2)), seen);
    }

    @Test
    void actionsAreWrittenInOrder() throws IOException {
        StringWriter out = new StringWriter();
        new SimulatorHost(settings -> (now, events, actions) -> {
                    actions.send(8, "h", 80_000, 0, true);
                    actions.sendToPeer(-1, new byte[] {10});
                    actions.fail(8);
                })
                .run(new StringReader(batch(LAUNCH)), out);
        assertEquals(
                "{\"n\":1,\"groups\":[{\"i\":3,\"cmds\":[[\"place\",8,\"h\",0.08],[\"memo-to\",\"*\",\"0a\"],"
                        + "[\"end-failed\",8]]}]}\n",
                out.toString());
    }

    @Test
    void failureOfTheModuleIsReported() throws IOException {
        StringWriter out = new StringWriter();
        new SimulatorHost(settings -> (now, events, actions) -> {
                    throw new IllegalStateException("broken");
                })
                .run(new StringReader(batch(LAUNCH)), out);
        assertTrue(out.toString().contains("[\"internal-error\",\"java.lang.IllegalStateException: broken\"]"));
    }

    @Test
    void malformedInputIsNamed() {
        assertMessage("line 1: not JSON", "{\"t-s\":");
        assertMessage("line 1: batch: value n must be a whole number", "{\"t-s\":1,\"groups\":[]}");
        assertMessage("unknown event nonsense", batch(LAUNCH, "[\"nonsense\",1]"));
        assertMessage("dropped: value 1 must be a whole number", batch(LAUNCH, "[\"dropped\"]"));
        assertMessage("maxConcurrentCalls", batch(LAUNCH.replace("\"call-slots\":4", "\"call-slots\":0")));
    }

    private void assertMessage(String part, String line) {
        MalformedInputException thrown =
                assertThrows(MalformedInputException.class, () -> new SimulatorHost(DefaultDeliveryPolicy::new)
                        .run(new StringReader(line), new StringWriter()));
        assertTrue(thrown.getMessage().contains(part), thrown.getMessage());
    }
}
