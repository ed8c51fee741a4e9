package loftflow.deadletter;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.KeyScope;
import loftflow.policy.api.PastAttempt;
import loftflow.policy.api.RequestClass;

/**
 * Decides whether and when a dead letter may be redriven. Neither age nor a restart nor the number of attempts turns an
 * unknown outcome into "not executed": that takes a proof or an operator's confirmation.
 *
 * <ul>
 * <li>Idempotent classes: within their redrive window.
 * <li>Classes that are idempotent by key: within their redrive window if every attempt is proven not to be executed.
 * Otherwise while the key window is also open, and only to endpoints of the same key scope. The key window is measured
 * from the first possible execution and shortened by the clock margin.
 * <li>Classes that are not idempotent: within their redrive window if every attempt is proven not to be executed.
 * <li>In all other cases: after an operator has confirmed that the destination did not process the message. A
 * confirmation covers the attempts made before it.
 * </ul>
 *
 * @param clockMarginMicros maximum difference between clocks
 * @param pauseMicros minimum time between two redrives of a dead letter; doubles with each redrive, up to 64 times the
 *     initial value
 */
public record RedrivePolicy(long clockMarginMicros, long pauseMicros) {
    private static final int MAX_PAUSE_DOUBLINGS = 6;
    /**
     * Minimum time from a redrive to its deadline. It can be long because no client waits for a redrive; it leaves time
     * for a probe of a failed endpoint (5 s) and for a priority weight below that of new messages.
     */
    private static final long MIN_DEADLINE_MICROS = 20_000_000;

    /** A decision on a dead letter. The reasons are sent to operators. */
    public sealed interface Decision {}

    /**
     * The dead letter may be sent now.
     *
     * @param deadlineMicros wall-clock deadline of its delivery
     * @param pastAttempts attempts that restrict the endpoints to which it may be sent
     */
    public record SendNow(long deadlineMicros, List<PastAttempt> pastAttempts) implements Decision {}

    /**
     * The dead letter may not be sent yet.
     *
     * @param atMicros wall-clock time of the next decision
     */
    public record SendLater(long atMicros, String reason) implements Decision {}

    /** The dead letter may be sent only after an operator's confirmation. */
    public record NeedsConfirmation(String reason) implements Decision {}

    /** The dead letter is never sent again. */
    public record Settled(String reason) implements Decision {}

    /**
     * Decides on a dead letter.
     *
     * @param redriveClass its class; null if the settings no longer contain the class
     * @param nowMicros wall-clock time
     * @param measurableSinceMicros wall-clock time from which intervals can be measured: at least the start of the
     *     process, and later than every timestamp of earlier processes. The wall clock may have been set between two
     *     processes, so a key window that began before this time can't be proven to be open
     */
    public Decision decide(
            DeadLetter deadLetter, RedriveClass redriveClass, long nowMicros, long measurableSinceMicros) {
        if (deadLetter.state() == DeadLetter.State.DELIVERED || deadLetter.certainty() == ExecutionCertainty.EXECUTED) {
            return new Settled("it was delivered");
        }
        if (deadLetter.state() == DeadLetter.State.DISCARDED) {
            return new Settled("it was discarded");
        }
        if (deadLetter.state() == DeadLetter.State.REDRIVING) {
            return new SendLater(nowMicros + pauseMicros, "it is being sent again");
        }
        if (redriveClass == null) {
            return new NeedsConfirmation("its class " + deadLetter.content().requestClass() + " is not known any more");
        }
        // If the clock was set back, no interval since the newest timestamp can be measured.
        boolean isClockBehind = nowMicros + clockMarginMicros < newestMicros(deadLetter);
        boolean isConfirmed = deadLetter.confirmation() != null;
        boolean isInWindow =
                !isClockBehind && nowMicros - deadLetter.storedAtMicros() <= redriveClass.redriveWindowMicros();
        if (!isInWindow && !isConfirmed) {
            return new NeedsConfirmation(
                    isClockBehind ? "the clock was set back behind what is known of it" : "its shelf life is over");
        }
        RequestClass requestClass = redriveClass.requestClass();
        List<DeadLetter.Attempt> unconfirmed = deadLetter.unconfirmedAttempts();
        if (unconfirmed.isEmpty() || requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return decideRepeatable(deadLetter, requestClass, nowMicros);
        }
        if (requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
            return new NeedsConfirmation("an attempt may have run");
        }
        return decideByKey(requestClass, unconfirmed, nowMicros, isClockBehind, measurableSinceMicros);
    }

    private static Decision decideRepeatable(DeadLetter deadLetter, RequestClass requestClass, long nowMicros) {
        boolean isWaiting = nowMicros < deadLetter.dueMicros()
                && deadLetter.dueMicros() != DeadLetter.NEVER_DUE
                && deadLetter.confirmation() == null;
        return isWaiting
                ? new SendLater(deadLetter.dueMicros(), "its pause is not over")
                : new SendNow(nowMicros + Math.max(MIN_DEADLINE_MICROS, requestClass.deadlineMicros()), List.of());
    }

    private Decision decideByKey(
            RequestClass requestClass,
            List<DeadLetter.Attempt> unconfirmed,
            long nowMicros,
            boolean isClockBehind,
            long measurableSinceMicros) {
        DeadLetter.Attempt earliest = unconfirmed.stream()
                .min(Comparator.comparingLong(DeadLetter.Attempt::sentAtMicros))
                .orElseThrow();
        long windowEndMicros = earliest.sentAtMicros() + requestClass.keyWindowMicros() - clockMarginMicros;
        if (earliest.sentAtMicros() < measurableSinceMicros) {
            return new NeedsConfirmation(
                    "an attempt may have run before a restart, and its key window can't be measured since");
        }
        if (isClockBehind || nowMicros >= windowEndMicros) {
            return new NeedsConfirmation("an attempt may have run, and its key window is over");
        }
        if (!isWithinOneScope(requestClass.keyScope(), unconfirmed)) {
            return new NeedsConfirmation("attempts in several places may have run, which don't share their keys");
        }
        // The deadline is capped at the end of the key window, so that no later attempt is made.
        return new SendNow(
                Math.min(nowMicros + requestClass.deadlineMicros(), windowEndMicros),
                List.of(new PastAttempt(earliest.route(), earliest.sentAtMicros(), earliest.outcome())));
    }

    /** Returns true if all attempts went to endpoints that share their keys. An unknown zone shares no keys. */
    private static boolean isWithinOneScope(KeyScope keyScope, List<DeadLetter.Attempt> attempts) {
        if (keyScope == KeyScope.ALL) {
            return true;
        }
        Set<String> scopes = new HashSet<>();
        attempts.forEach(attempt -> scopes.add(keyScope == KeyScope.ZONE ? attempt.zone() : attempt.route()));
        return scopes.size() <= 1 && !scopes.contains("");
    }

    /** Returns the wall-clock time at which a dead letter whose redrive has failed is due again. */
    public long nextAttemptMicros(DeadLetter deadLetter, long nowMicros) {
        return nowMicros + (pauseMicros << Math.min(MAX_PAUSE_DOUBLINGS, deadLetter.redrives()));
    }

    private static long newestMicros(DeadLetter deadLetter) {
        long lastSentMicros = deadLetter.attempts().stream()
                .mapToLong(DeadLetter.Attempt::sentAtMicros)
                .max()
                .orElse(0);
        return Math.max(deadLetter.storedAtMicros(), lastSentMicros);
    }
}
