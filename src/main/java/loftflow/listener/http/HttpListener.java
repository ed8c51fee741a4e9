package loftflow.listener.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import loftflow.engine.Clock;
import loftflow.engine.EventLoopLag;
import loftflow.engine.MessageAcceptor;
import loftflow.listener.Listener;
import loftflow.listener.connection.Acceptor;
import loftflow.listener.connection.ConnectionLimiter;
import loftflow.listener.connection.ReadShare;
import loftflow.log.Log;
import loftflow.memory.MemoryBudget;
import loftflow.memory.MemoryLimits;

/** Serves HTTP/1.1 clients, with limits on their connections and on the memory for partly received requests. */
public final class HttpListener implements Listener {
    /** The minimum time without a request in progress after which a connection may be evicted. */
    static final long MIN_IDLE_MICROS = TimeUnit.SECONDS.toMicros(2);

    /** What each connection may hold for a request even if the others have used up the memory. */
    public static final int GUARANTEED_BYTES = 12 << 10;

    private static final long MEMORY_LOG_INTERVAL_MICROS = TimeUnit.SECONDS.toMicros(1);

    private final Acceptor acceptor;
    private final ConnectionLimiter<HttpClientConnection> connections;
    private final MemoryBudget requestMemory;
    private final Clock clock;
    private ReadShare readShare;
    private long memoryLoggedAtMicros = -MEMORY_LOG_INTERVAL_MICROS;
    private boolean isDraining;

    /** Creates a listener with a limit of its own on the memory of requests. */
    public HttpListener(MessageAcceptor messageAcceptor, Clock clock, EventLoopLag eventLoopLag, int maxConnections) {
        this(
                messageAcceptor,
                clock,
                eventLoopLag,
                maxConnections,
                new MemoryBudget(MemoryLimits.ofProcess().clientRequestBytes(), GUARANTEED_BYTES));
    }

    /**
     * Creates a listener, which listens once {@link #listen} is called.
     *
     * @param requestMemory limits the requests that are received in part or wait, also those of other listeners
     */
    public HttpListener(
            MessageAcceptor messageAcceptor,
            Clock clock,
            EventLoopLag eventLoopLag,
            int maxConnections,
            MemoryBudget requestMemory) {
        this.clock = clock;
        this.requestMemory = requestMemory;
        acceptor = new Acceptor(eventLoopLag, channel -> channel.pipeline()
                .addLast(new HttpClientConnection(this, messageAcceptor, clock).handlers()));
        connections = new ConnectionLimiter<>(
                maxConnections, MIN_IDLE_MICROS, clock, HttpClientConnection::readPending, HttpClientConnection::evict);
    }

    /** Starts to listen at an address. */
    public ChannelFuture listen(EventLoop loop, InetSocketAddress address) {
        readShare = new ReadShare(loop, HttpClientConnection.MAX_BYTES_PER_PASS);
        return acceptor.open(loop, address);
    }

    Acceptor acceptor() {
        return acceptor;
    }

    ConnectionLimiter<HttpClientConnection> connections() {
        return connections;
    }

    MemoryBudget requestMemory() {
        return requestMemory;
    }

    ReadShare readShare() {
        return readShare;
    }

    /** Called when a request can't be received, or has to wait, because others use up the memory. */
    void onMemoryExhausted() {
        long nowMicros = clock.micros();
        if (nowMicros - memoryLoggedAtMicros >= MEMORY_LOG_INTERVAL_MICROS) {
            memoryLoggedAtMicros = nowMicros;
            Log.line("listener: request memory exhausted heldBytes=" + requestMemory.heldBytes() + " connections="
                    + connections.size());
        }
    }

    /**
     * Closes each connection with its next response, which carries {@code Connection: close}. Closing connections here
     * could cut off a request that a client has just written.
     */
    @Override
    public void drain() {
        isDraining = true;
        readPending();
    }

    /** Closes each connection right after reading its pending bytes, before the next connection is handled. */
    @Override
    public void closeIdle() {
        acceptor.acceptPending();
        connections.inactive().forEach(HttpClientConnection::closeIfIdle);
    }

    /**
     * Also reads from inactive connections, as closing one with a pending request would leave it without a response.
     */
    @Override
    public void readPending() {
        acceptor.acceptPending();
        connections.inactive().forEach(HttpClientConnection::readPending);
    }

    boolean isDraining() {
        return isDraining;
    }

    /** Also requires that every response has been written to its socket. */
    @Override
    public boolean isIdle() {
        return connections.isIdle(HttpClientConnection::isClosing)
                && connections.all().stream().allMatch(HttpClientConnection::isFlushed);
    }

    @Override
    public boolean hasRequestInProgress() {
        return connections.all().stream().anyMatch(HttpClientConnection::hasRequestInProgress);
    }

    @Override
    public void stopListening() {
        acceptor.close();
    }
}
