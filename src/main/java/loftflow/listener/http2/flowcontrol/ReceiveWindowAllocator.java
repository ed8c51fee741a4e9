package loftflow.listener.http2.flowcontrol;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Allocates receive windows from a pool of bytes, so that clients can send only what the relay can buffer. Half of the
 * pool is reserved for request classes by their shares, the rest is shared. If the pool is exhausted, a connection that
 * holds more than its fair share has to release bytes for one that holds less.
 */
public final class ReceiveWindowAllocator {
    /** The initial receive window of every connection, which is fixed (RFC 9113, section 6.9.2). */
    public static final int INITIAL_WINDOW_BYTES = 65_535;
    /** The window of a new connection takes at most the unallocated bytes divided by this number. */
    private static final int WINDOW_DIVISOR = 4;

    /** The share of the pool that is reserved for classes. */
    private static final double RESERVED_SHARE = 0.5;

    /** The bytes that one connection holds. */
    public static final class Account {
        private long heldBytes;
        private long windowBytes;

        private Account() {}

        /** Returns the bytes allocated to partly received bodies, including those that the client has not sent yet. */
        public long heldBytes() {
            return heldBytes;
        }
    }

    /** The result of a request for bytes. */
    public enum Verdict {
        /** The bytes are allocated. */
        GRANTED,
        /** The pool is exhausted, and no bytes can be reclaimed: the request waits or fails. */
        EXHAUSTED,
        /** The bytes become available once {@link #largestHolder} has released some. */
        AFTER_RECLAIM
    }

    private final long poolBytes;
    private final Map<String, Long> reservedByClass = new HashMap<>();
    private final Map<String, Long> heldByClass = new HashMap<>();
    private final Set<Account> accounts = new LinkedHashSet<>();
    private long sharedBytes;
    private long sharedHeldBytes;
    private long windowBytes;

    /**
     * Creates a pool.
     *
     * @param poolBytes the maximum number of bytes of all connections together
     * @param shares the share of each class in the reserved half, with a sum of at most 1; other classes use the shared
     *     half only
     */
    public ReceiveWindowAllocator(long poolBytes, Map<String, Double> shares) {
        this.poolBytes = poolBytes;
        sharedBytes = poolBytes;
        shares.forEach((requestClass, share) -> {
            long reservedBytes = (long) (poolBytes * RESERVED_SHARE * share);
            reservedByClass.put(requestClass, reservedBytes);
            sharedBytes -= reservedBytes;
        });
    }

    /** Opens the account of a new connection. */
    public Account openAccount() {
        Account account = new Account();
        accounts.add(account);
        return account;
    }

    /**
     * Allocates the receive window of a connection; to be called once for each.
     *
     * @param targetBytes the intended size of the whole window
     * @return the bytes to add to {@link #INITIAL_WINDOW_BYTES}
     */
    public int allocateWindow(Account account, int targetBytes) {
        long availableBytes = Math.max(0, poolBytes - windowBytes) / WINDOW_DIVISOR;
        int extraBytes = (int) Math.max(0, Math.min(targetBytes - INITIAL_WINDOW_BYTES, availableBytes));
        account.windowBytes = extraBytes;
        windowBytes += extraBytes;
        return extraBytes;
    }

    /** Closes the account of a connection. Its streams must have released their bytes. */
    public void closeAccount(Account account) {
        if (accounts.remove(account)) {
            windowBytes -= account.windowBytes;
        }
    }

    /** Allocates bytes for a message of a class; changes nothing unless they are granted. */
    public Verdict tryAllocate(Account account, String requestClass, int bytes) {
        Verdict verdict = check(account, requestClass, bytes);
        if (verdict == Verdict.GRANTED) {
            long classBytes = heldByClass.getOrDefault(requestClass, 0L);
            sharedHeldBytes +=
                    beyondReserved(requestClass, classBytes + bytes) - beyondReserved(requestClass, classBytes);
            heldByClass.put(requestClass, classBytes + bytes);
            account.heldBytes += bytes;
        }
        return verdict;
    }

    /** Returns the result that {@link #tryAllocate} would have, without allocating. */
    public Verdict check(Account account, String requestClass, int bytes) {
        long classBytes = heldByClass.getOrDefault(requestClass, 0L);
        long fromSharedBytes =
                beyondReserved(requestClass, classBytes + bytes) - beyondReserved(requestClass, classBytes);
        if (sharedHeldBytes + fromSharedBytes <= sharedBytes) {
            return Verdict.GRANTED;
        }
        Account largest = largestHolder();
        boolean canReclaim = largest != null
                && largest != account
                && largest.heldBytes > fairShareBytes()
                && account.heldBytes + bytes <= fairShareBytes();
        return canReclaim ? Verdict.AFTER_RECLAIM : Verdict.EXHAUSTED;
    }

    /** Returns the part of a class's bytes that exceeds its reservation and is taken from the shared half. */
    private long beyondReserved(String requestClass, long bytes) {
        return Math.max(0, bytes - reservedByClass.getOrDefault(requestClass, 0L));
    }

    /** Releases bytes of a message of a class. */
    public void release(Account account, String requestClass, int bytes) {
        long classBytes = heldByClass.getOrDefault(requestClass, 0L);
        sharedHeldBytes -= beyondReserved(requestClass, classBytes) - beyondReserved(requestClass, classBytes - bytes);
        if (classBytes == bytes) {
            heldByClass.remove(requestClass);
        } else {
            heldByClass.put(requestClass, classBytes - bytes);
        }
        account.heldBytes -= bytes;
    }

    /** Returns the account of the connection that holds the most bytes; null if there is no connection. */
    public Account largestHolder() {
        Account largest = null;
        for (Account account : accounts) {
            if (largest == null || account.heldBytes > largest.heldBytes) {
                largest = account;
            }
        }
        return largest;
    }

    /** Returns the bytes that a connection may hold while others request bytes: an equal part of the shared half. */
    private long fairShareBytes() {
        return sharedBytes / Math.max(1, accounts.size());
    }

    /** Returns the bytes that all connections hold together. */
    public long heldBytes() {
        return heldByClass.values().stream().mapToLong(Long::longValue).sum();
    }
}
