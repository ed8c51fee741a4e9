package loftflow.warmstart;

/**
 * Token bucket that limits the bytes written in any interval to {@link #burstBytes} plus the rate times the length of
 * the interval. A part of the bucket is reserved for deltas, so that a snapshot never prevents a drain from being
 * recorded. Times are in microseconds.
 */
public final class WriteBudget {
    private static final long MICROS_PER_SECOND = 1_000_000;
    /** Capacity of the bucket, in seconds at the rate. */
    private static final long BURST_SECONDS = 60;
    /** Divisor of the bucket's capacity that gives the reserve for deltas. */
    private static final long RESERVE_DIVISOR = 4;

    private final long bytesPerSecond;
    private long availableBytes;
    private long refilledAtMicros;

    /**
     * Creates a bucket that holds the reserve for deltas and the refill for the time since the last write, so that a
     * sequence of restarts writes no more than a single process.
     *
     * @param idleMicros time since the last write
     */
    public WriteBudget(long bytesPerSecond, long idleMicros, long nowMicros) {
        this.bytesPerSecond = bytesPerSecond;
        availableBytes = reserveBytes();
        refilledAtMicros = nowMicros - Math.min(idleMicros, BURST_SECONDS * MICROS_PER_SECOND);
        refill(nowMicros);
    }

    /** Returns the capacity of the bucket. */
    public long burstBytes() {
        return bytesPerSecond * BURST_SECONDS;
    }

    /** Returns the size of the largest snapshot that the budget can ever allow. */
    public long maxSnapshotBytes() {
        return burstBytes() - reserveBytes();
    }

    private long reserveBytes() {
        return burstBytes() / RESERVE_DIVISOR;
    }

    private void refill(long nowMicros) {
        long refillBytes = Math.max(0, nowMicros - refilledAtMicros) * bytesPerSecond / MICROS_PER_SECOND;
        if (refillBytes >= burstBytes() - availableBytes) {
            availableBytes = burstBytes();
            refilledAtMicros = nowMicros;
        } else if (refillBytes > 0) {
            availableBytes += refillBytes;
            // Advances by the time of whole bytes only, so that the fraction of a byte carries over to the next call.
            refilledAtMicros += refillBytes * MICROS_PER_SECOND / bytesPerSecond;
        }
    }

    /** Returns true if a snapshot of this size may be written now. */
    public boolean allowsSnapshot(long bytes, long nowMicros) {
        refill(nowMicros);
        return availableBytes - bytes >= reserveBytes();
    }

    /** Takes the bytes of a snapshot from the budget. Returns false and takes nothing if too few are available. */
    public boolean tryTakeSnapshot(long bytes, long nowMicros) {
        if (!allowsSnapshot(bytes, nowMicros)) {
            return false;
        }
        availableBytes -= bytes;
        return true;
    }

    /**
     * Takes the bytes of deltas from the budget, including the reserve. Returns false and takes nothing if too few
     * are available.
     */
    public boolean tryTakeDeltas(long bytes, long nowMicros) {
        refill(nowMicros);
        if (availableBytes < bytes) {
            return false;
        }
        availableBytes -= bytes;
        return true;
    }
}
