package loftflow.policy;

import java.util.ArrayDeque;

/**
 * The messages of one ordering key in the order accepted, until each is settled, that is, finished with its completion
 * acknowledged.
 */
final class KeyQueue {
    final ArrayDeque<PendingMessage> messages = new ArrayDeque<>();
    /** Earliest time for the first attempt of a message of this key. */
    long pausedUntilMicros;
}
