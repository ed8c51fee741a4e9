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
 * Decides whether a dead letter may be sent again, and when. An unknown outcome never becomes "not executed" by age,
 * restart or the number of attempts: only a proof, or an operator's confirmation, settles it.
 *
 * <ul>
 * <li>Idempotent classes: within their redrive window.
 * <li>Classes that are idempotent by key: as above where every attempt is proven not to be executed. Otherwise while
 * the key window is open, measured from the first possible execution less a margin for clocks, to endpoints of the same
 * scope.
 * <li>Classes that are not idempotent: within their redrive window where every attempt is proven not to be executed.
 * <li>In all other cases: after an operator has confirmed that the destination did not process the message. A
 * confirmation covers the attempts made until then.
 * </ul>
 *
 * @param clockMarginMicros by how much clocks may differ
 * @param pauseMicros least time between two redrives of a dead letter; doubles with each, up to 64 times
 */
public record RedrivePolicy(long clockMarginMicros, long pauseMicros) {
    private static final int MAX_PAUSE_DOUBLINGS = 6;
    /**
     * Shortest deadline of a redrive, since no client waits for it: time enough to probe an endpoint that had failed
     * (5 s), and for a priority weight below that of new messages.
     */
    private static final long MIN_DEADLINE_MICROS = 20_000_000;

    /** A decision on a dead letter. The reasons are sent to operators. */
    public sealed interface Decision {}

    /**
     * It may be sent now.
     *
     * @param deadlineMicros wall-clock time until which it must be delivered
     * @param pastAttempts attempts that restrict where it may be sent
     */
    public record SendNow(long deadlineMicros, List<PastAttempt> pastAttempts) implements Decision {}

    /**
     * It may be sent later.
     *
     * @param atMicros wall-clock time at which it is to be decided on again
     */
    public record SendLater(long atMicros, String reason) implements Decision {}

    /** It may be sent only after an operator's confirmation. */
    public record NeedsConfirmation(String reason) implements Decision {}

    /** It is not sent any more. */
    public record Settled(String reason) implements Decision {}

    /**
     * Decides on a dead letter.
     *
     * @param redriveClass its class; null where the settings no longer have it
     * @param nowMicros wall-clock time
     * @param steadySinceMicros wall-clock time from which intervals can be measured: not before the start of the
     *     process, nor before anything that an earlier process has left. The wall clock may have been set in between,
     *     so a key window that began earlier can't be shown to be open
     */
    public Decision decide(DeadLetter deadLetter, RedriveClass redriveClass, long nowMicros, long steadySinceMicros) {
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
        // After the clock was set back, no interval from then on can be measured.
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
        return decideByKey(requestClass, unconfirmed, nowMicros, isClockBehind, steadySinceMicros);
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
            long steadySinceMicros) {
        DeadLetter.Attempt first = unconfirmed.stream()
                .min(Comparator.comparingLong(DeadLetter.Attempt::sentAtMicros))
                .orElseThrow();
        long windowEndMicros = first.sentAtMicros() + requestClass.keyWindowMicros() - clockMarginMicros;
        if (first.sentAtMicros() < steadySinceMicros) {
            return new NeedsConfirmation(
                    "an attempt may have run before a restart, and its key window can't be measured since");
        }
        if (isClockBehind || nowMicros >= windowEndMicros) {
            return new NeedsConfirmation("an attempt may have run, and its key window is over");
        }
        if (!isWithinOneScope(requestClass.keyScope(), unconfirmed)) {
            return new NeedsConfirmation("attempts in several places may have run, which don't share their keys");
        }
        // The deadline is within the key window: no attempt is made after its end.
        return new SendNow(
                Math.min(nowMicros + requestClass.deadlineMicros(), windowEndMicros),
                List.of(new PastAttempt(first.route(), first.sentAtMicros(), first.outcome())));
    }

    /** True where all attempts went to endpoints that share their keys; an unknown zone shares none. */
    private static boolean isWithinOneScope(KeyScope keyScope, List<DeadLetter.Attempt> attempts) {
        if (keyScope == KeyScope.ALL) {
            return true;
        }
        Set<String> scopes = new HashSet<>();
        attempts.forEach(attempt -> scopes.add(keyScope == KeyScope.ZONE ? attempt.zone() : attempt.route()));
        return scopes.size() <= 1 && !scopes.contains("");
    }

    /** When a dead letter whose redrive has failed is due again. */
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
