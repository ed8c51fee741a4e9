package loftflow.completion;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loftflow.discovery.AgentConnection;
import loftflow.engine.CompletionNotifier;
import loftflow.engine.Message;
import loftflow.log.Log;

/** Tells the platform of messages that ended undelivered, and again until it has heard. */
public final class HttpCompletionNotifier implements CompletionNotifier {
    private static final int MOST_IN_ONE = 100;
    private static final long PATIENCE_MS = 100;
    private static final long PAUSE_MS = 20;
    private static final long LOOK_MS = 500;

    private final EventLoop loop;
    private final AgentConnection agent;
    private final Consumer<Message> heard;
    private final Runnable unreachable;
    private final JsonFactory factory = new JsonFactory();
    private final ArrayDeque<Message> waiting = new ArrayDeque<>();
    private boolean out;
    /** How many go in one request: fewer while one is looked for that the platform can't read. */
    private int most = MOST_IN_ONE;

    /**
     * Notices to a platform.
     *
     * @param heard is told of each once the platform has taken it
     * @param unreachable is run each {@value #LOOK_MS} ms for which there is no connection to the platform
     */
    public HttpCompletionNotifier(
            EventLoop loop, InetSocketAddress address, Consumer<Message> heard, Runnable unreachable) {
        this.loop = loop;
        this.heard = heard;
        this.unreachable = unreachable;
        agent = new AgentConnection(loop, address);
    }

    /**
     * Keeps a connection open from now on. Guards against an agent that is about to move: it serves the connections
     * that it
     * has and takes no new one, and a notice that has to wait for the new address is late.
     */
    public void start() {
        agent.open();
        loop.schedule(this::keepOpen, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    private void keepOpen() {
        if (!agent.isOpen()) {
            unreachable.run();
        }
        start();
    }

    @Override
    public void notifyCompletion(Message message) {
        waiting.add(message);
        if (!out) {
            out = true;
            loop.execute(this::post);
        }
    }

    /** Notices go to another address from now on, also those that have no answer yet. */
    public void moveTo(InetSocketAddress address) {
        agent.moveTo(address);
    }

    private void post() {
        List<Message> batch = new ArrayList<>();
        StringBuilder lines = new StringBuilder();
        for (Iterator<Message> next = waiting.iterator(); next.hasNext() && batch.size() < most; ) {
            Message message = next.next();
            batch.add(message);
            lines.append(line(message)).append('\n');
        }
        agent.request(
                HttpMethod.POST, "/status", lines.toString(), PATIENCE_MS, (status, body) -> answered(batch, status));
    }

    private void answered(List<Message> batch, int status) {
        boolean read = status / 100 == 2;
        if (status == 400 && batch.size() > 1) {
            // Guards against one notice that the platform can't read and that all others of its request would end with.
            most = batch.size() / 2;
        } else if (read || status == 400) {
            if (!read) {
                // Guards against asking for ever, which would block the others.
                Log.line("notices: the platform can't read the end of "
                        + batch.get(0).content().messageId() + ", it is set apart");
            }
            most = read ? Math.min(MOST_IN_ONE, 2 * most) : most;
            batch.forEach(message -> waiting.poll());
            batch.forEach(this::tell);
        }
        if (waiting.isEmpty()) {
            out = false;
        } else if (read || status == 400) {
            post();
        } else {
            loop.schedule(this::post, PAUSE_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Guards against one message whose end can't be carried out: all later notices would wait for ever. */
    private void tell(Message message) {
        try {
            heard.accept(message);
        } catch (RuntimeException e) {
            Log.line("notices: the end of " + message.content().messageId() + " can't be carried out: " + e);
        }
    }

    private String line(Message message) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = factory.createGenerator(text)) {
            json.writeStartObject();
            json.writeStringField("ref", message.content().messageId());
            json.writeStringField("result", message.completion().word());
            if (message.completion().isRejected() && message.completion().retryAfterMicros() > 0) {
                json.writeNumberField("wait_ms", message.completion().retryAfterMicros() / 1000);
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }
}
