package loftflow.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Attempts that the journal could not record, which must not be sent before it has. Recording them is tried again for a
 * time, so that a short failure of the disk does not use up the attempts of a message.
 */
final class UnrecordedAttempts {
    private static final long RETRY_MICROS = 20_000;
    /** The time after which the policy is to choose a route anew. */
    private static final long MAX_WAIT_MICROS = 2_000_000;

    private record WaitingAttempt(UpstreamClient.OutboundAttempt outbound, long untilMicros) {}

    private final EngineContext context;
    private final Consumer<UpstreamClient.OutboundAttempt> onRecorded;
    private final Consumer<Message.Attempt> onGivenUp;
    private List<WaitingAttempt> waiting = new ArrayList<>();
    private boolean isRetryScheduled;

    /**
     * Creates an empty list.
     *
     * @param onRecorded receives each attempt that has been recorded and may be sent
     * @param onGivenUp receives each attempt that is not to be sent
     */
    UnrecordedAttempts(
            EngineContext context,
            Consumer<UpstreamClient.OutboundAttempt> onRecorded,
            Consumer<Message.Attempt> onGivenUp) {
        this.context = context;
        this.onRecorded = onRecorded;
        this.onGivenUp = onGivenUp;
    }

    /** Adds an attempt that could not be recorded. */
    void add(UpstreamClient.OutboundAttempt outbound) {
        waiting.add(new WaitingAttempt(outbound, context.nowMicros() + MAX_WAIT_MICROS));
        scheduleRetry();
    }

    /** Gives an attempt up; has no effect if it is not waiting. */
    void cancel(Message.Attempt attempt) {
        if (waiting.removeIf(next -> next.outbound().attempt() == attempt)) {
            onGivenUp.accept(attempt);
        }
    }

    private void scheduleRetry() {
        if (!isRetryScheduled) {
            isRetryScheduled = true;
            context.timers().schedule(RETRY_MICROS, this::retry);
        }
    }

    private void retry() {
        isRetryScheduled = false;
        List<WaitingAttempt> due = waiting;
        waiting = new ArrayList<>();
        due.forEach(this::retry);
        if (!waiting.isEmpty()) {
            scheduleRetry();
        }
    }

    private void retry(WaitingAttempt next) {
        UpstreamClient.OutboundAttempt outbound = next.outbound();
        long deadlineMicros = outbound.attempt().message().content().deadlineMicros();
        long untilMicros = Math.min(next.untilMicros(), Math.min(deadlineMicros, outbound.latestArrivalMicros()));
        boolean isOpen = outbound.attempt().message().isOpen();
        if (context.isQuiescing() || !isOpen || context.nowMicros() >= untilMicros) {
            onGivenUp.accept(outbound.attempt());
        } else if (context.journal().recordAttempt(outbound.attempt())) {
            onRecorded.accept(outbound);
        } else {
            waiting.add(next);
        }
    }
}
