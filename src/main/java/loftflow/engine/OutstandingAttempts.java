package loftflow.engine;

import loftflow.policy.api.HedgingRule;

/**
 * Ensures that a message is outstanding twice only where {@link HedgingRule} allows it. Every attempt is checked here
 * before its first byte, of whatever message with the same id the earlier attempt was.
 */
final class OutstandingAttempts {
    private final EngineContext context;
    private final HedgingRule hedging;

    OutstandingAttempts(EngineContext context) {
        this.context = context;
        hedging = new HedgingRule(context.settings());
    }

    /**
     * Ends the calls that may still execute a message which is to be sent now, unless it may be outstanding twice. A
     * response that has arrived may end the message here.
     */
    void endBefore(Message.Content next) {
        if (!hedging.mayHedge(next.requestClass())) {
            context.upstreamClient().endCalls(next.messageId());
        }
    }

    /**
     * Returns whether a message that can wait has to, because an earlier attempt is outstanding whose response may show
     * that it needs no other one.
     */
    boolean mustAwait(Message.Content next) {
        return !hedging.mayHedge(next.requestClass())
                && context.upstreamClient().isOutstanding(next.messageId());
    }
}
