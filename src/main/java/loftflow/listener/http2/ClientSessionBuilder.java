package loftflow.listener.http2;

import io.netty.channel.Channel;
import io.netty.handler.codec.http2.AbstractHttp2ConnectionHandlerBuilder;
import io.netty.handler.codec.http2.DefaultHttp2Connection;
import io.netty.handler.codec.http2.DefaultHttp2RemoteFlowController;
import io.netty.handler.codec.http2.Http2Connection;
import io.netty.handler.codec.http2.Http2ConnectionDecoder;
import io.netty.handler.codec.http2.Http2ConnectionEncoder;
import io.netty.handler.codec.http2.Http2EventAdapter;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.UniformStreamByteDistributor;
import loftflow.engine.Clock;
import loftflow.engine.MessageAcceptor;

/**
 * Builds client sessions. Disables those of Netty's limits that {@code listener.http2.flowcontrol} replaces, and keeps
 * the others.
 */
final class ClientSessionBuilder extends AbstractHttp2ConnectionHandlerBuilder<ClientSession, ClientSessionBuilder> {
    private static final int MAX_SMALL_CONTINUATION_FRAMES = 10;
    private static final int MAX_QUEUED_CONTROL_FRAMES = 2_000;

    private final Http2Listener listener;
    private final MessageAcceptor messageAcceptor;
    private final Clock clock;
    private final Channel channel;
    private final double ageJitter;

    /**
     * Prepares the session of a channel.
     *
     * @param ageJitter how far the maximum age of the connection is shortened, from 0 to 1
     */
    ClientSessionBuilder(
            Http2Listener listener, MessageAcceptor messageAcceptor, Clock clock, Channel channel, double ageJitter) {
        this.listener = listener;
        this.messageAcceptor = messageAcceptor;
        this.clock = clock;
        this.channel = channel;
        this.ageJitter = ageJitter;
        Http2Connection connection = new DefaultHttp2Connection(true, 0);
        // Responses have no DATA, so the simplest distribution of bytes to streams is sufficient.
        connection
                .remote()
                .flowController(
                        new DefaultHttp2RemoteFlowController(connection, new UniformStreamByteDistributor(connection)));
        connection(connection);
        initialSettings(new Http2Settings()
                .maxConcurrentStreams(listener.streamCapacity().perConnection())
                .initialWindowSize(SessionFlowControl.INITIAL_STREAM_WINDOW_BYTES)
                .maxHeaderListSize(listener.options().maxHeaderListBytes()));
        validateRequiredPseudoHeaders(true);
        decoderEnforceMaxRstFramesPerWindow(0, 0);
        encoderEnforceMaxRstFramesPerWindow(0, 0);
        decoderEnforceMaxConsecutiveEmptyDataFrames(0);
        decoderEnforceMaxSmallContinuationFrames(MAX_SMALL_CONTINUATION_FRAMES);
        encoderEnforceMaxQueuedControlFrames(MAX_QUEUED_CONTROL_FRAMES);
        // A placeholder that the builder requires; the session installs its own listener.
        frameListener(new Http2EventAdapter());
    }

    ClientSession create() {
        return build();
    }

    @Override
    protected ClientSession build(
            Http2ConnectionDecoder decoder, Http2ConnectionEncoder encoder, Http2Settings settings) {
        return new ClientSession(decoder, encoder, settings, listener, messageAcceptor, clock, channel, ageJitter);
    }
}
