package loftflow.upstream.http;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import loftflow.engine.Message;
import loftflow.fake.ScriptedPeer;
import loftflow.server.RelayProcess;
import org.junit.jupiter.api.AfterEach;

/** Provides hosts that send a response a second time on the same connection. */
abstract class ResponseCopyTestBase extends BatchCallTestBase {
    /** Longer than the delay of any copy. */
    private static final long RESPONSE_MILLIS = 500;
    /** Shorter than the delay of any copy, and longer than the host needs to send a response. */
    private static final long PAUSE_MILLIS = 6;

    static final long COPY_TO_RESPONSE_MILLIS = 200;
    /** Until a copy that is no sooner than any response of the host before. */
    static final long COPY_MILLIS = 150;

    private static final long REUSE_DELAY_MILLIS = 100;

    final Set<String> disproved = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService copies = Executors.newSingleThreadScheduledExecutor();

    @Override
    long reuseDelayMicros() {
        return REUSE_DELAY_MILLIS * MILLI_MICROS;
    }

    @Override
    public void onOutcomeDisproved(Message.Attempt attempt) {
        disproved.add(attempt.message().content().messageId());
    }

    @AfterEach
    void stopCopies() {
        copies.shutdownNow();
    }

    String respondTwice(String response, long delayMillis) {
        Socket connection = latestConnection();
        copies.schedule(() -> write(connection, response), delayMillis, TimeUnit.MILLISECONDS);
        return response;
    }

    /** Writes a copy to the latest connection once the host may also have responded by itself. */
    void writeCopyLater(String response) {
        RelayProcess.blockThread(COPY_MILLIS);
        write(response);
    }

    static void write(Socket connection, String response) {
        try {
            connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            // The client has closed the connection.
        }
    }

    Result resultOfCallBehindCopy(int firstStatus, int nextStatus, long delayMillis) {
        host.answer(request -> respondTwice(ScriptedPeer.status(firstStatus), delayMillis));
        sendAndAwait(1);
        RelayProcess.blockThread(PAUSE_MILLIS);
        host.answer(request -> {
            RelayProcess.blockThread(RESPONSE_MILLIS);
            return ScriptedPeer.status(nextStatus);
        });
        return results.get(sendAndAwait(1).get(0));
    }

    /** The copy comes once the next call has reached the host. */
    Result resultOfCallEndedByCopy(int firstStatus, int nextStatus) {
        host.answer(request -> ScriptedPeer.status(firstStatus));
        sendAndAwait(1);
        host.answer(request -> {
            writeCopyLater(ScriptedPeer.status(firstStatus));
            RelayProcess.blockThread(COPY_TO_RESPONSE_MILLIS);
            return ScriptedPeer.status(nextStatus);
        });
        return results.get(sendAndAwait(1).get(0));
    }
}
