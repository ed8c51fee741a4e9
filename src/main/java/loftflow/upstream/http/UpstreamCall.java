package loftflow.upstream.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loftflow.engine.Message;
import loftflow.engine.UpstreamClient;
import loftflow.http.Headers;
import loftflow.json.JsonFields;
import loftflow.json.MalformedInputException;
import loftflow.log.Log;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.LimitReport;

/** One call to a host, for one message, for several, or a probe; it knows the table of outcomes. */
final class UpstreamCall {
    /** What owns a call: the pool of the host that it goes to. */
    interface Owner {
        String route();

        /** The host's address and port, as a request names them. */
        String authority();

        /** Microseconds, on the clock of messages. */
        long now();

        Future<?> after(long micros, Runnable task);

        void ended(Message.Attempt attempt, AttemptOutcome result, boolean over, long wait, LimitReport report);

        void probed(UpstreamCall call, AttemptOutcome result, long wait, LimitReport report);

        /** Drops a call that was given up before it had a connection; the result says whether the host is to blame. */
        AttemptOutcome unqueue(UpstreamCall call);

        void toldToWait(long span);

        /** An attempt that ended as timed out has turned out to have taken effect. */
        void late(Message.Attempt attempt);

        /** True where a connection may stay open for the late answer of a call. */
        boolean mayListenOn();

        /** Idle connections to the host are not worth trusting any more. */
        void closeIdle();
    }

    /** What carries a call once it has a connection. */
    interface Carrier {
        void close();

        /** Stays open for a late answer, and carries nothing more. */
        void listenOn();

        /** Takes in what has come and is not read yet. */
        void readWhatCame();
    }

    private static final JsonFactory JSON = new JsonFactory();
    private static final int MOST_ANSWER = 64 << 10;
    private static final int ITEM_OVERHEAD = 40;
    private static final long LONGEST_WAIT_MS = 3_600_000;

    private record Part(Message.Attempt attempt, long until, long latest, Future<?> timeout) {}

    private final Owner owner;
    private final long startedAt;
    /**
     * The call's time is up with that of the first of its messages. Guards against an answer after it: to the host the
     * call is over by then, so "done" in it delivers none of the others, and they would be lost. Guards also against
     * hosts that drop what is out of time and answer all the same. It harms where messages with much and with little
     * time left share a slow call that would yet be answered: the former end with the latter.
     */
    private final long until;

    private final String probePath;
    /** Attempts that nothing is known of yet. */
    private final Map<Message.Attempt, Part> parts = new LinkedHashMap<>();

    private final boolean several;
    private final Future<?> probeTimeout;
    private Carrier connection;
    private boolean sent;
    private boolean ended;
    private int status;
    private LimitReport report = LimitReport.NONE;
    private long wait;
    private boolean slotsTaken;
    /** The attempt whose late answer is listened for; null where none is. */
    private Message.Attempt late;

    private final ByteBuf body = Unpooled.buffer(0, MOST_ANSWER);

    /** A call for one or more attempts. */
    UpstreamCall(Owner owner, List<UpstreamClient.OutboundAttempt> outgoing) {
        this.owner = owner;
        startedAt = owner.now();
        probePath = null;
        probeTimeout = null;
        several = outgoing.size() > 1;
        until = outgoing.stream()
                .mapToLong(o -> o.attempt().message().content().deadlineMicros())
                .min()
                .orElse(startedAt);
        for (UpstreamClient.OutboundAttempt o : outgoing) {
            long span = Math.min(o.timeoutMicros(), until - startedAt);
            Future<?> timeout = owner.after(span, () -> giveUp(o.attempt(), AttemptOutcome.TIMEOUT));
            parts.put(o.attempt(), new Part(o.attempt(), startedAt + span, o.latestArrivalMicros(), timeout));
        }
    }

    /** A probe. */
    UpstreamCall(Owner owner, String path, long timeout) {
        this.owner = owner;
        startedAt = owner.now();
        until = startedAt + timeout;
        probePath = path;
        several = false;
        probeTimeout = owner.after(timeout, () -> {
            readWhatCame();
            if (!ended) {
                abandon(AttemptOutcome.TIMEOUT);
            }
        });
    }

    /** About how many bytes a message takes in a call for several. */
    static int encodedSize(Message message) {
        Message.Content content = message.content();
        int key = content.key() == null ? 0 : content.key().length();
        return (content.body().length + 2) / 3 * 4 + content.messageId().length() + key + ITEM_OVERHEAD;
    }

    long startedAt() {
        return startedAt;
    }

    /**
     * Ends, as not sent, attempts that may not begin to leave any more: their destination may have forgotten the key.
     */
    void endWhatIsLate(long now) {
        List.copyOf(parts.values()).stream()
                .filter(part -> now >= part.latest())
                .forEach(part -> end(part.attempt(), AttemptOutcome.NOT_SENT, false));
    }

    /** True where nothing waits for this call's answer. */
    boolean isOver() {
        return probePath == null ? parts.isEmpty() : ended;
    }

    boolean isSent() {
        return sent;
    }

    void begin(Carrier carrier) {
        connection = carrier;
    }

    void sent() {
        sent = true;
    }

    FullHttpRequest request() {
        if (probePath != null) {
            return request(HttpMethod.GET, probePath, new byte[0]);
        }
        FullHttpRequest request;
        if (several) {
            request = request(HttpMethod.POST, "/receive-many", manyBody());
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        } else {
            Message.Content content = parts.keySet().iterator().next().message().content();
            request = request(HttpMethod.POST, "/receive", content.body());
            request.headers().set(Headers.CALL_ID, content.messageId());
            if (content.key() != null) {
                request.headers().set(Headers.KEY, content.key());
            }
        }
        long until = parts.values().stream().mapToLong(Part::until).max().orElse(0);
        request.headers().set(Headers.BUDGET, Math.max(0, until - owner.now()) / 1000);
        return request;
    }

    private FullHttpRequest request(HttpMethod method, String path, byte[] content) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, Unpooled.wrappedBuffer(content));
        request.headers().set(HttpHeaderNames.HOST, owner.authority());
        if (method == HttpMethod.POST) {
            HttpUtil.setContentLength(request, content.length);
        }
        return request;
    }

    private byte[] manyBody() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartArray();
            for (Message.Attempt attempt : parts.keySet()) {
                Message.Content content = attempt.message().content();
                json.writeStartObject();
                json.writeStringField("id", content.messageId());
                if (content.key() != null) {
                    json.writeStringField("key", content.key());
                }
                json.writeBinaryField("body", content.body());
                json.writeEndObject();
            }
            json.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * A wait in a head that has come whole. Guards against calls that leave while the rest of the answer is cut off,
     * spoilt or
     * without an end, or that come after their call was given up: the host has told, whatever becomes of this call.
     */
    void told(HttpResponse response) {
        wait = waitOf(response.headers().get(Headers.COME_BACK));
        if (wait > 0) {
            owner.toldToWait(wait);
        }
    }

    /** The head of an answer; nothing else of it counts before the answer is whole. */
    void head(HttpResponse response) {
        status = response.status().code();
        report = report(response.headers().get(Headers.LOAD_REPORT));
        slotsTaken = "1".equals(response.headers().get(Headers.LINE_BUSY));
    }

    /** The first line of an answer: that a single message is delivered holds, whatever follows. */
    void firstLine(int code) {
        if (probePath == null && !several && code == HttpResponseStatus.OK.code()) {
            end(AttemptOutcome.OK, true);
            if (late != null) {
                Message.Attempt proven = late;
                late = null;
                owner.late(proven);
            }
        }
    }

    /** The answer can't be read or doesn't end; the host has run the call. */
    void spoilt(int code) {
        report = LimitReport.NONE;
        firstLine(code);
        end(AttemptOutcome.ERROR);
    }

    /** Takes in a piece of the answer's body; false where it is larger than any answer may be. */
    boolean body(ByteBuf piece) {
        if (body.readableBytes() + piece.readableBytes() > MOST_ANSWER) {
            return false;
        }
        body.writeBytes(piece);
        return true;
    }

    /** The answer is whole. */
    void complete() {
        if (late != null) {
            firstLine(status);
            return;
        }
        if (probePath != null) {
            if (status == 200 && report.equals(LimitReport.NONE)) {
                report = report(body.toString(StandardCharsets.UTF_8));
            }
            probeEnd(
                    status == 200
                            ? AttemptOutcome.OK
                            : status == 503 || status == 429 ? AttemptOutcome.REJECTED : AttemptOutcome.ERROR);
        } else if (several && isLate()) {
            end(AttemptOutcome.TIMEOUT);
        } else if (several && status == 200) {
            eachOutcome();
            // Guards against an answer that leaves a message out: it may have run.
            end(AttemptOutcome.ERROR);
        } else {
            outcome(status);
        }
    }

    /** Guards against an answer that was read before the timers of the same pass ran. */
    private boolean isLate() {
        return owner.now() >= until;
    }

    private void outcome(int code) {
        switch (code) {
            case 200 -> end(AttemptOutcome.OK, true);
            case 410 -> end(AttemptOutcome.NOT_SENT, true);
            case 429 -> end(AttemptOutcome.REJECTED);
            case 503 -> end(slotsTaken ? AttemptOutcome.NOT_SENT : AttemptOutcome.REJECTED);
            case 400, 404, 413, 504 -> end(AttemptOutcome.NOT_SENT);
            default -> end(AttemptOutcome.ERROR);
        }
    }

    private void eachOutcome() {
        Map<String, String> states = new HashMap<>();
        try (JsonParser parser = JSON.createParser(body.toString(StandardCharsets.UTF_8))) {
            parser.nextToken();
            if (!(JsonFields.read(parser) instanceof List<?> entries)) {
                throw new MalformedInputException("no array");
            }
            for (Object json : entries) {
                JsonFields entry = JsonFields.ofObject("answer", json);
                if (states.put(entry.text("id"), entry.text("state")) != null) {
                    throw new MalformedInputException("a message is named twice");
                }
            }
            if (parser.nextToken() != null) {
                throw new MalformedInputException("more than an array");
            }
        } catch (IOException | MalformedInputException e) {
            Log.line("host " + owner.route() + ": an answer can't be read: " + e.getMessage());
            return;
        }
        for (Message.Attempt attempt : new ArrayList<>(parts.keySet())) {
            outcome(attempt, states.getOrDefault(attempt.message().content().messageId(), "failed"));
        }
    }

    private void outcome(Message.Attempt attempt, String state) {
        switch (state) {
            case "done" -> end(attempt, AttemptOutcome.OK, true);
            case "busy" -> end(attempt, AttemptOutcome.REJECTED, false);
            case "void" -> end(attempt, AttemptOutcome.NOT_SENT, true);
            case "used_up" -> end(attempt, AttemptOutcome.NOT_SENT, false);
            default -> end(attempt, AttemptOutcome.ERROR, false);
        }
    }

    /** The connection broke, or ended, before the answer was whole. */
    void broken() {
        owner.closeIdle();
        end(sent ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED);
    }

    /** Every attempt that is still open ends alike. */
    void end(AttemptOutcome result) {
        end(result, false);
    }

    private void end(AttemptOutcome result, boolean over) {
        if (probePath != null) {
            probeEnd(result);
        }
        for (Message.Attempt attempt : new ArrayList<>(parts.keySet())) {
            end(attempt, result, over);
        }
    }

    private void end(Message.Attempt attempt, AttemptOutcome result, boolean over) {
        Part part = parts.remove(attempt);
        if (part != null) {
            part.timeout().cancel(false);
            owner.ended(attempt, result, over, wait, report);
        }
    }

    private void probeEnd(AttemptOutcome result) {
        if (!ended) {
            ended = true;
            probeTimeout.cancel(false);
            owner.probed(this, result, wait, report);
        }
    }

    /**
     * Stops waiting for one attempt. With the last one the connection closes too: the host must not take a
     * call for out that nobody waits for.
     */
    void giveUp(Message.Attempt attempt, AttemptOutcome result) {
        readWhatCame();
        if (!parts.containsKey(attempt)) {
            return;
        }
        if (parts.size() == 1) {
            abandon(result);
        } else {
            // Guards against taking for never sent what goes on leaving with the rest of its call.
            end(attempt, connection == null ? AttemptOutcome.CONNECT_FAILED : result, false);
        }
    }

    /** Guards against giving up on an answer, or a wait told in it, that came while the loop was at something else. */
    private void readWhatCame() {
        if (connection != null) {
            connection.readWhatCame();
        }
    }

    /** Gives the whole call up. What has not left whole never ran. */
    private void abandon(AttemptOutcome result) {
        if (connection == null) {
            end(owner.unqueue(this));
            return;
        }
        boolean listens =
                sent && result == AttemptOutcome.TIMEOUT && parts.size() == 1 && !several && owner.mayListenOn();
        Message.Attempt only = listens ? parts.keySet().iterator().next() : null;
        end(sent ? result : AttemptOutcome.CONNECT_FAILED);
        owner.closeIdle();
        if (listens) {
            late = only;
            connection.listenOn();
        } else {
            connection.close();
        }
    }

    private static long waitOf(String text) {
        if (text == null || !text.matches("\\d{1,9}")) {
            return 0;
        }
        return Math.min(LONGEST_WAIT_MS, Long.parseLong(text)) * 1000;
    }

    /** Reads a load report such as {@code TEXT x0=0.4, x1=25}; what can't be read counts as not told. */
    static LimitReport report(String text) {
        if (text == null) {
            return LimitReport.NONE;
        }
        double left = Double.NaN;
        double rate = Double.NaN;
        for (String pair : text.strip().replaceFirst("^TEXT\\s", "").split(",")) {
            String[] halves = pair.strip().split("=", 2);
            double value = halves.length < 2 ? Double.NaN : number(halves[1]);
            if (halves[0].equals("x0")) {
                left = value;
            } else if (halves[0].equals("x1")) {
                rate = value;
            }
        }
        return new LimitReport(left, rate);
    }

    private static double number(String text) {
        try {
            double value = Double.parseDouble(text.strip());
            return Double.isFinite(value) && value >= 0 ? value : Double.NaN;
        } catch (NumberFormatException e) {
            Log.line("a load report can't be read: " + text);
            return Double.NaN;
        }
    }
}
