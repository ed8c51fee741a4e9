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

/** Listens for clients and keeps their connections, and what they have half sent, within bounds. */
public final class HttpListener implements Listener {
    private final MessageAcceptor intake;
    private final Clock clock;
    private final Acceptor door;
    private final ConnectionLimiter<HttpClientConnection> house;
    private final RequestBufferPool room = new RequestBufferPool();
    private boolean draining;

    /** A front for so many connections at the most. */
    public HttpListener(MessageAcceptor intake, Clock clock, EventLoopLag pulse, int mostConnections) {
        this.intake = intake;
        this.clock = clock;
        door = new Acceptor(
                pulse, ch -> ch.pipeline().addLast(new HttpClientConnection(this, intake, clock).handlers()));
        house = new ConnectionLimiter<>(
                mostConnections, HttpClientConnection::readWhatCame, HttpClientConnection::close);
    }

    /** Listens for clients at an address. */
    public ChannelFuture listen(EventLoop loop, InetSocketAddress address) {
        return door.open(loop, address);
    }

    Acceptor door() {
        return door;
    }

    ConnectionLimiter<HttpClientConnection> house() {
        return house;
    }

    RequestBufferPool room() {
        return room;
    }

    /**
     * Closes connections as they fall idle; whatever a client has begun to send is still answered, and every answer
     * goes out first.
     */
    @Override
    public void drain() {
        draining = true;
        takeIn();
        house.standing().stream().filter(c -> c.isFlushed() && !c.isEnding()).forEach(HttpClientConnection::close);
    }

    /**
     * Guards against a request that lies unread on a connection that is about to close: it would end with no answer.
     */
    @Override
    public void takeIn() {
        door.takeIn();
        house.standing().forEach(HttpClientConnection::readWhatCame);
    }

    boolean isDraining() {
        return draining;
    }

    /** True where every request that was begun has its answer, and the system has taken it. */
    @Override
    public boolean isIdle() {
        return house.isIdle(HttpClientConnection::isEnding)
                && house.all().stream().allMatch(HttpClientConnection::isFlushed);
    }

    /** True while a request that was read whole has no answer yet. */
    @Override
    public boolean isAnswering() {
        return house.all().stream().anyMatch(HttpClientConnection::isAnswering);
    }

    /** Takes no new connection from now on. */
    @Override
    public void stopListening() {
        door.shut();
    }
}
