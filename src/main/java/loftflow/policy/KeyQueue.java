package loftflow.policy;

import java.util.ArrayDeque;

/** The unfinished messages of one ordering key, in the order accepted. */
final class KeyQueue {
    final ArrayDeque<PendingMessage> messages = new ArrayDeque<>();
    /** No message of the key is begun before this. */
    long pausedUntilMicros;
}
