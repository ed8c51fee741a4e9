package loftflow.server;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import loftflow.config.Config;
import loftflow.engine.Clock;
import loftflow.engine.EventLoopLag;
import loftflow.engine.MessageAcceptor;
import loftflow.listener.Listener;
import loftflow.listener.http2.Http2Listener;
import loftflow.listener.http2.flowcontrol.ConcurrentStreamLimit;
import loftflow.listener.http2.flowcontrol.ConnectionExpiry;
import loftflow.listener.request.MessageRequest;
import loftflow.policy.api.RequestClass;

/** Assembles the HTTP/2 listeners. The class is not loaded if HTTP/2 is not configured. */
final class Http2Module {
    /** The lowest concurrent-stream limit of a connection, regardless of load. */
    private static final int MIN_STREAMS_PER_CONNECTION = 2;

    private final EventLoop eventLoop;
    private final Config config;
    private final List<Http2Listener> listeners = new ArrayList<>();

    /**
     * Creates the listeners without binding them.
     *
     * @param maxConnections the connection limit of each listener
     */
    Http2Module(
            EventLoop eventLoop,
            Clock clock,
            EventLoopLag eventLoopLag,
            MessageAcceptor acceptor,
            Config config,
            int maxConnections) {
        this.eventLoop = eventLoop;
        this.config = config;
        Map<String, Double> bufferShares = bufferShareByClass(config.settings().classes());
        for (Config.Http2ListenerOptions listener : config.http2().listeners()) {
            listeners.add(new Http2Listener(
                    acceptor, clock, eventLoopLag, options(listener, config.http2(), maxConnections, bufferShares)));
        }
    }

    /** Returns the share of each class in the sum of priority weights; all shares are 0 if the sum is 0. */
    private static Map<String, Double> bufferShareByClass(List<RequestClass> classes) {
        double totalWeight =
                classes.stream().mapToDouble(RequestClass::priorityWeight).sum();
        return classes.stream()
                .collect(Collectors.toMap(
                        RequestClass::name,
                        requestClass -> totalWeight > 0 ? requestClass.priorityWeight() / totalWeight : 0));
    }

    private static Http2Listener.Options options(
            Config.Http2ListenerOptions listener,
            Config.Http2 http2,
            int maxConnections,
            Map<String, Double> bufferShares) {
        return new Http2Listener.Options(
                maxConnections,
                new ConcurrentStreamLimit.Bounds(
                        Math.min(MIN_STREAMS_PER_CONNECTION, listener.maxStreamsPerConnection()),
                        listener.maxStreamsPerConnection(),
                        http2.maxStreams()),
                listener.maxHeaderListBytes(),
                listener.receiveWindowBytes(),
                http2.bodyBufferBytes(),
                bufferShares,
                listener.maxResetsPerSecond(),
                new ConnectionExpiry.TimeLimits(
                        MessageRequest.READ_TIMEOUT_MILLIS * 1000,
                        listener.idleTimeoutMicros(),
                        listener.maxConnectionAgeMicros(),
                        listener.stallTimeoutMicros()),
                listener.drainTimeoutMicros());
    }

    List<Listener> listeners() {
        return List.copyOf(listeners);
    }

    /** Starts the listeners; returns once all are bound. */
    void start() throws InterruptedException {
        for (int i = 0; i < listeners.size(); i++) {
            InetSocketAddress address = config.http2().listeners().get(i).listenAddress();
            ListenerBinding.awaitAndLog(listeners.get(i).listen(eventLoop, address), "serving HTTP/2 on");
        }
    }
}
