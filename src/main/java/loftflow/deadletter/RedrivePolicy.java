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
 * Whether a kept message may be sent again, and when. An unknown outcome never becomes 'never ran' by age, restart or
 * the number of tries: proof or a person's word alone changes what is believed of an attempt.
 *
 * <ul>
 * <li>Repeatable: within its class's shelf life.
 * <li>Keyed: as above where every attempt is proven never to have run; else while the key window is open, measured from
 * the first possible effect, less a margin for clocks, to endpoints of the same scope.
 * <li>Unsafe: within its shelf life where every attempt is proven never to have run.
 * <li>Anything else: after a person's word that the partner did not post it, which speaks of the attempts until then.
 * </ul>
 *
 * @param margin microseconds by which clocks may differ
 * @param pause microseconds between tries of one entry at the least; doubles with each, 64 times at the most
 */
public record RedrivePolicy(long margin, long pause) {
    private static final int MOST_DOUBLINGS = 6;
    /**
     * A message that is sent again has so long at the least, since nobody waits for it: enough for the module to let it
     * test a partner that was out (5 s), and to worth less than live messages meanwhile.
     */
    private static final long LEAST_TIME = 20_000_000;

    /** What may become of an entry. */
    public sealed interface Verdict {}

    /**
     * It may be sent now.
     *
     * @param deadline until when it must have been delivered
     * @param past attempts that still bind where it may go
     */
    public record Now(long deadline, List<PastAttempt> past) implements Verdict {}

    /** It may be sent later. */
    public record Later(long at, String why) implements Verdict {}

    /** Only after a person's word. */
    public record AfterWord(String why) implements Verdict {}

    /** It is over. */
    public record Over(String why) implements Verdict {}

    /** A class with how long its messages are worth sending again, in microseconds. */
    public record Shelved(RequestClass type, long shelfLife) {}

    /**
     * Decides on an entry.
     *
     * @param now wall time
     * @param steadySince wall time from which on spans can be measured: no earlier than the process's start, nor than
     *     anything that an earlier process has left. The wall clock may have been set between, forward or back, so that
     *     a
     *     key window that began before can't be told to be open
     */
    public Verdict decide(DeadLetter entry, Shelved shelved, long now, long steadySince) {
        if (entry.state() == DeadLetter.State.DELIVERED || entry.ran() == ExecutionCertainty.DID) {
            return new Over("it was delivered");
        }
        if (entry.state() == DeadLetter.State.DISCARDED) {
            return new Over("it was discarded");
        }
        if (entry.state() == DeadLetter.State.RESENDING) {
            return new Later(now + pause, "it is being sent again");
        }
        if (shelved == null) {
            return new AfterWord("its class " + entry.content().requestClass() + " is not known any more");
        }
        // Guards against a clock that was set back: spans from then on can't be told any more.
        boolean clockIsBack = now + margin < newest(entry);
        boolean hasWord = entry.word() != null;
        boolean fresh = !clockIsBack && now - entry.keptAt() <= shelved.shelfLife();
        if (!fresh && !hasWord) {
            return new AfterWord(
                    clockIsBack ? "the clock was set back behind what is known of it" : "its shelf life is over");
        }
        RequestClass type = shelved.type();
        List<DeadLetter.Try> unproven = entry.unproven();
        if (unproven.isEmpty() || type.idempotency() == Idempotency.IDEMPOTENT) {
            return now < entry.due() && entry.due() != DeadLetter.NEVER_DUE && !hasWord
                    ? new Later(entry.due(), "its pause is not over")
                    : new Now(now + Math.max(LEAST_TIME, type.deadlineMicros()), List.of());
        }
        if (type.idempotency() == Idempotency.NON_IDEMPOTENT) {
            return new AfterWord("an attempt may have run");
        }
        return keyed(entry, type, unproven, now, clockIsBack, steadySince);
    }

    private Verdict keyed(
            DeadLetter entry,
            RequestClass type,
            List<DeadLetter.Try> unproven,
            long now,
            boolean clockIsBack,
            long steadySince) {
        DeadLetter.Try first = unproven.stream()
                .min(Comparator.comparingLong(DeadLetter.Try::sentAt))
                .orElseThrow();
        long closes = first.sentAt() + type.keyWindowMicros() - margin;
        if (first.sentAt() < steadySince) {
            return new AfterWord(
                    "an attempt may have run before a restart, and its key window can't be measured since");
        }
        if (clockIsBack || now >= closes) {
            return new AfterWord("an attempt may have run, and its key window is over");
        }
        if (type.keyScope() != KeyScope.ALL) {
            Set<String> places = new HashSet<>();
            unproven.forEach(t -> places.add(type.keyScope() == KeyScope.ZONE ? t.building() : t.route()));
            if (places.size() > 1 || places.contains("")) {
                return new AfterWord("attempts in several places may have run, which don't share their keys");
            }
        }
        // The window is the deadline: what is not delivered within it must not be tried any more.
        return new Now(
                Math.min(now + type.deadlineMicros(), closes),
                List.of(new PastAttempt(first.route(), first.sentAt(), first.result())));
    }

    /** When an entry that was tried without success is looked at next. */
    public long nextTry(DeadLetter entry, long now) {
        return now + (pause << Math.min(MOST_DOUBLINGS, entry.resends()));
    }

    private static long newest(DeadLetter entry) {
        long tried =
                entry.tries().stream().mapToLong(DeadLetter.Try::sentAt).max().orElse(0);
        return Math.max(entry.keptAt(), tried);
    }
}
