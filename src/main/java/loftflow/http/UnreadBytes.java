package loftflow.http;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/** Reads bytes that arrived on a connection after the current event-loop pass read its sockets. */
public final class UnreadBytes {
    private UnreadBytes() {}

    /**
     * Reads the bytes that have arrived, if any, so that a decision to time out or to close takes them into account. To
     * be called on the connection's event loop; the connection's handlers run before this method returns.
     */
    public static void read(Channel connection) {
        // Reading from a connection that is not yet established would close it.
        if (connection.isActive()) {
            ((AbstractNioChannel.NioUnsafe) connection.unsafe()).read();
        }
    }
}
