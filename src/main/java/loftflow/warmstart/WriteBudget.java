package loftflow.warmstart;

/**
 * Token bucket that bounds how many bytes are written: over any interval no more than {@link #burstBytes} plus the rate
 * for each second of it. A part of the bucket is reserved for deltas, so that a snapshot never prevents a drain from
 * being recorded. Times are in microseconds.
 */
public final class WriteBudget {
    private static final long MICROS_PER_SECOND = 1_000_000;
    /** The bucket holds what the rate allows in this many seconds. */
    private static final long BURST_SECONDS = 60;
    /** One part in so many of the bucket is reserved for deltas. */
    private static final long RESERVE_DIVISOR = 4;

    private final long bytesPerSecond;
    private long availableBytes;
    private long refilledAtMicros;

    /**
     * A bucket that starts with the reserve for deltas and what the time since the last write has refilled, so that a
     * sequence of restarts writes no more than one process would.
     *
     * @param idleMicros time since something was last written
     */
    public WriteBudget(long bytesPerSecond, long idleMicros, long nowMicros) {
        this.bytesPerSecond = bytesPerSecond;
        availableBytes = reserveBytes();
        refilledAtMicros = nowMicros - Math.min(idleMicros, BURST_SECONDS * MICROS_PER_SECOND);
        refill(nowMicros);
    }

    /** The capacity of the bucket. */
    public long burstBytes() {
        return bytesPerSecond * BURST_SECONDS;
    }

    /** Size of the largest snapshot that can ever be written. */
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
            // Advances by the time of whole bytes only: fractions of a byte count at the next call.
            refilledAtMicros += refillBytes * MICROS_PER_SECOND / bytesPerSecond;
        }
    }

    /** True where a snapshot of this size may be written now. */
    public boolean allowsSnapshot(long bytes, long nowMicros) {
        refill(nowMicros);
        return availableBytes - bytes >= reserveBytes();
    }

    /** Takes the bytes of a snapshot; false, and nothing is taken, where they may not be written now. */
    public boolean tryTakeSnapshot(long bytes, long nowMicros) {
        if (!allowsSnapshot(bytes, nowMicros)) {
            return false;
        }
        availableBytes -= bytes;
        return true;
    }

    /**
     * Takes the bytes of deltas, from the reserve too; false, and nothing is taken, where they may not be written now.
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
