package loftflow.warmstart;

/**
 * How much may be written: in any span no more than {@link #burst} and {@code rate} for each second of it. A part is
 * set
 * by for notes, so that a picture never keeps a drain from being noted. Bytes and microseconds.
 */
public final class WriteBudget {
    private static final long SECOND = 1_000_000;
    /** What may be written at once is what the rate allows in so many seconds. */
    private static final long BURST_SPAN = 60;

    private static final long RESERVE_PART = 4;

    private final long rate;
    private long left;
    private long at;

    /**
     * A budget that begins with what notes need and what a rest has earned, so that starts one after the other write no
     * more than one process would.
     *
     * @param rate bytes a second
     * @param rest microseconds since something was last written
     */
    public WriteBudget(long rate, long rest, long now) {
        this.rate = rate;
        left = reserve();
        at = now - Math.min(rest, BURST_SPAN * SECOND);
        refill(now);
    }

    /** Bytes that may be written at once after a rest. */
    public long burst() {
        return rate * BURST_SPAN;
    }

    /** The largest picture that can ever be written. */
    public long largestPicture() {
        return burst() - reserve();
    }

    private long reserve() {
        return burst() / RESERVE_PART;
    }

    private void refill(long now) {
        // Guards against parts of a byte that would get lost at each of many calls.
        long earned = Math.max(0, now - at) * rate / SECOND;
        if (earned >= burst() - left) {
            left = burst();
            at = now;
        } else if (earned > 0) {
            left += earned;
            at += earned * SECOND / rate;
        }
    }

    /** True where a picture of so many bytes may be written now. */
    public boolean allowsPicture(long bytes, long now) {
        refill(now);
        return left - bytes >= reserve();
    }

    /** Takes bytes for a picture; false where they may not be written now. */
    public boolean takePicture(long bytes, long now) {
        if (!allowsPicture(bytes, now)) {
            return false;
        }
        left -= bytes;
        return true;
    }

    /** Takes bytes for notes; false where they may not be written now. */
    public boolean takeNotes(long bytes, long now) {
        refill(now);
        if (left < bytes) {
            return false;
        }
        left -= bytes;
        return true;
    }
}
