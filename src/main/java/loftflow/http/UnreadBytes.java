package loftflow.http;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/** Bytes that have come on a connection and that the pass of the loop has not read. */
public final class UnreadBytes {
    private UnreadBytes() {}

    /**
     * Reads them, if any; on the connection's loop. Guards against a decision by what is known, such as to give up or
     * to close,
     * while what would change it has come since the pass looked at its sockets.
     */
    public static void read(Channel connection) {
        // Guards against a connection that is still coming up: to read from it ends it.
        if (connection.isActive()) {
            ((AbstractNioChannel.NioUnsafe) connection.unsafe()).read();
        }
    }
}
