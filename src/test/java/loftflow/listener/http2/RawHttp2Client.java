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
 * A client that sends any frame, also a malformed one (RFC 9113, section 4.1), and stores all that it receives. It
 * reads only while a caller waits for something, so that a client without a caller does not read.
 */
public final class RawHttp2Client implements AutoCloseable {
    /** The condition that a caller waits for. */
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
        int number() {
            return ByteBuffer.wrap(payload).getInt();
        }

        int number(int at) {
            return ByteBuffer.wrap(payload).getInt(at);
        }
    }

    private final Socket socket;
    private final DataInputStream in;
    private final Http2HeadersEncoder encoder = new DefaultHttp2HeadersEncoder();
    private final DefaultHttp2HeadersDecoder decoder = new DefaultHttp2HeadersDecoder(false);
    /** The status of each stream with a response; {@link #responseCounts} counts the responses. */
    public final Map<Integer, Integer> statuses = new ConcurrentSkipListMap<>();

    public final Map<Integer, Integer> responseCounts = new ConcurrentSkipListMap<>();
    public final Map<Integer, Integer> resets = new ConcurrentSkipListMap<>();
    final Map<Integer, String> retryAfters = new ConcurrentSkipListMap<>();
    final Map<Integer, Long> windows = new ConcurrentSkipListMap<>();
    /** Each GOAWAY: the last stream, and the error. */
    public final List<int[]> goAways = new CopyOnWriteArrayList<>();

    final List<Integer> streamLimits = new CopyOnWriteArrayList<>();
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
            // The size is effective before the connect only: the peer learns of the window in the handshake.
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
        client.preface();
        return client;
    }

    void preface() throws IOException {
        write("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        frame(SETTINGS, 0, 0, new byte[0]);
    }

    synchronized void write(byte[] bytes) throws IOException {
        writtenBytes += bytes.length;
        socket.getOutputStream().write(bytes);
    }

    /** Waits until all that was sent is pending in the socket of the peer. */
    void awaitReceived() {
        KernelSocketState.ofPeer(socket).awaitUnread(writtenBytes);
    }

    static byte[] bytes(int type, int flags, int stream, byte[] payload) {
        return ByteBuffer.allocate(9 + payload.length)
                .put((byte) (payload.length >> 16))
                .putShort((short) payload.length)
                .put((byte) type)
                .put((byte) flags)
                .putInt(stream)
                .put(payload)
                .array();
    }

    void frame(int type, int flags, int stream, byte[] payload) throws IOException {
        write(bytes(type, flags, stream, payload));
    }

    /** Sends one frame many times, in few writes; stops early where the peer closes. */
    void flood(int count, byte[] frame) {
        ByteBuffer many = ByteBuffer.allocate(frame.length * 1000);
        while (many.hasRemaining()) {
            many.put(frame);
        }
        try {
            for (int i = 0; i < count; i += 1000) {
                write(many.array());
            }
        } catch (IOException e) {
            // The peer has closed; what it sent before can still be read.
        }
    }

    static byte[] number(int value) {
        return ByteBuffer.allocate(4).putInt(value).array();
    }

    static byte[] setting(int id, int value) {
        return ByteBuffer.allocate(6).putShort((short) id).putInt(value).array();
    }

    /** The head of a message. */
    public static Http2Headers message(String id, String type, String key, int destination, long budgetMs) {
        Http2Headers head = new DefaultHttp2Headers(false)
                .method("POST")
                .scheme("http")
                .path("/api")
                .authority("relay")
                .add("x-call-id", id)
                .add("x-call-class", type)
                .add("x-budget-ms", Long.toString(budgetMs))
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

    /** Begins a stream and returns its id. */
    public int sendHeaders(Http2Headers head, boolean last) throws IOException {
        int id = nextStreamId;
        nextStreamId += 2;
        frame(HEADERS, END_HEADERS | (last ? END_STREAM : 0), id, encodeHeaders(id, head));
        return id;
    }

    /** The id of the next stream. */
    int nextStream() {
        return nextStreamId;
    }

    /** Sends a whole message in one write, and returns the id of its stream. */
    public int send(Http2Headers head, String body) throws IOException {
        int id = nextStreamId;
        nextStreamId += 2;
        byte[] block = bytes(HEADERS, END_HEADERS, id, encodeHeaders(id, head));
        byte[] data = bytes(DATA, END_STREAM, id, body.getBytes(StandardCharsets.UTF_8));
        write(ByteBuffer.allocate(block.length + data.length)
                .put(block)
                .put(data)
                .array());
        return id;
    }

    public void sendData(int stream, byte[] body, boolean last) throws IOException {
        frame(DATA, last ? END_STREAM : 0, stream, body);
    }

    /** Sends a chunk of a body once the windows of the connection and the stream allow it. */
    void sendWithinWindow(int stream, byte[] body, boolean last) throws IOException {
        await(() -> INITIAL_WINDOW_BYTES + windows.getOrDefault(0, 0L) - sentBytes >= body.length
                        && 4_096 + windows.getOrDefault(stream, 0L) - sentByStream.getOrDefault(stream, 0L)
                                >= body.length
                || statuses.containsKey(stream));
        sentBytes += body.length;
        sentByStream.merge(stream, (long) body.length, Long::sum);
        sendData(stream, body, last);
    }

    public void reset(int stream) throws IOException {
        frame(RST_STREAM, 0, stream, number(8));
    }

    /** Reads and stores one frame; returns false where the peer has closed. */
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
                Http2Headers head = headers(frame);
                int status = Integer.parseInt(head.status().toString());
                if (status >= 200) {
                    statuses.put(frame.stream(), status);
                    responseCounts.merge(frame.stream(), 1, Integer::sum);
                    if (head.contains("retry-after")) {
                        retryAfters.put(frame.stream(), head.get("retry-after").toString());
                    }
                }
            }
            case RST_STREAM -> resets.putIfAbsent(frame.stream(), frame.number());
            case GOAWAY -> goAways.add(new int[] {frame.number(), frame.number(4)});
            case WINDOW_UPDATE -> windows.merge(frame.stream(), (long) frame.number(), Long::sum);
            case PING -> {
                if ((frame.flags() & ACK) == 0) {
                    answer(PING, frame.payload());
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
                    answer(SETTINGS, new byte[0]);
                }
            }
            default -> {}
        }
    }

    private void answer(int type, byte[] payload) {
        try {
            frame(type, ACK, 0, payload);
        } catch (IOException e) {
            // The peer reads no more; what it sends is still read.
        }
    }

    private Http2Headers headers(Frame frame) {
        try {
            return decoder.decodeHeaders(frame.stream(), Unpooled.wrappedBuffer(frame.payload()));
        } catch (Http2Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Reads until a condition holds; returns false where the peer closes before. */
    public boolean await(Condition until) throws IOException {
        while (!until.isMet()) {
            if (!read()) {
                return until.isMet();
            }
        }
        return true;
    }

    /** Awaits the response of a stream and returns its status; 0 where the stream is reset. */
    public int status(int stream) throws IOException {
        await(() -> statuses.containsKey(stream) || resets.containsKey(stream));
        return statuses.getOrDefault(stream, 0);
    }

    /** Reads until the peer closes. */
    void awaitEnd() throws IOException {
        await(() -> false);
    }

    /** The error of the last GOAWAY; -1 where there was none. */
    int lastError() {
        return goAways.isEmpty() ? -1 : goAways.get(goAways.size() - 1)[1];
    }

    /** Resets the connection, as a process that dies does. */
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
