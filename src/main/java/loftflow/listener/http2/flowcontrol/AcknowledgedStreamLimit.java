package loftflow.listener.http2.flowcontrol;

import java.util.ArrayDeque;

/**
 * The limit on the open streams of one connection that its client has acknowledged. Until the client acknowledges a
 * lower limit, it may use the higher one (RFC 9113, sections 6.5.3 and 5.1.2).
 */
public final class AcknowledgedStreamLimit {
    private final ArrayDeque<Integer> unacknowledged = new ArrayDeque<>();
    private int acknowledged = Integer.MAX_VALUE;
    private int lastSent;

    /** Starts with the limit in the first SETTINGS; until they are acknowledged, any number of streams is allowed. */
    public AcknowledgedStreamLimit(int initialLimit) {
        onSettingsSent(initialLimit);
    }

    /** SETTINGS with another limit have been sent. */
    public void onSettingsSent(int limit) {
        unacknowledged.add(limit);
        lastSent = limit;
    }

    /** The client has acknowledged the oldest SETTINGS that it had not acknowledged. */
    public void onSettingsAcknowledged() {
        Integer next = unacknowledged.poll();
        acknowledged = next == null ? acknowledged : next;
    }

    /** The limit that was sent last. */
    public int lastSent() {
        return lastSent;
    }

    /** Returns true where one more stream may be opened in addition to those that are open. */
    public boolean allowsNewStream(int openStreams) {
        return openStreams < acknowledged;
    }
}
