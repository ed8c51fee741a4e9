package loftflow.policy;

import loftflow.policy.api.AttemptOutcome;

/** One attempt to deliver a message: its place in a call. */
final class Attempt {
    final Call call;
    /** Null while nothing is known. */
    AttemptOutcome outcome;

    Attempt(Call call) {
        this.call = call;
    }

    /** True unless it is proven not to have executed. */
    boolean mayHaveExecuted() {
        return outcome == null || !outcome.isProvenNotExecuted();
    }
}
