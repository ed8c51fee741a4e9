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
import loftflow.listener.connection.RequestBufferBudget;

/** Listens for HTTP/1.1 clients, with a limit on their connections and on the memory of their partial requests. */
public final class HttpListener implements Listener {
    /** A connection may be evicted once it has had no request in progress for so long. */
    static final long MIN_IDLE_MICROS = TimeUnit.SECONDS.toMicros(2);

    private final Acceptor acceptor;
    private final ConnectionLimiter<HttpClientConnection> connections;
    private final RequestBufferBudget bufferBudget = new RequestBufferBudget();
    private boolean isDraining;

    /** Creates a listener with a connection limit that does not listen yet. */
    public HttpListener(MessageAcceptor messageAcceptor, Clock clock, EventLoopLag eventLoopLag, int maxConnections) {
        acceptor = new Acceptor(eventLoopLag, channel -> channel.pipeline()
                .addLast(new HttpClientConnection(this, messageAcceptor, clock).handlers()));
        connections = new ConnectionLimiter<>(
                maxConnections, MIN_IDLE_MICROS, clock, HttpClientConnection::readPending, HttpClientConnection::evict);
    }

    /** Listens for clients at an address. */
    public ChannelFuture listen(EventLoop loop, InetSocketAddress address) {
        return acceptor.open(loop, address);
    }

    Acceptor acceptor() {
        return acceptor;
    }

    ConnectionLimiter<HttpClientConnection> connections() {
        return connections;
    }

    RequestBufferBudget bufferBudget() {
        return bufferBudget;
    }

    /**
     * Closes each connection with its next response, which says so. One that is closed from here while its client uses
     * it may cut off a request that has just been written.
     */
    @Override
    public void drain() {
        isDraining = true;
        readPending();
    }

    /** Each connection is closed right after its pending bytes were read: no other work lies between. */
    @Override
    public void closeIdle() {
        acceptor.acceptPending();
        connections.inactive().forEach(HttpClientConnection::closeIfIdle);
    }

    /** Also reads from inactive connections: one that closes with a pending request would leave it unanswered. */
    @Override
    public void readPending() {
        acceptor.acceptPending();
        connections.inactive().forEach(HttpClientConnection::readPending);
    }

    boolean isDraining() {
        return isDraining;
    }

    /** Also requires that the kernel has taken every response. */
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
