package loftflow.listener.connection;

/** The memory bound that the partly received requests of one listener share. It counts bytes and holds none. */
public final class RequestBufferPool {
    /** The bytes that the requests of one listener may reserve together. */
    private static final int MAX_POOL_BYTES = 4 << 20;
    /** A request up to this size is admitted even where the pool is exhausted. */
    public static final int GUARANTEED_REQUEST_BYTES = 4 << 10;

    private int reservedBytes;

    /**
     * Reserves more bytes for a request.
     *
     * @param requestBytes the size of the request including these bytes
     * @return false where the pool is exhausted, unless the request is small
     */
    public boolean tryReserve(int bytes, int requestBytes) {
        if (reservedBytes + bytes > MAX_POOL_BYTES && requestBytes > GUARANTEED_REQUEST_BYTES) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Releases reserved bytes. */
    public void release(int bytes) {
        reservedBytes -= bytes;
    }
}
