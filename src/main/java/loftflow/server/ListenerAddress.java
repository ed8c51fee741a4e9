package loftflow.server;

import io.netty.channel.ChannelFuture;
import loftflow.log.Log;

/** Reports the addresses that listeners are bound to. */
final class ListenerAddress {
    private ListenerAddress() {}

    /**
     * Waits until a listener is bound, then logs its address, by which operators and tests know that the relay serves.
     *
     * @param event {@code serving on}, or the same with the name of a protocol
     * @throws InterruptedException where the thread is interrupted; a failure to bind is thrown as it is
     */
    static void awaitAndLog(ChannelFuture binding, String event) throws InterruptedException {
        Log.essentialLine("server: " + event + " " + binding.sync().channel().localAddress());
    }
}
