package loftflow.deduplication;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which ids were taken on within a span. Free of clocks and files; times are microseconds of the caller's clock. It
 * never forgets an id before its span is over: where it is full, it says so, and the caller takes nothing on.
 */
public final class DeduplicationWindow {
    private final long span;
    private final int most;
    private final Map<String, Long> seen = new LinkedHashMap<>();

    /** Remembers up to {@code most} ids, each for {@code span} microseconds. */
    public DeduplicationWindow(long span, int most) {
        this.span = span;
        this.most = most;
    }

    /** True where an id was taken on, and its span is not over. */
    public boolean contains(String id, long now) {
        Long at = seen.get(id);
        return at != null && now - at <= span;
    }

    /** True where one more can be remembered. */
    public boolean hasRoom(long now) {
        forget(now);
        return seen.size() < most;
    }

    /** Remembers an id that is taken on. */
    public void add(String id, long now) {
        forget(now);
        // Guards against the place of an id that is over and comes again: the oldest stay first.
        seen.remove(id);
        seen.put(id, now);
    }

    private void forget(long now) {
        Iterator<Long> times = seen.values().iterator();
        while (times.hasNext() && now - times.next() > span) {
            times.remove();
        }
    }

    /** How many ids there are. */
    public int size() {
        return seen.size();
    }

    /** Every id that is remembered with its time, the oldest first. */
    Map<String, Long> all() {
        return seen;
    }
}
