package loftflow.listener.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import loftflow.engine.Clock;
import loftflow.engine.EventLoopLag;
import loftflow.engine.MessageAcceptor;
import loftflow.listener.Listener;
import loftflow.listener.connection.Acceptor;
import loftflow.listener.connection.ConnectionLimiter;
import loftflow.listener.connection.RequestBufferPool;

/** Listens for HTTP/1.1 clients, with a limit on their connections and on the memory of their partial requests. */
public final class HttpListener implements Listener {
    private final Acceptor acceptor;
    private final ConnectionLimiter<HttpClientConnection> connections;
    private final RequestBufferPool bufferPool = new RequestBufferPool();
    private boolean isDraining;

    /** Creates a listener with a connection limit that does not listen yet. */
    public HttpListener(MessageAcceptor messageAcceptor, Clock clock, EventLoopLag eventLoopLag, int maxConnections) {
        acceptor = new Acceptor(eventLoopLag, channel -> channel.pipeline()
                .addLast(new HttpClientConnection(this, messageAcceptor, clock).handlers()));
        connections =
                new ConnectionLimiter<>(maxConnections, HttpClientConnection::readPending, HttpClientConnection::close);
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

    RequestBufferPool bufferPool() {
        return bufferPool;
    }

    /** Closes connections as they become idle; requests that were begun are answered and responses flushed first. */
    @Override
    public void drain() {
        isDraining = true;
        readPending();
        connections.inactive().stream()
                .filter(connection -> connection.isFlushed() && !connection.isClosing())
                .forEach(HttpClientConnection::close);
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
