package loftflow.server;

import io.netty.channel.ChannelFuture;
import loftflow.log.Log;

/** Waits until listeners are bound and logs their addresses. */
final class ListenerBinding {
    private ListenerBinding() {}

    /**
     * Waits until a listener is bound and logs its address. The line tells operators and tests that the relay
     * serves. A failure to bind is rethrown unchanged, even if it is a checked exception.
     *
     * @param event {@code serving on}, or the same phrase with the name of a protocol
     * @throws InterruptedException if the thread is interrupted
     */
    static void awaitAndLog(ChannelFuture binding, String event) throws InterruptedException {
        Log.essentialLine("server: " + event + " " + binding.sync().channel().localAddress());
    }
}
