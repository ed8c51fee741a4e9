package loftflow.listener.http2;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersDecoder;
import io.netty.handler.codec.http2.DefaultHttp2HeadersEncoder;
import io.netty.handler.codec.http2.Http2Exception;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersEncoder;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import loftflow.server.KernelSocketState;

/**
 * A client that sends arbitrary frames, including malformed ones (RFC 9113, section 4.1), and stores what it receives.
 * It reads only during a call that waits, so that a test can simulate a client that does not read.
 */
public final class RawHttp2Client implements AutoCloseable {
    /** A condition that a caller waits for. */
    public interface Condition {
        boolean isMet();
    }

    static final int DATA = 0;
    static final int HEADERS = 1;
    static final int PRIORITY = 2;
    static final int RST_STREAM = 3;
    static final int SETTINGS = 4;
    static final int PING = 6;
    static final int GOAWAY = 7;
    static final int WINDOW_UPDATE = 8;
    static final int CONTINUATION = 9;
    static final int END_STREAM = 1;
    static final int ACK = 1;
    static final int END_HEADERS = 4;
    static final int PADDED = 8;
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final int INITIAL_WINDOW_BYTES = 65_535;

    /** A received frame. */
    record Frame(int type, int flags, int stream, byte[] payload) {
        /** Returns the first 32 bits of the payload. */
        int firstInt() {
            return ByteBuffer.wrap(payload).getInt();
        }

        int intAt(int index) {
            return ByteBuffer.wrap(payload).getInt(index);
        }
    }

    private final Socket socket;
    private final DataInputStream in;
    private final Http2HeadersEncoder encoder = new DefaultHttp2HeadersEncoder();
    private final DefaultHttp2HeadersDecoder decoder = new DefaultHttp2HeadersDecoder(false);
    /** The status of the response, by stream id. */
    public final Map<Integer, Integer> statuses = new ConcurrentSkipListMap<>();

    /** The number of responses, by stream id. */
    public final Map<Integer, Integer> responseCounts = new ConcurrentSkipListMap<>();
    /** The error of the first RST_STREAM, by stream id. */
    public final Map<Integer, Integer> resets = new ConcurrentSkipListMap<>();

    final Map<Integer, String> retryAfters = new ConcurrentSkipListMap<>();
    /** The sum of the window increments, by stream id; 0 is the connection. */
    final Map<Integer, Long> windows = new ConcurrentSkipListMap<>();
    /** The last stream id and the error of each GOAWAY. */
    public final List<int[]> goAways = new CopyOnWriteArrayList<>();

    /** The values of SETTINGS_MAX_CONCURRENT_STREAMS, in the order received. */
    final List<Integer> streamLimits = new CopyOnWriteArrayList<>();
    /** Whether the peer has closed the connection. */
    boolean hasEnded;

    private final Map<Integer, Long> sentByStream = new ConcurrentSkipListMap<>();
    private long sentBytes;
    private int nextStreamId = 1;
    private int writtenBytes;

    /** Connects and sends nothing. */
    public RawHttp2Client(String host, int port) throws IOException {
        this(host, port, 0);
    }

    /** Connects with a receive buffer of a size in bytes; 0 for the default. */
    RawHttp2Client(String host, int port, int receiveBufferBytes) throws IOException {
        socket = new Socket();
        if (receiveBufferBytes > 0) {
            // Must be set before connecting, as the TCP window is negotiated in the handshake.
            socket.setReceiveBufferSize(receiveBufferBytes);
        }
        socket.connect(new InetSocketAddress(host, port));
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        in = new DataInputStream(socket.getInputStream());
    }

    /** Connects and sends the connection preface. */
    public static RawHttp2Client open(String host, int port) throws IOException {
        RawHttp2Client client = new RawHttp2Client(host, port);
        client.sendPreface();
        return client;
    }

    void sendPreface() throws IOException {
        write("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        sendFrame(SETTINGS, 0, 0, new byte[0]);
    }

    synchronized void write(byte[] bytes) throws IOException {
        writtenBytes += bytes.length;
        socket.getOutputStream().write(bytes);
    }

    /** Waits until all sent bytes are pending in the peer's socket. */
    void awaitReceived() {
        KernelSocketState.ofPeer(socket).awaitUnread(writtenBytes);
    }

    static byte[] encodeFrame(int type, int flags, int stream, byte[] payload) {
        return ByteBuffer.allocate(9 + payload.length)
                .put((byte) (payload.length >> 16))
                .putShort((short) payload.length)
                .put((byte) type)
                .put((byte) flags)
                .putInt(stream)
                .put(payload)
                .array();
    }

    void sendFrame(int type, int flags, int stream, byte[] payload) throws IOException {
        write(encodeFrame(type, flags, stream, payload));
    }

    /** Sends a frame repeatedly, many per write; stops early if the peer closes the connection. */
    void flood(int count, byte[] frame) {
        ByteBuffer batch = ByteBuffer.allocate(frame.length * 1000);
        while (batch.hasRemaining()) {
            batch.put(frame);
        }
        try {
            for (int i = 0; i < count; i += 1000) {
                write(batch.array());
            }
        } catch (IOException e) {
            // The peer has closed the connection; frames that it sent before can still be read.
        }
    }

    static byte[] encodeInt(int value) {
        return ByteBuffer.allocate(4).putInt(value).array();
    }

    static byte[] encodeSetting(int id, int value) {
        return ByteBuffer.allocate(6).putShort((short) id).putInt(value).array();
    }

    /** Returns the head of a message; without an idempotency key if the key is null. */
    public static Http2Headers message(
            String id, String requestClass, String key, int destination, long timeoutMillis) {
        Http2Headers head = new DefaultHttp2Headers(false)
                .method("POST")
                .scheme("http")
                .path("/api")
                .authority("relay")
                .add("x-call-id", id)
                .add("x-call-class", requestClass)
                .add("x-budget-ms", Long.toString(timeoutMillis))
                .add("x-consignee", "dest=" + destination);
        return key == null ? head : head.add("idempotency-key", key);
    }

    static Http2Headers message(String id) {
        return message(id, "settlement", null, 7, 8_000);
    }

    byte[] encodeHeaders(int stream, Http2Headers head) {
        ByteBuf block = Unpooled.buffer();
        try {
            encoder.encodeHeaders(stream, head, block);
        } catch (Http2Exception e) {
            throw new IllegalStateException(e);
        }
        return ByteBufUtil.getBytes(block);
    }

    /** Opens a stream with HEADERS, and returns its id. */
    public int sendHeaders(Http2Headers head, boolean isEndOfStream) throws IOException {
        int id = nextStreamId;
        nextStreamId += 2;
        sendFrame(HEADERS, END_HEADERS | (isEndOfStream ? END_STREAM : 0), id, encodeHeaders(id, head));
        return id;
    }

    /** Returns the id of the next stream. */
    int nextStreamId() {
        return nextStreamId;
    }

    /** Sends a complete message in one write, and returns the id of its stream. */
    public int send(Http2Headers head, String body) throws IOException {
        int id = nextStreamId;
        nextStreamId += 2;
        byte[] block = encodeFrame(HEADERS, END_HEADERS, id, encodeHeaders(id, head));
        byte[] data = encodeFrame(DATA, END_STREAM, id, body.getBytes(StandardCharsets.UTF_8));
        write(ByteBuffer.allocate(block.length + data.length)
                .put(block)
                .put(data)
                .array());
        return id;
    }

    public void sendData(int stream, byte[] body, boolean isEndOfStream) throws IOException {
        sendFrame(DATA, isEndOfStream ? END_STREAM : 0, stream, body);
    }

    /**
     * Sends a chunk of a body once the windows of the connection and the stream allow it, or a response has arrived.
     */
    void sendWithinWindow(int stream, byte[] body, boolean isEndOfStream) throws IOException {
        await(() -> INITIAL_WINDOW_BYTES + windows.getOrDefault(0, 0L) - sentBytes >= body.length
                        && 4_096 + windows.getOrDefault(stream, 0L) - sentByStream.getOrDefault(stream, 0L)
                                >= body.length
                || statuses.containsKey(stream));
        sentBytes += body.length;
        sentByStream.merge(stream, (long) body.length, Long::sum);
        sendData(stream, body, isEndOfStream);
    }

    public void reset(int stream) throws IOException {
        sendFrame(RST_STREAM, 0, stream, encodeInt(8));
    }

    /** Reads and stores one frame; returns false if the peer has closed the connection. */
    boolean read() throws IOException {
        Frame frame;
        try {
            int length = in.readUnsignedByte() << 16 | in.readUnsignedShort();
            int type = in.readUnsignedByte();
            int flags = in.readUnsignedByte();
            frame = new Frame(type, flags, in.readInt(), in.readNBytes(length));
        } catch (java.io.EOFException | java.net.SocketException e) {
            hasEnded = true;
            return false;
        }
        store(frame);
        return true;
    }

    private void store(Frame frame) throws IOException {
        switch (frame.type()) {
            case HEADERS -> {
                Http2Headers head = decodeHeaders(frame);
                int status = Integer.parseInt(head.status().toString());
                if (status >= 200) {
                    statuses.put(frame.stream(), status);
                    responseCounts.merge(frame.stream(), 1, Integer::sum);
                    if (head.contains("retry-after")) {
                        retryAfters.put(frame.stream(), head.get("retry-after").toString());
                    }
                }
            }
            case RST_STREAM -> resets.putIfAbsent(frame.stream(), frame.firstInt());
            case GOAWAY -> goAways.add(new int[] {frame.firstInt(), frame.intAt(4)});
            case WINDOW_UPDATE -> windows.merge(frame.stream(), (long) frame.firstInt(), Long::sum);
            case PING -> {
                if ((frame.flags() & ACK) == 0) {
                    acknowledge(PING, frame.payload());
                }
            }
            case SETTINGS -> {
                if ((frame.flags() & ACK) == 0) {
                    ByteBuffer settings = ByteBuffer.wrap(frame.payload());
                    while (settings.hasRemaining()) {
                        int id = settings.getShort();
                        int value = settings.getInt();
                        if (id == 3) {
                            streamLimits.add(value);
                        }
                    }
                    acknowledge(SETTINGS, new byte[0]);
                }
            }
            default -> {}
        }
    }

    private void acknowledge(int type, byte[] payload) {
        try {
            sendFrame(type, ACK, 0, payload);
        } catch (IOException e) {
            // The peer has stopped reading; frames that it sends are still read.
        }
    }

    private Http2Headers decodeHeaders(Frame frame) {
        try {
            return decoder.decodeHeaders(frame.stream(), Unpooled.wrappedBuffer(frame.payload()));
        } catch (Http2Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Reads until a condition is met; returns false if the peer closes the connection first. */
    public boolean await(Condition condition) throws IOException {
        while (!condition.isMet()) {
            if (!read()) {
                return condition.isMet();
            }
        }
        return true;
    }

    /** Awaits the response or reset of a stream; returns the response status, or 0 if there is none. */
    public int status(int stream) throws IOException {
        await(() -> statuses.containsKey(stream) || resets.containsKey(stream));
        return statuses.getOrDefault(stream, 0);
    }

    /** Reads until the peer closes the connection. */
    void awaitEnd() throws IOException {
        await(() -> false);
    }

    /** Returns the error of the last GOAWAY; -1 if none was received. */
    int lastError() {
        return goAways.isEmpty() ? -1 : goAways.get(goAways.size() - 1)[1];
    }

    /** Resets the TCP connection, as if the client process had crashed. */
    public void abort() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    Socket socket() {
        return socket;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
