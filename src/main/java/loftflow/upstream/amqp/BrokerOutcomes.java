package loftflow.upstream.amqp;

import loftflow.amqp.confirm.PublisherConfirms;
import loftflow.policy.api.AttemptOutcome;

/** The table of outcomes of docs/operators/amqp.md: what the fate of a publish means for its attempt. */
final class BrokerOutcomes {
    private BrokerOutcomes() {}

    /** The outcome of an attempt whose publish has a known fate. */
    static AttemptOutcome ofFate(PublisherConfirms.Outcome fate) {
        return switch (fate) {
            case ACKED -> AttemptOutcome.OK;
            case NACKED -> AttemptOutcome.ERROR;
            case RETURNED, NEVER -> AttemptOutcome.NOT_SENT;
            case UNKNOWN -> AttemptOutcome.RESET;
        };
    }

    /** The outcome of an attempt that ends unpublished, by its timeout, a cancellation or the end of its connection. */
    static AttemptOutcome ofUnpublished(boolean isChannelReady) {
        return isChannelReady ? AttemptOutcome.NOT_SENT : AttemptOutcome.CONNECT_FAILED;
    }

    /** The outcome of a probe without an answer when its connection ended. */
    static AttemptOutcome ofUnansweredProbe(boolean wasReady) {
        return wasReady ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED;
    }
}
