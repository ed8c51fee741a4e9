package loftflow.policy;

import loftflow.policy.api.AttemptOutcome;

/** One attempt to deliver a message, as part of a call. */
final class Attempt {
    final Call call;
    /** Null while unknown. */
    AttemptOutcome outcome;

    Attempt(Call call) {
        this.call = call;
    }

    /** Returns whether the attempt may have executed, that is, unless it is proven not to have. */
    boolean mayHaveExecuted() {
        return outcome == null || !outcome.isProvenNotExecuted();
    }
}
