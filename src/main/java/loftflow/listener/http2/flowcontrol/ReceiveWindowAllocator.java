package loftflow.listener.http2.flowcontrol;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Who may have how many bytes half read. Receive windows are handed out only for what may be buffered: half of the
 * front's
 * pool belongs to classes by share, the other half is common. Where it is full, the connection that holds more than its
 * fair
 * share gives way to one that holds less, so that nobody takes what belongs to others.
 */
public final class ReceiveWindowAllocator {
    /** Every connection starts with that by RFC 9113, 6.9.2; it can't be less. */
    public static final int BASE_WINDOW = 65_535;
    /** A connection gets such a part of what is left of the pool at the most. */
    private static final int WINDOW_PART = 4;

    private static final double OWN_PART = 0.5;

    /** What one connection holds. */
    public static final class Account {
        private long held;
        private long window;

        private Account() {}

        /** Bytes that it holds, half read or promised. */
        public long held() {
            return held;
        }
    }

    /** What becomes of a wish. */
    public enum Verdict {
        /** It is granted. */
        GRANTED,
        /** There is no room, and nobody holds more than a fair share: it waits or is refused. */
        NO_ROOM,
        /** There is room once {@link #heaviest} has given something back. */
        OTHERS_FIRST
    }

    private final long pool;
    private final Map<String, Long> own = new HashMap<>();
    private final Map<String, Long> used = new HashMap<>();
    private final Set<Account> accounts = new LinkedHashSet<>();
    private long common;
    private long commonUsed;
    private long windows;

    /**
     * A pool.
     *
     * @param pool bytes that all connections may hold
     * @param shares of classes in the half that belongs to them, summing up to 1 at the most; others have the common
     *     half
     */
    public ReceiveWindowAllocator(long pool, Map<String, Double> shares) {
        this.pool = pool;
        common = pool;
        shares.forEach((type, share) -> {
            long bytes = (long) (pool * OWN_PART * share);
            own.put(type, bytes);
            common -= bytes;
        });
    }

    /** A connection has come. */
    public Account open() {
        Account account = new Account();
        accounts.add(account);
        return account;
    }

    /**
     * What is added to a connection's receive window beside the base that it has anyway; once for each connection.
     *
     * @param wanted the whole window that it should have if there is room
     */
    public int window(Account account, int wanted) {
        long left = Math.max(0, pool - windows) / WINDOW_PART;
        int extra = (int) Math.max(0, Math.min(wanted - BASE_WINDOW, left));
        account.window = extra;
        windows += extra;
        return extra;
    }

    /** A connection is gone, and all that it held is given back. */
    public void close(Account account) {
        if (accounts.remove(account)) {
            windows -= account.window;
        }
    }

    /** Takes bytes for a message of a class; nothing has changed where they are not granted. */
    public Verdict take(Account account, String type, int bytes) {
        Verdict verdict = verdict(account, type, bytes);
        if (verdict == Verdict.GRANTED) {
            long now = used.getOrDefault(type, 0L);
            commonUsed += beyond(type, now + bytes) - beyond(type, now);
            used.put(type, now + bytes);
            account.held += bytes;
        }
        return verdict;
    }

    /** What would become of a wish. */
    public Verdict verdict(Account account, String type, int bytes) {
        long now = used.getOrDefault(type, 0L);
        if (commonUsed + beyond(type, now + bytes) - beyond(type, now) <= common) {
            return Verdict.GRANTED;
        }
        Account heaviest = heaviest();
        boolean others =
                heaviest != null && heaviest != account && heaviest.held > fair() && account.held + bytes <= fair();
        return others ? Verdict.OTHERS_FIRST : Verdict.NO_ROOM;
    }

    private long beyond(String type, long bytes) {
        return Math.max(0, bytes - own.getOrDefault(type, 0L));
    }

    /** Gives bytes back. */
    public void give(Account account, String type, int bytes) {
        long now = used.getOrDefault(type, 0L);
        commonUsed -= beyond(type, now) - beyond(type, now - bytes);
        if (now == bytes) {
            used.remove(type);
        } else {
            used.put(type, now - bytes);
        }
        account.held -= bytes;
    }

    /** The connection that holds most; null where there is none. */
    public Account heaviest() {
        Account most = null;
        for (Account account : accounts) {
            if (most == null || account.held > most.held) {
                most = account;
            }
        }
        return most;
    }

    /** An even part of the common half: what a connection may hold while others want it. */
    private long fair() {
        return common / Math.max(1, accounts.size());
    }

    /** Bytes that all hold. */
    public long held() {
        return used.values().stream().mapToLong(Long::longValue).sum();
    }
}
