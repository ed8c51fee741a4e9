package loftflow.engine;

import java.util.ArrayList;
import java.util.List;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.MessageResumed;
import loftflow.policy.api.MessageWithdrawn;
import loftflow.policy.api.PastAttempt;

/**
 * Accepts or rejects messages from clients and redrives from the dead-letter store. A message is in the journal and in
 * the message table before its client is answered.
 */
final class MessageAdmission {
    /** The time after which the client of a rejected message is asked to retry. */
    private static final long RETRY_AFTER_MICROS = 1_000_000;
    /** Redrives are accepted while at most this share of the open-message limit is in use. */
    private static final double MAX_UTILIZATION_FOR_REDRIVE = 0.5;
    /** A message that may have waited unread for longer is rejected: clients wait 400 ms for their answer. */
    private static final long MAX_UNREAD_MICROS = 400_000;

    private final EngineContext context;
    private final OutstandingAttempts outstanding;
    private final RequestClassRegistry requestClasses;
    private final MessageTable messages;
    private final DestinationRegistry destinations;
    private final PolicyEventQueue events;
    private final MessageLifecycle lifecycle;
    private final EndedMessages endedMessages;
    /** The messages accepted since the last round, whose clients are answered at the end of the next round. */
    private List<Message> unanswered = new ArrayList<>();

    private long nextSequenceNumber;

    MessageAdmission(
            EngineContext context,
            RequestClassRegistry requestClasses,
            MessageTable messages,
            DestinationRegistry destinations,
            PolicyEventQueue events,
            MessageLifecycle lifecycle,
            EndedMessages endedMessages) {
        this.context = context;
        outstanding = new OutstandingAttempts(context);
        this.requestClasses = requestClasses;
        this.messages = messages;
        this.destinations = destinations;
        this.events = events;
        this.lifecycle = lifecycle;
        this.endedMessages = endedMessages;
        nextSequenceNumber = context.journal().nextSequenceNumber();
    }

    /** Implements {@link MessageAcceptor#accept}. */
    Message accept(Message.Content content, long unreadSinceMicros, Message.ClientReply clientReply) {
        Message duplicate = messages.findByMessageId(content.messageId());
        Message message = new Message(nextSequenceNumber, content);
        if (duplicate != null) {
            answerDuplicate(duplicate, content, clientReply);
            return null;
        }
        if (endedMessages.contains(content.messageId(), context.nowMicros())) {
            answerRepeatOfEnded(message, clientReply);
            return null;
        }
        // A cached list may lack a destination that was added since, so the message is rejected rather than failed.
        boolean isDestinationListed = destinations.contains(content.destination());
        // The client may have stopped waiting by now. The bound on the arrival time is conservative, so a client that
        // has only just connected is rejected too.
        boolean mayHaveTimedOut = context.nowMicros() - unreadSinceMicros > MAX_UNREAD_MICROS;
        if (!destinations.isReady()
                || context.isQuiescing()
                || mayHaveTimedOut
                || !isDestinationListed
                || context.deadLetterSink().rejects(content)
                || messages.openCount() >= context.maxOpenMessages()
                || !messages.hasRoomFor(content)
                || !context.journal().recordAccepted(message)) {
            clientReply.rejected(RETRY_AFTER_MICROS);
            return null;
        }
        message.setClientReply(clientReply);
        unanswered.add(message);
        register(message);
        events.add(message.toAcceptedEvent());
        return message;
    }

    /** Adds a message that the journal has recorded. */
    private void register(Message message) {
        nextSequenceNumber++;
        messages.incrementOpenCount();
        messages.add(message);
        lifecycle.startOverdueTimer(message);
    }

    /**
     * Answers a client that repeats a request, usually because its connection was closed. The repeat is accepted only
     * if it is the same message, the first request has been answered and its message is still open, which can't be
     * withdrawn from then on.
     */
    private static void answerDuplicate(Message duplicate, Message.Content content, Message.ClientReply clientReply) {
        if (!duplicate.isClientWaiting()
                && duplicate.isOpen()
                && duplicate.content().isSameMessage(content)) {
            duplicate.markRepeatAccepted();
            clientReply.accepted();
        } else {
            clientReply.failed();
        }
    }

    /** Answers a client that repeats the id of an ended message, which is not sent again whatever the answer. */
    private void answerRepeatOfEnded(Message repeat, Message.ClientReply clientReply) {
        if (endedMessages.isDelivered(repeat.content()) && requestClasses.mayRepeatAtAnyTime(repeat)) {
            clientReply.accepted();
        } else {
            clientReply.failed();
        }
    }

    /** Implements {@link DeliveryEngine#redrive}. */
    Message redrive(long deadLetterId, Message.Content content, List<PastAttempt> pastAttempts) {
        boolean isBusy = messages.openCount() > context.maxOpenMessages() * MAX_UTILIZATION_FOR_REDRIVE;
        if (!destinations.isReady()
                || context.isQuiescing()
                || isBusy
                || !messages.hasRoomFor(content)
                || messages.findByMessageId(content.messageId()) != null
                || outstanding.mustAwait(content)
                || !destinations.contains(content.destination())) {
            return null;
        }
        Message message = new Message(nextSequenceNumber, content, deadLetterId);
        addAttempts(message, pastAttempts);
        if (!context.journal().recordAccepted(message)) {
            return null;
        }
        register(message);
        events.add(new MessageResumed(message.toAcceptedEvent(), pastAttempts));
        return message;
    }

    private static void addAttempts(Message message, List<PastAttempt> pastAttempts) {
        pastAttempts.forEach(
                past -> message.addAttempt(past.route(), past.sentAtMicros()).outcome(past.outcome()));
    }

    /**
     * Reports a closed message as failed, because its delivery is no longer proven. It is not sent again: an end that
     * was learned stays, and the evidence against it may be wrong.
     *
     * @param closingAttempt the attempt that had closed the message
     */
    void reportAsFailed(Message.Attempt closingAttempt) {
        Message closed = closingAttempt.message();
        Message message = new Message(nextSequenceNumber, closed.content());
        for (Message.Attempt attempt : closed.attempts()) {
            Message.Attempt copy = message.addAttempt(attempt.route(), attempt.sentAtMicros());
            // A process that resumes the message before its completion is recorded must not send it either.
            copy.outcome(attempt == closingAttempt ? AttemptOutcome.OK : attempt.outcome());
        }
        // It is owed even if it can't be recorded now.
        context.journal().recordReopened(message);
        register(message);
        lifecycle.fail(message.number());
    }

    /** Implements {@link MessageAcceptor#withdraw}. */
    void withdraw(Message message) {
        message.takeClientReply();
        if (messages.find(message.number()) != null && message.isOpen() && !message.isRepeatAccepted()) {
            events.add(new MessageWithdrawn(message.number()));
            lifecycle.closeWithdrawn(message);
        }
    }

    boolean hasUnansweredClients() {
        return !unanswered.isEmpty();
    }

    /** Removes and returns the messages accepted since the last call, in order of acceptance. */
    List<Message> drainUnanswered() {
        List<Message> drained = unanswered;
        unanswered = new ArrayList<>();
        return drained;
    }
}
