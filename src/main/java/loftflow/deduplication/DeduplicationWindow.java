package loftflow.deduplication;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Retains the message ids accepted within a time window. Uses no clock or file; times are in microseconds of the
 * caller's clock. An id is never evicted before its window has passed: a full window reports that it has no capacity,
 * and the caller must then accept no further ids.
 */
public final class DeduplicationWindow {
    private final long windowMicros;
    private final int capacity;
    /** Acceptance time of each retained id, earliest first. */
    private final Map<String, Long> acceptedAtMicros = new LinkedHashMap<>();

    /**
     * Creates an empty window.
     *
     * @param windowMicros how long an id is retained, in microseconds
     * @param capacity maximum number of retained ids
     */
    public DeduplicationWindow(long windowMicros, int capacity) {
        this.windowMicros = windowMicros;
        this.capacity = capacity;
    }

    /** Returns true if the id was accepted within the window. */
    public boolean contains(String id, long nowMicros) {
        Long idMicros = acceptedAtMicros.get(id);
        return idMicros != null && nowMicros - idMicros <= windowMicros;
    }

    /** Returns true if one more id can be retained. Evicts expired ids. */
    public boolean hasCapacity(long nowMicros) {
        evictExpired(nowMicros);
        return acceptedAtMicros.size() < capacity;
    }

    /** Retains an accepted id. If it is already retained, its window starts again. */
    public void add(String id, long nowMicros) {
        evictExpired(nowMicros);
        // Removes the id first: putting an existing key would retain its position, but the map must be ordered by time.
        acceptedAtMicros.remove(id);
        acceptedAtMicros.put(id, nowMicros);
    }

    private void evictExpired(long nowMicros) {
        Iterator<Long> times = acceptedAtMicros.values().iterator();
        while (times.hasNext() && nowMicros - times.next() > windowMicros) {
            times.remove();
        }
    }

    /** Returns the number of retained ids. */
    public int size() {
        return acceptedAtMicros.size();
    }

    /** Returns all retained ids with their acceptance times in microseconds, earliest first. */
    Map<String, Long> entries() {
        return acceptedAtMicros;
    }
}
