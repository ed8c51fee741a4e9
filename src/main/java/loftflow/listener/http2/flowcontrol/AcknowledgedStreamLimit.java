package loftflow.listener.http2.flowcontrol;

import java.util.ArrayDeque;

/**
 * How many streams a connection may have open: what it was offered and has acknowledged. One that has not heard yet of
 * a
 * smaller offer may still use the larger one (RFC 9113, 6.5.3 and 5.1.2).
 */
public final class AcknowledgedStreamLimit {
    private final ArrayDeque<Integer> unheard = new ArrayDeque<>();
    private int heard = Integer.MAX_VALUE;
    private int last;

    /** A connection whose first SETTINGS offer so many; until it has heard it may open any number. */
    public AcknowledgedStreamLimit(int first) {
        offer(first);
    }

    /** SETTINGS with another offer are on their way. */
    public void offer(int streams) {
        unheard.add(streams);
        last = streams;
    }

    /** The oldest SETTINGS that were not acknowledged yet are. */
    public void acknowledged() {
        Integer next = unheard.poll();
        heard = next == null ? heard : next;
    }

    /** What was offered last. */
    public int last() {
        return last;
    }

    /** True where one more stream may be opened beside so many. */
    public boolean allows(int open) {
        return open < heard;
    }
}
