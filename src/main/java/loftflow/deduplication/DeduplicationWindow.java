package loftflow.deduplication;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The message ids accepted within a time window, without a clock or a file of its own; times are microseconds of the
 * caller's clock. An id is never evicted before its window has passed: a full window reports that it has no capacity,
 * and the caller accepts nothing more.
 */
public final class DeduplicationWindow {
    private final long windowMicros;
    private final int capacity;
    /** When each id was accepted, the earliest first. */
    private final Map<String, Long> acceptedAt = new LinkedHashMap<>();

    /**
     * An empty window.
     *
     * @param windowMicros for how long an id is retained
     * @param capacity how many ids are retained at most
     */
    public DeduplicationWindow(long windowMicros, int capacity) {
        this.windowMicros = windowMicros;
        this.capacity = capacity;
    }

    /** True where an id was accepted no longer ago than the window. */
    public boolean contains(String id, long nowMicros) {
        Long at = acceptedAt.get(id);
        return at != null && nowMicros - at <= windowMicros;
    }

    /** True where one more id can be retained. */
    public boolean hasCapacity(long nowMicros) {
        evictExpired(nowMicros);
        return acceptedAt.size() < capacity;
    }

    /** Retains an accepted id, from now on where it is retained already. */
    public void add(String id, long nowMicros) {
        evictExpired(nowMicros);
        // A key that is put again would retain its position in the map, and the earliest id must stay first.
        acceptedAt.remove(id);
        acceptedAt.put(id, nowMicros);
    }

    private void evictExpired(long nowMicros) {
        Iterator<Long> times = acceptedAt.values().iterator();
        while (times.hasNext() && nowMicros - times.next() > windowMicros) {
            times.remove();
        }
    }

    /** How many ids are retained. */
    public int size() {
        return acceptedAt.size();
    }

    /** Every retained id with the time at which it was accepted, the earliest first. */
    Map<String, Long> all() {
        return acceptedAt;
    }
}
