package loftflow.completion;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
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
import loftflow.protocol.CompletionProtocol;

/**
 * Reports completions other than delivery to the platform, in batches and one request at a time, and retries each
 * notice until it is acknowledged. To be used on the event loop.
 *
 * <p>The platform rejects a whole batch if it can't parse one of its notices. The batch size is then halved until the
 * malformed notice is alone in its batch and is dropped; each successful request doubles the batch size again.
 */
public final class HttpCompletionNotifier implements CompletionNotifier {
    private static final int MAX_BATCH_SIZE = 100;
    private static final long RESPONSE_TIMEOUT_MILLIS = 100;
    private static final long RETRY_DELAY_MILLIS = 20;
    private static final long CONNECTION_CHECK_MILLIS = 500;

    private static final int STATUS_BAD_REQUEST = 400;

    private final EventLoop loop;
    private final AgentConnection connection;
    private final Consumer<Message> onAcknowledged;
    private final Runnable onUnreachable;
    /** In order of completion; while a request is in flight, its messages are the first ones. */
    private final ArrayDeque<Message> unacknowledged = new ArrayDeque<>();

    /** True while any message is unacknowledged: a request is in flight, or the next one is scheduled. */
    private boolean isPosting;

    private int batchSize = MAX_BATCH_SIZE;

    /**
     * Creates a notifier that has no connection yet.
     *
     * @param onAcknowledged receives each message once the platform has acknowledged its completion
     * @param onUnreachable runs every {@value #CONNECTION_CHECK_MILLIS} ms while there is no connection to the platform
     */
    public HttpCompletionNotifier(
            EventLoop loop, InetSocketAddress address, Consumer<Message> onAcknowledged, Runnable onUnreachable) {
        this.loop = loop;
        this.onAcknowledged = onAcknowledged;
        this.onUnreachable = onUnreachable;
        // An acknowledgement names no notice, and an acknowledged notice is not sent again.
        connection = new AgentConnection(loop, address, AgentConnection.Reuse.IF_UNAVOIDABLE);
    }

    /**
     * Opens a connection and keeps it open. An agent that is about to move to another address still serves its open
     * connections but accepts no new ones, and a notice that had to wait for the new address would be late.
     */
    public void start() {
        connection.open();
        loop.schedule(this::checkConnection, CONNECTION_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void checkConnection() {
        if (!connection.isOpen()) {
            onUnreachable.run();
        }
        start();
    }

    @Override
    public void notifyCompletion(Message message) {
        unacknowledged.add(message);
        if (!isPosting) {
            isPosting = true;
            loop.execute(this::post);
        }
    }

    /** Changes the platform's address for all later requests, including those for unacknowledged notices. */
    public void moveTo(InetSocketAddress address) {
        connection.moveTo(address);
    }

    private void post() {
        List<Message> batch = new ArrayList<>();
        StringBuilder notices = new StringBuilder();
        for (Iterator<Message> next = unacknowledged.iterator(); next.hasNext() && batch.size() < batchSize; ) {
            Message message = next.next();
            batch.add(message);
            notices.append(CompletionNoticeCodec.notice(message));
        }
        connection.request(
                HttpMethod.POST,
                CompletionProtocol.NOTICE_PATH,
                notices.toString(),
                RESPONSE_TIMEOUT_MILLIS,
                (status, body) -> onResponse(batch, status));
    }

    private void onResponse(List<Message> batch, int status) {
        boolean isAccepted = status / 100 == 2;
        boolean isMalformed = status == STATUS_BAD_REQUEST;
        if (isAccepted) {
            batchSize = Math.min(MAX_BATCH_SIZE, 2 * batchSize);
            acknowledge(batch);
        } else if (isMalformed && batch.size() > 1) {
            batchSize = batch.size() / 2;
        } else if (isMalformed) {
            // If it were retried, it would block all later notices.
            Log.line("completion: notice rejected and dropped message="
                    + batch.get(0).content().messageId());
            acknowledge(batch);
        }
        if (unacknowledged.isEmpty()) {
            isPosting = false;
        } else if (isAccepted || isMalformed) {
            post();
        } else {
            loop.schedule(this::post, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void acknowledge(List<Message> batch) {
        batch.forEach(message -> unacknowledged.poll());
        batch.forEach(this::reportAcknowledged);
    }

    /** Reports an acknowledgement; an exception for one message must not stop the notices of later ones. */
    private void reportAcknowledged(Message message) {
        try {
            onAcknowledged.accept(message);
        } catch (RuntimeException e) {
            Log.line("completion: acknowledgement failed message="
                    + message.content().messageId() + " error=" + e);
        }
    }
}
