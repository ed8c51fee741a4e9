package loftflow.policy;

import java.util.ArrayDeque;

/**
 * The messages of one ordering key in the order accepted, until each is settled: finished, with its completion
 * acknowledged.
 */
final class KeyQueue {
    final ArrayDeque<PendingMessage> messages = new ArrayDeque<>();
    /** No message of the key is begun before this. */
    long pausedUntilMicros;
}
