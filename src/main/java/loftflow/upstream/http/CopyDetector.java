package loftflow.upstream.http;

import java.util.HashSet;
import java.util.Set;

/** Recognizes copies of earlier responses on one connection by their fingerprints. Not thread-safe. */
final class CopyDetector {
    /** A copy of a response that has so many behind it is not recognized. */
    private static final int MAX_REMEMBERED_RESPONSES = 1024;

    private final ResponseVariety variety;
    private final RecentFingerprints received = new RecentFingerprints(MAX_REMEMBERED_RESPONSES);
    /** The statuses of responses that rejected a call. */
    private final Set<Integer> rejections = new HashSet<>();
    /** The status of a copy behind which no response has been received; 0 for none. */
    private int unconfirmedStatus;

    /**
     * Creates a detector for a connection without responses.
     *
     * @param variety what is known of the responses of the host
     */
    CopyDetector(ResponseVariety variety) {
        this.variety = variety;
    }

    /** Returns whether any response has been received. */
    boolean hasReceived() {
        return !received.isEmpty();
    }

    /** Returns whether a response equals an earlier one on the connection. */
    boolean isRepeated(long fingerprint) {
        return received.contains(fingerprint);
    }

    /** Returns whether a response with the given status that has not been received whole may turn out to be a copy. */
    boolean canRecognize(int status) {
        return hasReceived() && variety.isDistinct(status);
    }

    /** Returns whether a response is a copy: it equals an earlier one, although the host's responses differ. */
    boolean isCopy(int status, long fingerprint) {
        return isRepeated(fingerprint) && variety.isDistinct(status);
    }

    /** Called when a response was ignored as a copy. */
    void onCopyIgnored(int status) {
        unconfirmedStatus = status;
    }

    /**
     * Called when a response was taken as the one to its call.
     *
     * @param isSingleMessage whether the call carried one message; responses to others say nothing of those
     */
    void onResponse(int status, long fingerprint, boolean isSingleMessage) {
        if (unconfirmedStatus != 0) {
            unconfirmedStatus = 0;
            variety.onCopyConfirmed();
        }
        if (!received.add(fingerprint)) {
            return;
        }
        if (isSingleMessage) {
            variety.onNewOnConnection(status, fingerprint);
        }
    }

    /** Called when a response let the messages of its call be sent again. */
    void onRejection(int status) {
        rejections.add(status);
    }

    /** Returns whether the next rejection will probably equal an earlier one, and so may be a copy of it. */
    boolean mayRepeatRejection() {
        return rejections.stream().anyMatch(variety::isConstant);
    }

    /** Called when the connection has ended. */
    void onEnd() {
        if (unconfirmedStatus != 0) {
            variety.onCopyUnconfirmed(unconfirmedStatus);
        }
    }
}
