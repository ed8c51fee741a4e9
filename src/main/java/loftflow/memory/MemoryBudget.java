package loftflow.memory;

/**
 * A limit on the heap memory that several holders use together. Sizes are bytes of heap, not of what a peer has sent: a
 * holder adds what its objects need. It counts bytes and allocates nothing. Not thread-safe.
 */
public final class MemoryBudget {
    private final long capacityBytes;
    private final int guaranteedBytes;
    private long heldBytes;

    /**
     * Creates a budget of which nothing is held.
     *
     * @param guaranteedBytes what each holder may hold even if the others have used up the capacity
     */
    public MemoryBudget(long capacityBytes, int guaranteedBytes) {
        this.capacityBytes = capacityBytes;
        this.guaranteedBytes = guaranteedBytes;
    }

    /** Returns a holder that holds nothing. */
    public Account openAccount() {
        return new Account();
    }

    /** Returns how many bytes are held by all holders together. */
    public long heldBytes() {
        return heldBytes;
    }

    /** Returns how many bytes may be held by all holders together, beside what each is guaranteed. */
    public long capacityBytes() {
        return capacityBytes;
    }

    /** What one holder holds. */
    public final class Account {
        private long bytes;

        private Account() {}

        /**
         * Changes what is held to a total of so many bytes. Nothing changes if that is more than before, exceeds the
         * guaranteed bytes and exceeds the capacity.
         *
         * @return whether the bytes may be held
         */
        public boolean tryHold(long totalBytes) {
            long addedBytes = totalBytes - bytes;
            boolean isExceeded = heldBytes + addedBytes > capacityBytes;
            if (addedBytes > 0 && totalBytes > guaranteedBytes && isExceeded) {
                return false;
            }
            hold(totalBytes);
            return true;
        }

        /** Changes what is held to a total of so many bytes, whatever the capacity. */
        public void hold(long totalBytes) {
            heldBytes += totalBytes - bytes;
            bytes = totalBytes;
        }

        /** Releases everything. */
        public void release() {
            hold(0);
        }
    }
}
