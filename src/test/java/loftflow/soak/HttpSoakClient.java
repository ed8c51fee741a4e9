package loftflow.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loftflow.protocol.ClientProtocol;

/** A client that sends one request at a time on a persistent HTTP/1.1 connection, and reconnects when it has ended. */
final class HttpSoakClient implements Runnable {
    private static final MessageClass[] CLASSES = MessageClass.values();
    private static final Pattern STATUS = Pattern.compile("HTTP/1.1 (\\d{3})");
    private static final int MAX_PAUSE_MILLIS = 120;
    private static final int MIN_PAUSE_MILLIS = 10;

    private final String name;
    private final ClientContext context;
    private final int destinations;
    private final Random random;
    private SocketChannel connection;

    HttpSoakClient(String name, long seed, int destinations, ClientContext context) {
        this.name = name;
        this.context = context;
        this.destinations = destinations;
        random = new Random(seed * 131 + name.hashCode());
    }

    @Override
    public void run() {
        while (!context.isOver()) {
            ClientContext.pause(MIN_PAUSE_MILLIS + random.nextInt(MAX_PAUSE_MILLIS - MIN_PAUSE_MILLIS));
            try {
                if (connect()) {
                    submit();
                }
            } catch (IOException e) {
                close();
            }
        }
        close();
    }

    /** Connects if necessary; returns whether a connection is open, as far as this side knows. */
    private boolean connect() throws IOException {
        if (connection != null && connection.read(ByteBuffer.allocate(1)) < 0) {
            close();
        }
        RelayUnderTest.Ports ports = context.ports();
        if (connection == null && ports != null) {
            connection = SocketChannel.open(new InetSocketAddress("127.0.0.1", ports.http()));
            connection.configureBlocking(false);
            connection.socket().setTcpNoDelay(true);
        }
        return connection != null;
    }

    private void submit() throws IOException {
        MessageClass type = CLASSES[random.nextInt(CLASSES.length)];
        long sequence = context.nextSequence();
        String id = name + "-" + sequence;
        String orderingKey = type == MessageClass.ORDERED ? name : null;
        byte[] request = request(id, type, orderingKey);
        // If the relay has closed the connection meanwhile, the request would not count as written to an open one.
        if (connection.read(ByteBuffer.allocate(1)) < 0) {
            close();
            return;
        }
        long sentAt = System.nanoTime();
        ByteBuffer bytes = ByteBuffer.wrap(request);
        while (bytes.hasRemaining()) {
            connection.write(bytes);
        }
        SoakHistory.Answer answer = readAnswer(sentAt);
        context.record(id, type, "http", orderingKey, sequence, sentAt, answer);
    }

    /** Draws a destination; destination 1 receives batches, which must not contain ordered messages. */
    private int destination(MessageClass type) {
        int first = type == MessageClass.ORDERED ? 2 : 1;
        return first + random.nextInt(destinations - first + 1);
    }

    private byte[] request(String id, MessageClass type, String orderingKey) {
        String path = ClientProtocol.MESSAGE_PATH + (orderingKey == null ? "" : "/" + orderingKey);
        String key = type == MessageClass.KEYED ? ClientProtocol.IDEMPOTENCY_KEY_HEADER + ": key-" + id + "\r\n" : "";
        return ("POST " + path + " HTTP/1.1\r\nHost: relay\r\n" + ClientProtocol.MESSAGE_ID_HEADER + ": " + id + "\r\n"
                        + ClientProtocol.CLASS_HEADER + ": " + type.configuredName() + "\r\n"
                        + ClientProtocol.TIMEOUT_MILLIS_HEADER + ": " + type.deadlineMillis() + "\r\n" + key
                        + ClientProtocol.DESTINATION_HEADER + ": " + ClientProtocol.DESTINATION_FIELD
                        + destination(type) + "\r\nContent-Length: 2\r\n\r\nok")
                .getBytes(StandardCharsets.US_ASCII);
    }

    private SoakHistory.Answer readAnswer(long sentAt) {
        ByteBuffer bytes = ByteBuffer.allocate(4_096);
        try {
            while (System.nanoTime() - sentAt < ClientContext.ANSWER_TIMEOUT_NANOS) {
                int read = connection.read(bytes);
                String text = new String(bytes.array(), 0, bytes.position(), StandardCharsets.US_ASCII);
                if (text.contains("\r\n\r\n")) {
                    return answerOf(text);
                }
                if (read < 0) {
                    close();
                    return context.answerOnDisconnect(sentAt);
                }
                if (read == 0) {
                    ClientContext.pause(1);
                }
            }
        } catch (IOException reset) {
            close();
            return context.answerOnDisconnect(sentAt);
        }
        close();
        return SoakHistory.Answer.NONE;
    }

    private SoakHistory.Answer answerOf(String text) {
        if (text.toLowerCase(Locale.ROOT).contains("connection: close")) {
            close();
        }
        Matcher status = STATUS.matcher(text);
        if (!status.find()) {
            return SoakHistory.Answer.FAILED;
        }
        return switch (Integer.parseInt(status.group(1))) {
            case 200, 202 -> SoakHistory.Answer.ACCEPTED;
            case 429, 503 -> SoakHistory.Answer.REFUSED;
            default -> SoakHistory.Answer.FAILED;
        };
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
