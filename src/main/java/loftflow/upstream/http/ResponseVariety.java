package loftflow.upstream.http;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Learns by status whether all responses of a host to single messages differ. If they do, a response that equals an
 * earlier one on its connection is a copy of it, and not the response to the call that awaits one. Not thread-safe.
 */
final class ResponseVariety {
    /** So many responses with a status must have differed from each other. */
    private static final int MIN_DISTINCT_RESPONSES = 4;
    /** Older responses are not compared any more. */
    private static final int MAX_REMEMBERED_RESPONSES = 256;
    /** So many presumed copies without any response behind them show that the host repeats its responses. */
    private static final int MAX_UNCONFIRMED_COPIES = 2;

    private final RecentFingerprints recent = new RecentFingerprints(MAX_REMEMBERED_RESPONSES);
    private final Map<Integer, Integer> distinctByStatus = new HashMap<>();
    private final Set<Integer> repeatedStatuses = new HashSet<>();
    private int unconfirmedCopies;
    private boolean hasConfirmedCopy;

    /** Called for a response that differs from all earlier ones on its connection. */
    void onNewOnConnection(int status, long fingerprint) {
        if (!recent.add(fingerprint)) {
            repeatedStatuses.add(status);
            return;
        }
        distinctByStatus.merge(status, 1, Integer::sum);
    }

    /** Returns whether the responses with a status have all differed. */
    boolean isDistinct(int status) {
        return distinctByStatus.getOrDefault(status, 0) >= MIN_DISTINCT_RESPONSES && !repeatedStatuses.contains(status);
    }

    /** Returns whether no two different responses with a status are known, so that the next one may equal the last. */
    boolean isConstant(int status) {
        return distinctByStatus.getOrDefault(status, 0) <= 1;
    }

    /** Called when another response followed the one that was taken for a copy. */
    void onCopyConfirmed() {
        hasConfirmedCopy = true;
    }

    /** Called when no other response followed the one with the given status that was taken for a copy. */
    void onCopyUnconfirmed(int status) {
        unconfirmedCopies++;
        if (!hasConfirmedCopy && unconfirmedCopies >= MAX_UNCONFIRMED_COPIES) {
            repeatedStatuses.add(status);
        }
    }
}
