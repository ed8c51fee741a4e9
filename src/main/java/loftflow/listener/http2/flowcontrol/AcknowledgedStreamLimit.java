package loftflow.listener.http2.flowcontrol;

import java.util.ArrayDeque;

/**
 * Tracks which limit on open streams the client of a connection has acknowledged. Until it acknowledges a lower limit,
 * it may use the previous, higher one (RFC 9113, sections 6.5.3 and 5.1.2).
 */
public final class AcknowledgedStreamLimit {
    private final ArrayDeque<Integer> unacknowledged = new ArrayDeque<>();
    private int acknowledged = Integer.MAX_VALUE;
    private int lastSent;

    /** Creates a tracker with the limit in the first SETTINGS. Until their acknowledgement, streams are not limited. */
    public AcknowledgedStreamLimit(int initialLimit) {
        onSettingsSent(initialLimit);
    }

    /** Records that SETTINGS with another limit have been sent. */
    public void onSettingsSent(int limit) {
        unacknowledged.add(limit);
        lastSent = limit;
    }

    /** Records that the client has acknowledged the oldest unacknowledged SETTINGS. */
    public void onSettingsAcknowledged() {
        Integer next = unacknowledged.poll();
        acknowledged = next == null ? acknowledged : next;
    }

    /** Returns the limit that was sent last. */
    public int lastSent() {
        return lastSent;
    }

    /** Returns whether the client may open another stream in addition to a number of open ones. */
    public boolean allowsNewStream(int openStreams) {
        return openStreams < acknowledged;
    }
}
