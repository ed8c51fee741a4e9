package loftflow.http;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/** Bytes that have arrived on a connection since the current event-loop pass read its sockets. */
public final class UnreadBytes {
    private UnreadBytes() {}

    /**
     * Reads them, if any, so that a decision to time out or to close takes them into account. To be called on the
     * connection's event loop; its handlers run before this returns.
     */
    public static void read(Channel connection) {
        // Reading from a connection that is not established yet would close it.
        if (connection.isActive()) {
            ((AbstractNioChannel.NioUnsafe) connection.unsafe()).read();
        }
    }
}
