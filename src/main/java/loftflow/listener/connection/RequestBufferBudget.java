package loftflow.listener.connection;

/** Limits the memory for partly received requests of a listener. It counts bytes and allocates no buffers. */
public final class RequestBufferBudget {
    /** The maximum number of reserved bytes of all requests together. */
    private static final int MAX_RESERVED_BYTES = 4 << 20;
    /** The maximum size of requests that are admitted even if the budget is exhausted. */
    public static final int GUARANTEED_REQUEST_BYTES = 4 << 10;

    private int reservedBytes;

    /**
     * Reserves more bytes for a request.
     *
     * @param requestBytes the size of the request including these bytes
     * @return false if the budget is exhausted and the request exceeds {@link #GUARANTEED_REQUEST_BYTES}
     */
    public boolean tryReserve(int bytes, int requestBytes) {
        if (reservedBytes + bytes > MAX_RESERVED_BYTES && requestBytes > GUARANTEED_REQUEST_BYTES) {
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
