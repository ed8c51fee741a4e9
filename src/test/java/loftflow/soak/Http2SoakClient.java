package loftflow.soak;

import java.io.IOException;
import java.util.Random;
import loftflow.listener.http2.RawHttp2Client;

/** A client that sends every message on the same HTTP/2 connection, and reconnects when it has ended. */
final class Http2SoakClient implements Runnable {
    private static final MessageClass[] CLASSES = {
        MessageClass.IDEMPOTENT, MessageClass.KEYED, MessageClass.NON_IDEMPOTENT
    };
    private static final int MAX_PAUSE_MILLIS = 120;

    private final String name;
    private final ClientContext context;
    private final int destinations;
    private final Random random;
    private RawHttp2Client connection;

    Http2SoakClient(String name, long seed, int destinations, ClientContext context) {
        this.name = name;
        this.context = context;
        this.destinations = destinations;
        random = new Random(seed * 137 + name.hashCode());
    }

    @Override
    public void run() {
        while (!context.isOver()) {
            ClientContext.pause(1 + random.nextInt(MAX_PAUSE_MILLIS));
            try {
                RelayUnderTest.Ports ports = context.ports();
                if (connection == null && ports != null) {
                    connection = RawHttp2Client.open("127.0.0.1", ports.http2());
                }
                if (connection != null) {
                    submit();
                }
            } catch (IOException e) {
                close();
            }
        }
        close();
    }

    private void submit() {
        MessageClass type = CLASSES[random.nextInt(CLASSES.length)];
        long sequence = context.nextSequence();
        String id = name + "-" + sequence;
        String key = type == MessageClass.KEYED ? "key-" + id : null;
        long sentAt = System.nanoTime();
        SoakHistory.Answer answer;
        try {
            int stream = connection.send(
                    RawHttp2Client.message(
                            id, type.configuredName(), key, 1 + random.nextInt(destinations), type.deadlineMillis()),
                    "ok");
            answer = answerOf(stream, connection.status(stream), sentAt);
        } catch (IOException e) {
            answer = isNeverProcessed(Integer.MAX_VALUE)
                    ? SoakHistory.Answer.REFUSED
                    : context.answerOnDisconnect(sentAt);
            close();
        }
        context.record(id, type, "http2", null, sequence, sentAt, answer);
    }

    private SoakHistory.Answer answerOf(int stream, int status, long sentAt) {
        boolean isTooLate = System.nanoTime() - sentAt > ClientContext.ANSWER_TIMEOUT_NANOS;
        if (status != 0) {
            closeIfGoingAway();
            return switch (status) {
                case 200, 202 -> isTooLate ? SoakHistory.Answer.NONE : SoakHistory.Answer.ACCEPTED;
                case 429, 503 -> SoakHistory.Answer.REFUSED;
                default -> SoakHistory.Answer.FAILED;
            };
        }
        boolean isRefused = connection.resets.containsKey(stream) || isNeverProcessed(stream);
        close();
        return isRefused ? SoakHistory.Answer.REFUSED : context.answerOnDisconnect(sentAt);
    }

    /** Returns whether the last GOAWAY names a lower stream: the relay has not processed this one (RFC 9113, 6.8). */
    private boolean isNeverProcessed(int stream) {
        return !connection.goAways.isEmpty() && connection.goAways.get(connection.goAways.size() - 1)[0] < stream;
    }

    /**
     * Closes the connection if the last GOAWAY names the last stream that is processed. The first GOAWAY of a graceful
     * shutdown names the highest stream id, and the connection stays in use after it.
     */
    private void closeIfGoingAway() {
        if (!connection.goAways.isEmpty()
                && connection.goAways.get(connection.goAways.size() - 1)[0] != Integer.MAX_VALUE) {
            close();
        }
    }

    private void close() {
        if (connection != null) {
            try {
                connection.close();
            } catch (IOException e) {
                // The connection is closed even if close() throws.
            }
            connection = null;
        }
    }
}
