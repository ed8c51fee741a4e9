package loftflow.listener.connection;

import java.util.concurrent.Executor;

/**
 * Bounds what one pass of the event loop reads of all connections together: many connections that send without a pause
 * get smaller reads, so that a pass stays short and the requests of others are read in time. To be used on the event
 * loop.
 */
public final class ReadShare {
    /** A pass reads so much at most, unless the smallest reads of all connections are more. */
    private static final int MAX_BYTES_PER_PASS = 128 << 10;
    /** Most requests are smaller. */
    private static final int MIN_BYTES_PER_READ = 512;

    private final Executor eventLoop;
    private final int maxBytesPerRead;
    private int readsInPass;
    private int bytesPerRead;

    /**
     * Creates the share of a listener.
     *
     * @param eventLoop runs a task behind the reads of the current pass
     * @param maxBytesPerRead what a pass reads of one connection while few connections have bytes
     */
    public ReadShare(Executor eventLoop, int maxBytesPerRead) {
        this.eventLoop = eventLoop;
        this.maxBytesPerRead = maxBytesPerRead;
        bytesPerRead = maxBytesPerRead;
    }

    /** Called when bytes of a connection have been read. */
    public void onRead() {
        readsInPass++;
        if (readsInPass == 1) {
            eventLoop.execute(this::endPass);
        }
    }

    private void endPass() {
        int evenBytes = MAX_BYTES_PER_PASS / readsInPass;
        bytesPerRead = Math.min(maxBytesPerRead, Math.max(MIN_BYTES_PER_READ, evenBytes));
        readsInPass = 0;
    }

    /** Returns how many bytes may be read of a connection at once. */
    public int bytesPerRead() {
        return bytesPerRead;
    }
}
