package loftflow.server;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loftflow.amqp.mapping.MessageMapping;
import loftflow.config.Config;
import loftflow.deduplication.DeduplicationFile;
import loftflow.deduplication.Deduplicator;
import loftflow.engine.Clock;
import loftflow.engine.CompletionNotifier;
import loftflow.engine.DeliveryEngine;
import loftflow.engine.EventLoopLag;
import loftflow.engine.Message;
import loftflow.engine.UpstreamClient;
import loftflow.engine.WriteAheadLog;
import loftflow.listener.Listener;
import loftflow.listener.amqp.AmqpListener;
import loftflow.listener.amqp.CompletionReplier;
import loftflow.listener.amqp.QueueConsumer;
import loftflow.upstream.amqp.BrokerClient;
import loftflow.upstream.amqp.BrokerDestination;

/**
 * Assembles the AMQP 0-9-1 components: clients for upstream brokers, listeners for AMQP clients, and queue consumers.
 * The class is not loaded if AMQP is not configured.
 */
final class AmqpModule {
    private final EventLoop eventLoop;
    private final Clock clock;
    private final EventLoopLag eventLoopLag;
    private final DeliveryEngine engine;
    private final Config config;
    /** Receives completions that are not sent as an AMQP reply. */
    private final CompletionNotifier defaultNotifier;

    private final List<AmqpListener> amqpListeners = new ArrayList<>();
    private final List<QueueConsumer> consumers = new ArrayList<>();
    /** Keyed by the name in {@link Message.Reply#listener}. */
    private final Map<String, CompletionReplier> repliers = new HashMap<>();

    /**
     * Creates the listeners and consumers without starting them.
     *
     * @throws IOException if the deduplication file or a file of trusted certificates can't be read
     */
    AmqpModule(
            EventLoop eventLoop,
            Clock clock,
            EventLoopLag eventLoopLag,
            DeliveryEngine engine,
            Config config,
            WriteAheadLog journal,
            CompletionNotifier defaultNotifier)
            throws IOException {
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.eventLoopLag = eventLoopLag;
        this.engine = engine;
        this.config = config;
        this.defaultNotifier = defaultNotifier;
        Config.Amqp amqp = config.amqp();
        boolean hasSources = !amqp.listeners().isEmpty() || !amqp.queues().isEmpty();
        Deduplicator deduplicator = hasSources ? openDeduplicator(journal) : Deduplicator.NONE;
        MessageMapping mapping = AmqpOptions.mapping(amqp, config.settings().classes());
        for (Config.AmqpListenerOptions listener : amqp.listeners()) {
            addListener(listener, mapping, deduplicator);
        }
        for (Config.AmqpConsumerOptions queue : amqp.queues()) {
            addConsumer(queue, mapping, deduplicator);
        }
    }

    /**
     * Opens the file of known message ids and adds the ids of all messages in the journal. A process that was killed
     * may have written a message to the journal without having written its id to the file.
     */
    private Deduplicator openDeduplicator(WriteAheadLog journal) throws IOException {
        DeduplicationFile deduplicator = new DeduplicationFile(
                config.stateDirectory(),
                config.amqp().deduplicationWindowMicros(),
                config.amqp().maxDeduplicationEntries(),
                clock::micros);
        for (Message message : journal.openMessages()) {
            String messageId = message.content().messageId();
            if (!deduplicator.contains(messageId)) {
                deduplicator.add(messageId);
            }
        }
        return deduplicator;
    }

    private void addListener(Config.AmqpListenerOptions options, MessageMapping mapping, Deduplicator deduplicator) {
        AmqpListener listener = new AmqpListener(
                engine,
                clock,
                eventLoopLag,
                mapping,
                deduplicator,
                AmqpOptions.listener(options, config.amqp().maxConnectionsPerListener()),
                engine::onCompletionAcknowledged,
                this::notifyWithoutReply);
        amqpListeners.add(listener);
        repliers.put(options.name(), listener);
    }

    private void addConsumer(Config.AmqpConsumerOptions options, MessageMapping mapping, Deduplicator deduplicator)
            throws IOException {
        QueueConsumer consumer = new QueueConsumer(
                eventLoop,
                engine,
                clock,
                eventLoopLag,
                mapping,
                deduplicator,
                AmqpOptions.consumer(options, connectTimeoutMicros()),
                engine::onCompletionAcknowledged,
                this::notifyWithoutReply);
        consumers.add(consumer);
        repliers.put(options.name(), consumer);
    }

    private long connectTimeoutMicros() {
        return config.settings().limits().connectTimeoutMicros();
    }

    /**
     * Handles a completion whose AMQP reply can't be delivered. If completions are sent to the platform, a delivery is
     * acknowledged without a notice, because the platform is notified of failures only. The completion log records
     * deliveries too.
     */
    private void notifyWithoutReply(Message message) {
        if (message.completion().kind() == Message.Completion.Kind.DELIVERED && config.completionAddress() != null) {
            engine.onCompletionAcknowledged(message);
        } else {
            defaultNotifier.notifyCompletion(message);
        }
    }

    /**
     * Returns a client for all upstreams, which calls brokers over AMQP and all others through {@code httpClient}.
     *
     * @throws IOException if a file of trusted certificates can't be read
     */
    UpstreamClient upstreamClient(UpstreamClient httpClient) throws IOException {
        Map<String, BrokerDestination> brokers = new HashMap<>();
        for (Map.Entry<String, Config.BrokerRoute> route :
                config.amqp().brokerRoutes().entrySet()) {
            brokers.put(route.getKey(), AmqpOptions.destination(route.getValue()));
        }
        if (brokers.isEmpty()) {
            return httpClient;
        }
        return new RoutingUpstreamClient(
                httpClient, new BrokerClient(eventLoop, clock, connectTimeoutMicros(), brokers, engine));
    }

    /**
     * Returns a notifier that replies over AMQP if the client requested a reply, and uses the default notifier
     * otherwise.
     */
    CompletionNotifier completionNotifier() {
        return message -> {
            Message.Reply reply = message.content().reply();
            if (reply == null) {
                defaultNotifier.notifyCompletion(message);
            } else if (repliers.containsKey(reply.listener())) {
                repliers.get(reply.listener()).reply(message);
            } else {
                // The listener of a resumed message is no longer configured.
                notifyWithoutReply(message);
            }
        };
    }

    /**
     * Returns the number of listeners that share the connection limit. Consumers are not counted, as they are clients.
     */
    int listenerCount() {
        return amqpListeners.size();
    }

    /** Returns all listeners and consumers. */
    List<Listener> listeners() {
        List<Listener> listeners = new ArrayList<>(amqpListeners);
        listeners.addAll(consumers);
        return listeners;
    }

    /** Starts the listeners and consumers; returns once every listener is bound. */
    void start() throws InterruptedException {
        for (int i = 0; i < amqpListeners.size(); i++) {
            InetSocketAddress address = config.amqp().listeners().get(i).listenAddress();
            ListenerBinding.awaitAndLog(amqpListeners.get(i).listen(eventLoop, address), "serving AMQP on");
        }
        consumers.forEach(consumer -> eventLoop.execute(consumer::start));
    }
}
