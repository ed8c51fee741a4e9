package loftflow.engine;

import java.util.List;
import loftflow.policy.api.DeliveryPolicy;
import loftflow.policy.api.PolicyActions;
import loftflow.policy.api.PolicyEvent;

/**
 * One run of the policy over the events since the previous round, after which the clients of newly accepted messages
 * are answered and then the attempts are sent.
 */
final class DeliveryRound {
    /** The start of the log line for a round that threw an exception; the emulator stops at such a line. */
    private static final String ROUND_FAILED = "a round failed";

    private final EngineContext context;
    private final PolicyEventQueue events;
    private final MessageAdmission admission;
    private final AttemptDispatcher dispatcher;
    private final DeliveryPolicy policy;
    private final PolicyActions actions;

    DeliveryRound(
            EngineContext context,
            PolicyEventQueue events,
            MessageAdmission admission,
            AttemptDispatcher dispatcher,
            DeliveryPolicy policy,
            PolicyActions actions) {
        this.context = context;
        this.events = events;
        this.admission = admission;
        this.dispatcher = dispatcher;
        this.policy = policy;
        this.actions = actions;
    }

    /**
     * Runs one round. While the relay quiesces, the policy does not run and its events are discarded: outcomes are
     * journaled as they arrive, and the next process resumes the messages from the journal.
     */
    void run() {
        long nowMicros = context.nowMicros();
        List<PolicyEvent> pendingEvents = events.drain();
        List<Message> acceptedMessages = admission.drainUnanswered();
        runPolicy(nowMicros, pendingEvents);
        confirmAcceptance(acceptedMessages);
        dispatcher.sendPending();
    }

    /** Runs the policy; an exception is logged and ends only this round, so that open messages are still processed. */
    private void runPolicy(long nowMicros, List<PolicyEvent> pendingEvents) {
        try {
            if (!context.isQuiescing()) {
                policy.onRound(nowMicros, pendingEvents, actions);
            }
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            context.log(ROUND_FAILED + ": " + e + " at " + (trace.length > 0 ? trace[0] : null));
        }
    }

    private static void confirmAcceptance(List<Message> acceptedMessages) {
        for (Message message : acceptedMessages) {
            if (message.isClientWaiting()) {
                message.takeClientReply().accepted();
            }
        }
    }
}
