package loftflow.interop;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import loftflow.listener.http2.RawHttp2Client;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class Http2ToHttpTest extends InteropTestBase {
    @Override
    InboundSide front(Path state) {
        return new InboundSide.Http2(state);
    }

    @Override
    OutboundSide partner() throws IOException {
        return new OutboundSide.Http();
    }

    /** The settlement is on its way, or even in the partner's books, when its client resets the stream. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void settlementWhoseStreamIsResetHasItsOneEnd(boolean whenSent) throws IOException {
        await(() -> isReady());
        // The first one has met a partner that is well.
        await(() -> !partner.effects().isEmpty());
        partner.silent();
        RawHttp2Client client = ((InboundSide.Http2) front).client();
        int stream = client.send(RawHttp2Client.message("s1", "settlement", null, 7, 3_000), "x");
        if (whenSent) {
            await(() -> partner.effects().containsKey("s1"));
        }
        client.reset(stream);
        await(() -> told("s1=dead") == 1);
        assertEquals(1, partner.effects().get("s1"), "it is never sent again");
        // Its id is known: handed in once more it does not run once more.
        assertEquals(1, partner.came().stream().filter(c -> c.id().equals("s1")).count());
    }

    private boolean isReady() {
        try {
            return front.handIn("first" + System.nanoTime(), "settlement", null, 7, 5_000);
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    /** SIGTERM with streams open, one of them half sent: what is begun gets its answer, then the connection closes. */
    @Test
    void plannedEndLetsAnOpenStreamFinish() throws Exception {
        await(() -> isReady());
        RawHttp2Client client = ((InboundSide.Http2) front).client();
        int open = client.sendHeaders(RawHttp2Client.message("late", "settlement", null, 7, 5_000), false);
        relay.process().destroy();
        assertTrue(client.await(() -> client.goAways.size() == 2), "both words came");
        client.sendData(open, new byte[] {'x'}, true);
        assertEquals(202, client.status(open));
        client.await(() -> false);
        assertEquals(1, client.responseCounts.get(open));
        await(() -> partner.effects().containsKey("late"));
    }
}
