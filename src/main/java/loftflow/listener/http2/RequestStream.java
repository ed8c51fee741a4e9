package loftflow.listener.http2;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2Stream;
import io.netty.util.AsciiString;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import loftflow.engine.Message;
import loftflow.engine.MessageAcceptor;
import loftflow.http.Headers;
import loftflow.listener.http2.flowcontrol.StreamLifecycle;
import loftflow.listener.request.ClientResponse;
import loftflow.listener.request.Exchange;
import loftflow.listener.request.MessageRequest;

/** One request on a connection, from its head to its one answer. */
final class RequestStream extends Exchange {
    private static final Map<String, AsciiString> NAMES = List.of(
                    Headers.CALL_ID, Headers.CALL_CLASS, Headers.CALLER, Headers.KEY, Headers.BUDGET, Headers.CONSIGNEE)
            .stream()
            .collect(Collectors.toMap(Function.identity(), name -> AsciiString.cached(name.toLowerCase(Locale.ROOT))));
    private static final byte[] NONE = new byte[0];
    private static final long UNTOLD = -1;

    private final ClientSession session;
    private final Http2Stream stream;
    private final Http2Headers head;
    private final StreamLifecycle life = new StreamLifecycle();
    private int granted = ClientSession.FIRST_WINDOW;
    private int held;
    private int lent;
    private final long since;
    private final long length;
    private int wished;
    private byte[] body = NONE;
    private int size;
    private boolean whole;

    /** A stream whose head has come. */
    RequestStream(ClientSession session, MessageAcceptor intake, Http2Stream stream, Http2Headers head, long since) {
        super(intake);
        this.session = session;
        this.stream = stream;
        this.head = head;
        this.since = since;
        // The decoder has made sure that it is a number.
        length = head.getLong(HttpHeaderNames.CONTENT_LENGTH, UNTOLD);
    }

    Http2Stream stream() {
        return stream;
    }

    StreamLifecycle life() {
        return life;
    }

    /** Bytes of its body as its head tells them; below 0 where it tells none. */
    long length() {
        return length;
    }

    /** When its head came. */
    long since() {
        return since;
    }

    /** The class that it says it is of, for what it may hold; it may be none that there is. */
    String type() {
        CharSequence type = head.get(NAMES.get(Headers.CALL_CLASS));
        return type == null ? "" : type.toString();
    }

    /** Bytes of its body that its window lets come in all. */
    int granted() {
        return granted;
    }

    void grant(int bytes) {
        granted += bytes;
        held += bytes;
    }

    /** Asks for room for so many more bytes; where there is none now, it is asked for again when some comes back. */
    void wish(int bytes) {
        wished = bytes;
        ask();
    }

    /** Asks again for what was wished. */
    void ask() {
        if (wantsCredit() && session.extend(this, wished)) {
            wished = 0;
        }
    }

    /** It has waited for long. */
    void insist() {
        if (wantsCredit()) {
            session.insist(this, wished);
        }
    }

    /** True where its body waits for room. */
    boolean wantsCredit() {
        return wished > 0 && life.state() == StreamLifecycle.State.READING;
    }

    /** True where its length is untold and what its window lets come is nearly used up. */
    boolean mayNeedMore() {
        return wished == 0
                && granted < ClientSession.MOST_WINDOW
                && granted - size < ClientSession.FIRST_WINDOW / 2
                && length == UNTOLD;
    }

    /** Bytes that it has of the front's pool. */
    int held() {
        return held;
    }

    /** Bytes by which the connection's window is wider while it is half read. */
    int lent() {
        return lent;
    }

    void lend(int bytes) {
        lent += bytes;
    }

    /** What it had is given back. */
    void returned() {
        held = 0;
        lent = 0;
    }

    /** Bytes of the body that have come. */
    int size() {
        return size;
    }

    /** Takes in a piece of the body, which has room for it. */
    void add(ByteBuf piece) {
        int bytes = piece.readableBytes();
        if (size + bytes > body.length) {
            // Guards against streams that tell a long body and send a byte: no more is held than was let come.
            int whole = (int) Math.min(granted, length == UNTOLD ? 2 * body.length : length);
            body = Arrays.copyOf(body, Math.max(size + bytes, whole));
        }
        piece.readBytes(body, size, bytes);
        size += bytes;
    }

    /** True where its client has sent all of it. */
    boolean isWhole() {
        return whole;
    }

    /** Does what the request asks for, which is whole. */
    void whole(boolean draining, long came, long unreadSince) {
        whole = true;
        handle(head.method(), head.path(), draining, () -> content(came), unreadSince);
    }

    private Message.Content content(long came) {
        return MessageRequest.parse(
                head.path(),
                name -> head.get(NAMES.get(name)),
                came,
                size == body.length ? body : Arrays.copyOf(body, size));
    }

    @Override
    protected void respond(ClientResponse answer, long retryIn) {
        releaseMessage();
        session.answer(this, answer, retryIn, StreamLifecycle.Event.RESPONDED);
    }
}
