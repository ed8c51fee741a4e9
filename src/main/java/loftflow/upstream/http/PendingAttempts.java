package loftflow.upstream.http;

import io.netty.util.concurrent.Future;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import loftflow.engine.Message;
import loftflow.engine.UpstreamClient;

/**
 * The attempts of one call that have no outcome yet, in the order of the call, and the time limits of all its attempts.
 * Each attempt has its own timeout, which ends at the deadline of its message at the latest. Times are in microseconds.
 * Not thread-safe.
 */
final class PendingAttempts {
    /**
     * An attempt without an outcome.
     *
     * @param timeoutAtMicros the time at which the relay stops waiting for the response
     * @param latestArrivalMicros the latest time at which the host may receive the attempt
     */
    private record PendingAttempt(
            Message.Attempt attempt, long timeoutAtMicros, long latestArrivalMicros, Future<?> timeout) {}

    /** Starts the timeout of an attempt. */
    interface TimeoutStarter {
        /** Returns the timer, which is cancelled when the attempt has an outcome. */
        Future<?> start(Message.Attempt attempt, long timeoutMicros);
    }

    private final Map<Message.Attempt, PendingAttempt> pending = new LinkedHashMap<>();
    private final long earliestDeadlineMicros;
    private final long latestDeadlineMicros;
    private final int sizeBytes;
    private final boolean mayRepeat;

    /** Creates the attempts of a probe, which has none, and whose deadline is the end of its timeout. */
    PendingAttempts(long deadlineMicros) {
        earliestDeadlineMicros = deadlineMicros;
        latestDeadlineMicros = deadlineMicros;
        sizeBytes = 0;
        mayRepeat = true;
    }

    /** Creates the attempts of a call and starts the timeout of each. */
    PendingAttempts(List<UpstreamClient.OutboundAttempt> attempts, long nowMicros, TimeoutStarter timeouts) {
        earliestDeadlineMicros = deadlines(attempts).min().orElse(nowMicros);
        latestDeadlineMicros = deadlines(attempts).max().orElse(nowMicros);
        sizeBytes = attempts.stream()
                .mapToInt(outbound -> outbound.attempt().message().content().body().length)
                .sum();
        mayRepeat = attempts.stream().allMatch(UpstreamClient.OutboundAttempt::mayRepeat);
        for (UpstreamClient.OutboundAttempt outbound : attempts) {
            Message.Attempt attempt = outbound.attempt();
            long remainingMicros = attempt.message().content().deadlineMicros() - nowMicros;
            long timeoutMicros = Math.min(outbound.timeoutMicros(), remainingMicros);
            Future<?> timeout = timeouts.start(attempt, timeoutMicros);
            pending.put(
                    attempt,
                    new PendingAttempt(attempt, nowMicros + timeoutMicros, outbound.latestArrivalMicros(), timeout));
        }
    }

    private static LongStream deadlines(List<UpstreamClient.OutboundAttempt> attempts) {
        return attempts.stream()
                .mapToLong(outbound -> outbound.attempt().message().content().deadlineMicros());
    }

    /** Returns the earliest deadline of all messages of the call. */
    long earliestDeadlineMicros() {
        return earliestDeadlineMicros;
    }

    /** Returns the latest deadline of all messages of the call. */
    long latestDeadlineMicros() {
        return latestDeadlineMicros;
    }

    /** Returns the total size of the bodies of all messages of the call. */
    int sizeBytes() {
        return sizeBytes;
    }

    /** Returns whether repeating any attempt of the call is harmless. */
    boolean mayRepeat() {
        return mayRepeat;
    }

    /** Returns until when the response is awaited; without attempts, the latest deadline of the call. */
    long latestTimeoutMicros() {
        return pending.values().stream()
                .mapToLong(PendingAttempt::timeoutAtMicros)
                .max()
                .orElse(latestDeadlineMicros);
    }

    /** Returns the attempts whose latest arrival is not after the given time. */
    List<Message.Attempt> pastLatestArrival(long arrivalMicros) {
        return pending.values().stream()
                .filter(next -> arrivalMicros >= next.latestArrivalMicros())
                .map(PendingAttempt::attempt)
                .toList();
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    int size() {
        return pending.size();
    }

    boolean contains(Message.Attempt attempt) {
        return pending.containsKey(attempt);
    }

    /** Returns a copy of the attempts, in the order of the call. */
    List<Message.Attempt> list() {
        return List.copyOf(pending.keySet());
    }

    /** Returns the ids of the messages. */
    Set<String> messageIds() {
        return pending.keySet().stream()
                .map(attempt -> attempt.message().content().messageId())
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Removes an attempt and cancels its timeout; returns whether it had no outcome. */
    boolean remove(Message.Attempt attempt) {
        PendingAttempt removed = pending.remove(attempt);
        if (removed == null) {
            return false;
        }
        removed.timeout().cancel(false);
        return true;
    }
}
