package loftflow.upstream.http;

import java.util.List;

/**
 * What casts doubt on the outcomes of the calls of one connection, and which of them are unconfirmed when it ends. Not
 * thread-safe.
 */
final class OutcomeDoubts {
    private final ResponseLedger<UpstreamCall> ledger;
    /** Whether bytes were received that belong to no call and to no complete response. */
    private boolean hasStrayBytes;
    /** Whether a batch received a response that names none of its messages, so that its own may be outstanding. */
    private boolean isOutOfStep;

    OutcomeDoubts(ResponseLedger<UpstreamCall> ledger) {
        this.ledger = ledger;
    }

    /** Called when bytes were received that belong to no call and to no complete response. */
    void onStrayBytes() {
        hasStrayBytes = true;
    }

    /** Called when a call has ended by a response; a batch by one that may name none of its messages. */
    void onResponse(UpstreamCall ended) {
        isOutOfStep |= ended.isUnnamedInBatchResponse();
    }

    /** Returns whether the own response of a batch may be outstanding, so that no other call may follow. */
    boolean isOutOfStep() {
        return isOutOfStep;
    }

    /**
     * Returns the calls whose own response may have been cut off by the end of the connection, each once.
     *
     * @param isKnownToCopy whether the host has sent responses to no call
     * @param wasEvicted whether the connection was closed to make room, which alone casts no doubt on the others
     */
    List<UpstreamCall> findUnconfirmed(long nowMicros, boolean isKnownToCopy, boolean wasEvicted) {
        boolean hasEvidence = hasStrayBytes || isOutOfStep || ledger.hasSurplus();
        if (wasEvicted && !isKnownToCopy && !hasEvidence) {
            return List.of();
        }
        return ledger.onEnd(nowMicros, hasEvidence || isKnownToCopy && !wasEvicted);
    }
}
