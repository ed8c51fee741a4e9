package loftflow.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import loftflow.engine.Endpoint;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.PolicySettings;

/**
 * Everything that a relay is configured with at its start. It is read from the platform's JSON by
 * {@link PlatformConfigReader}, or from a relay file by {@code loftflow.config.tool.RelayFile}.
 *
 * @param listenAddresses where the relay listens for clients that speak HTTP/1.1
 * @param discoveryAddress the agent that serves the endpoint list; null where {@code knownEndpoints} is the full list
 * @param completionAddress the agent that completions are posted to; null where they are written to a file beside the
 *     journal
 * @param stateDirectory the directory for everything that outlasts the process
 * @param maxClientConnections connection limit for clients, over all listeners
 * @param maxUpstreamConnections connection limit for upstreams, over all endpoints
 * @param diskBytes disk space for the journal and everything beside it
 * @param settings what the delivery policy is configured with
 * @param roundPeriodMicros how long events are collected before the policy runs
 * @param upstreamIdleTimeoutMicros the time after which an upstream may close an idle connection
 * @param isLoadReportEnabled whether upstreams may report their limits in responses
 * @param knownListKind whether {@code knownEndpoints} is the full list or a cached one that discovery will replace
 * @param knownListVersion -1 where no list is known
 * @param knownEndpoints empty where no list is known
 * @param deadLetters the dead-letter store; null for none
 * @param amqp AMQP 0-9-1; null for none
 * @param http2 HTTP/2; null for none
 * @param warmStart the endpoint snapshots for a restart; null for none
 * @param sourceBytes the content of the file that all this was read from
 */
public record Config(
        List<InetSocketAddress> listenAddresses,
        InetSocketAddress discoveryAddress,
        InetSocketAddress completionAddress,
        Path stateDirectory,
        int maxClientConnections,
        int maxUpstreamConnections,
        long diskBytes,
        PolicySettings settings,
        long roundPeriodMicros,
        long upstreamIdleTimeoutMicros,
        boolean isLoadReportEnabled,
        EndpointListKind knownListKind,
        long knownListVersion,
        List<Endpoint> knownEndpoints,
        DeadLetterOptions deadLetters,
        Amqp amqp,
        Http2 http2,
        WarmStartConfig warmStart,
        byte[] sourceBytes) {

    /**
     * The endpoint snapshots that a relay stores for its next start.
     *
     * @param owner the identity of this relay: a snapshot of another owner is not used
     * @param limitBytes disk space for all snapshot files
     * @param writeBytesPerSecond average write rate
     * @param trustHalfLifeMicros the time in which trust in what a snapshot says halves
     * @param listConfirmationMicros how long discovery must repeat a doubtful list before it is applied; 0 to apply
     *     every list at once
     * @param waitMarginMicros added to a Retry-After that outlasts a restart
     * @param isSyncedToDisk whether a snapshot counts as saved only once it is synced to the disk
     */
    public record WarmStartConfig(
            String owner,
            long limitBytes,
            long writeBytesPerSecond,
            long trustHalfLifeMicros,
            long listConfirmationMicros,
            long waitMarginMicros,
            boolean isSyncedToDisk) {}

    /**
     * The store for undeliverable messages.
     *
     * @param limitBytes disk space for the store
     * @param maxEntries the number of entries from which on the store is full
     * @param highWatermark the share of {@code limitBytes} from which on the store is full
     * @param lowWatermark the share of {@code limitBytes} below which a full store accepts entries again
     * @param rejectsWhenFull whether new messages of a class are rejected while the store is full and that class fails;
     *     otherwise its undeliverable messages are logged as lost
     * @param maxClosedAgeMicros the time after which closed entries are removed
     * @param redrivesPerSecond the highest redrive rate to one destination
     * @param redriveBackoffMicros the shortest time between redrives of one entry
     * @param clockMarginMicros how far clocks may differ
     * @param lateResponseWindowMicros how long a late response is waited for after a timeout; 0 for not at all
     * @param redriveWindowMicrosByClass how long messages may be redriven, by request class
     */
    public record DeadLetterOptions(
            long limitBytes,
            long maxEntries,
            double highWatermark,
            double lowWatermark,
            boolean rejectsWhenFull,
            long maxClosedAgeMicros,
            double redrivesPerSecond,
            long redriveBackoffMicros,
            long clockMarginMicros,
            long lateResponseWindowMicros,
            Map<String, Long> redriveWindowMicrosByClass) {}

    /**
     * AMQP 0-9-1: brokers as upstreams, and AMQP clients and queues as sources of messages.
     *
     * @param brokerRoutes the routes that lead to brokers, by endpoint id
     * @param queues queues that the relay consumes
     * @param mappings how a message's parts are found in AMQP messages; empty for the default mapping
     * @param maxConnectionsPerListener connection limit for clients of each listener
     * @param deduplicationWindowMicros how long the ids of messages are stored
     * @param maxDeduplicationEntries how many ids are stored
     */
    public record Amqp(
            Map<String, BrokerRoute> brokerRoutes,
            List<AmqpListenerOptions> listeners,
            List<AmqpConsumerOptions> queues,
            List<MappingRule> mappings,
            int maxConnectionsPerListener,
            long deduplicationWindowMicros,
            int maxDeduplicationEntries) {}

    /**
     * How to log in to a broker.
     *
     * @param trustedCertificates a file of certificates to trust with TLS; null for the system's
     * @param tlsServerName the name to verify in the broker's certificate; null for none
     */
    public record Login(
            String user,
            String password,
            String virtualHost,
            int heartbeatSeconds,
            boolean tls,
            Path trustedCertificates,
            String tlsServerName) {}

    /** Where the messages for an endpoint are published. */
    public record BrokerRoute(Login login, String exchange, String routingKey) {}

    /**
     * A listener for AMQP clients.
     *
     * @param name the journal refers to the listener by it
     * @param exchange the exchange that clients publish to
     * @param user null where clients need no login; so is {@code password} then
     * @param replyHoldMicros how long a completion waits for a consumer of its reply queue
     */
    public record AmqpListenerOptions(
            String name,
            InetSocketAddress listenAddress,
            String exchange,
            String user,
            String password,
            int heartbeatSeconds,
            int maxChannels,
            int maxFrameBytes,
            long replyHoldMicros) {}

    /**
     * A queue to consume messages from.
     *
     * @param name the journal refers to the consumer by it
     * @param prefetch how many deliveries may be unacknowledged
     * @param autoAcknowledge whether the broker forgets deliveries at once, so that a rejected one is lost
     * @param completionReplies which completions are replied: {@code asked}, {@code always} or {@code never}
     * @param replyQueue the queue for replies to messages that name none; may be null
     */
    public record AmqpConsumerOptions(
            String name,
            InetSocketAddress address,
            Login login,
            String queue,
            int prefetch,
            boolean autoAcknowledge,
            String completionReplies,
            String replyQueue) {}

    /**
     * Where a message's parts are found in an AMQP message; each is the text form of a
     * {@code loftflow.amqp.mapping.ValueSource}.
     *
     * @param contentType the content type that the rule is for; null for any
     * @param tenant may be null
     * @param key may be null
     * @param timeBudget may be null
     */
    public record MappingRule(
            String contentType,
            String messageId,
            String requestClass,
            String tenant,
            String key,
            String destination,
            String timeBudget) {}

    /**
     * HTTP/2.
     *
     * @param maxStreams how many streams the connections of one listener may have open together
     * @param bodyBufferBytes buffer capacity for incomplete bodies, for each listener
     */
    public record Http2(List<Http2ListenerOptions> listeners, int maxStreams, long bodyBufferBytes) {}

    /**
     * A listener for HTTP/2 clients.
     *
     * @param receiveWindowBytes the receive window of a connection
     * @param idleTimeoutMicros a connection with no stream is closed after this time
     * @param maxConnectionAgeMicros a connection is closed after this time; 0 for any age
     * @param stallTimeoutMicros a connection is closed when its client reads nothing for this time
     * @param maxResetsPerSecond how many RST_STREAM frames a connection may send
     * @param drainTimeoutMicros how long the last responses may take once a connection closes
     */
    public record Http2ListenerOptions(
            InetSocketAddress listenAddress,
            int maxStreamsPerConnection,
            int maxHeaderListBytes,
            int receiveWindowBytes,
            long idleTimeoutMicros,
            long maxConnectionAgeMicros,
            long stallTimeoutMicros,
            double maxResetsPerSecond,
            long drainTimeoutMicros) {}

    /** A setting that is missing or invalid; the message is for operators. */
    public static final class BadConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        public BadConfigException(String message) {
            super(message);
        }
    }

    /** A file that holds a configuration and may be replaced while the relay runs. */
    public interface Source {
        /** Reads and validates the whole configuration. */
        Config read() throws BadConfigException;

        /** Reads the file's content, to detect whether it has changed. */
        byte[] bytes() throws IOException, BadConfigException;
    }

    /** The same configuration with a warm start. */
    Config withWarmStart(WarmStartConfig enabledWarmStart) {
        return new Config(
                listenAddresses,
                discoveryAddress,
                completionAddress,
                stateDirectory,
                maxClientConnections,
                maxUpstreamConnections,
                diskBytes,
                settings,
                roundPeriodMicros,
                upstreamIdleTimeoutMicros,
                isLoadReportEnabled,
                knownListKind,
                knownListVersion,
                knownEndpoints,
                deadLetters,
                amqp,
                http2,
                enabledWarmStart,
                sourceBytes);
    }
}
