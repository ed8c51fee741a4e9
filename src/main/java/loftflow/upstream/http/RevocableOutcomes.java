package loftflow.upstream.http;

import java.util.ArrayList;
import java.util.List;
import loftflow.engine.Message;

/**
 * The outcomes of one call that what follows its response on the connection can contradict: the attempts that a status
 * ended without naming them, and those that were reported as not executed. Not thread-safe.
 */
final class RevocableOutcomes {
    private List<Message.Attempt> endedByStatus = List.of();
    private final List<Message.Attempt> rejected = new ArrayList<>();

    /** Called when a status alone has ended attempts as delivered or as not executed. */
    void onEndedByStatus(List<Message.Attempt> attempts) {
        endedByStatus = List.copyOf(attempts);
    }

    /** Called when a response has ended attempts as not executed, by its status or by naming them. */
    void onRejected(List<Message.Attempt> attempts) {
        rejected.addAll(attempts);
    }

    /** Returns whether a status alone has ended attempts as delivered or as not executed. */
    boolean isEndedByStatus() {
        return !endedByStatus.isEmpty();
    }

    /** Returns the attempts that were ended as not executed, and forgets that they were. */
    List<Message.Attempt> takeRejected() {
        List<Message.Attempt> taken = List.copyOf(rejected);
        rejected.clear();
        endedByStatus = endedByStatus.stream()
                .filter(attempt -> !taken.contains(attempt))
                .toList();
        return taken;
    }

    /** Returns the attempts that a status alone has ended, and forgets their outcomes. */
    List<Message.Attempt> takeEndedByStatus() {
        List<Message.Attempt> taken = endedByStatus;
        endedByStatus = List.of();
        rejected.removeAll(taken);
        return taken;
    }
}
