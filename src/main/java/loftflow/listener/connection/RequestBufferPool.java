package loftflow.listener.connection;

/** The memory that half-read requests of a front share. */
public final class RequestBufferPool {
    /** What the requests of one front may take together, in bytes. */
    private static final int MOST = 4 << 20;
    /** A request of so many bytes always has room. */
    public static final int ALWAYS = 4 << 10;

    private int taken;

    /** Takes bytes for a request of so many by now; false where there is no room. Small requests always have it. */
    public boolean take(int bytes, int request) {
        if (taken + bytes > MOST && request > ALWAYS) {
            return false;
        }
        taken += bytes;
        return true;
    }

    /** Gives bytes back. */
    public void give(int bytes) {
        taken -= bytes;
    }
}
