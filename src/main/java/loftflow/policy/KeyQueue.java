package loftflow.policy;

import java.util.ArrayDeque;

/** The requests of one key in the order accepted. */
final class KeyQueue {
    final ArrayDeque<PendingMessage> requests = new ArrayDeque<>();
    long restUntil;
}
