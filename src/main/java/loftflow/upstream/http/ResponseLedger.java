package loftflow.upstream.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import loftflow.memory.MemoryBudget;

/**
 * Determines what the responses on one connection prove about its calls.
 *
 * <p>HTTP/1.1 matches a response to a call by its position alone. A second copy of a response, however late, is read as
 * the response to a later call, and that call's own response as the one of the call behind it. A response proves
 * something only if no earlier response is outstanding and it equals none of them; the outcomes that are taken from all
 * others can be contradicted until the deadline of their messages:
 *
 * <ul>
 *   <li>With n surplus responses on the connection, the own response of a call is one of the n + 1 that followed its
 *       request. Its outcome stands if these agree.
 *   <li>If the connection ends, one more surplus response is assumed, and the response that it hides never comes.
 * </ul>
 *
 * <p>Free of sockets and clocks; times are in microseconds on a monotonic clock. Not thread-safe.
 *
 * @param <C> the type of the calls
 */
final class ResponseLedger<C> {
    /** Older outcomes are no longer tracked, so that the messages of a busy connection can be released. */
    private static final int MAX_TRACKED_CALLS = 16;
    /** As above, for the total size of the tracked messages; the last call is always tracked. */
    private static final int MAX_TRACKED_BYTES = 64 << 10;

    /** With so many surplus responses nothing can be proven any more, and further ones are not worth reading. */
    private static final int MAX_SURPLUS_RESPONSES = 32;
    /** The objects of a tracked call beside the bodies of its messages. */
    private static final int CALL_OVERHEAD_BYTES = 2 << 10;

    private static final int STATUS_OK = 200;

    /**
     * An outcome that was taken from a response without proof.
     *
     * @param deadlineMicros when nothing is owed for the call any more
     */
    private record Unproven<C>(C call, int status, long deadlineMicros, int sizeBytes) {}

    /** The outcomes since the last proven one, in the order of their calls. */
    private final List<Unproven<C>> unproven = new ArrayList<>();
    /** The calls of {@link #unproven} whose outcome has been contradicted. */
    private final Set<C> contradicted = new HashSet<>();
    /** The statuses of the responses that no call awaited. */
    private final List<Integer> surplus = new ArrayList<>();

    private final MemoryBudget.Account memory;

    /** Whether no response to an earlier call can be outstanding. */
    private boolean isInStep = true;
    /** When a response to an earlier call is no longer expected to be outstanding. */
    private long inStepFromMicros;

    /**
     * When the response to the call that was sent last should have come. If none is outstanding then, none ever was: a
     * surplus response among the earlier ones would have left this one over.
     */
    private long dueMicros;

    /**
     * Creates a ledger without calls.
     *
     * @param memory the account for the tracked calls; while it is exhausted, older outcomes are no longer tracked
     */
    ResponseLedger(MemoryBudget.Account memory) {
        this.memory = memory;
    }

    /**
     * Called when a call is sent.
     *
     * @param usualDueMicros the time at which its response usually has come
     * @param latestDueMicros the latest time at which its response is expected
     */
    void onSent(long nowMicros, long usualDueMicros, long latestDueMicros) {
        isInStep = isInStepAt(nowMicros);
        inStepFromMicros = usualDueMicros;
        dueMicros = latestDueMicros;
    }

    /** Returns whether a call that is sent at the given time could not receive the response to an earlier call. */
    boolean isInStepAt(long nowMicros) {
        return surplus.isEmpty() && (unproven.isEmpty() || nowMicros >= inStepFromMicros);
    }

    /** Returns whether no response to an earlier call could come when the last call was sent. */
    boolean isInStep() {
        return isInStep;
    }

    /** Returns whether a response was received that no call awaited. */
    boolean hasSurplus() {
        return !surplus.isEmpty();
    }

    /**
     * Returns whether a response can only be the one to the call that was sent last.
     *
     * @param isRepeated whether it equals an earlier response on the connection
     */
    boolean isProof(boolean isRepeated) {
        return isInStep && !isRepeated;
    }

    /**
     * Called when the outcome of the call that was sent last has been taken from a response.
     *
     * @param isNamed whether the response names its call
     * @param isRepeated whether it may equal an earlier response on the connection
     * @param deadlineMicros until when the outcome can be corrected
     * @param sizeBytes the size of the messages that are kept for a correction
     */
    void onResponse(C call, int status, boolean isNamed, boolean isRepeated, long deadlineMicros, int sizeBytes) {
        if (isNamed || (!isRepeated && unproven.isEmpty() && surplus.isEmpty())) {
            // A host answers in order, so the earlier calls have received their own responses too.
            unproven.clear();
            contradicted.clear();
            memory.release();
            return;
        }
        unproven.add(new Unproven<>(call, status, deadlineMicros, sizeBytes));
        while (unproven.size() > 1 && (unproven.size() > MAX_TRACKED_CALLS || trackedBytes() > MAX_TRACKED_BYTES)) {
            forgetOldest();
        }
        while (!unproven.isEmpty() && !memory.tryHold(trackedBytes() + (long) CALL_OVERHEAD_BYTES * unproven.size())) {
            forgetOldest();
        }
    }

    private void forgetOldest() {
        contradicted.remove(unproven.remove(0).call());
    }

    private long trackedBytes() {
        return unproven.stream().mapToLong(Unproven::sizeBytes).sum();
    }

    /** Returns whether further surplus responses would show nothing more. */
    boolean isSurplusExhausted() {
        return surplus.size() >= MAX_SURPLUS_RESPONSES;
    }

    /** Releases the memory of the tracked calls, once the connection has ended. */
    void release() {
        memory.release();
    }

    /**
     * Called when a response was received that no call awaits.
     *
     * @return the calls whose outcome it contradicts, each once
     */
    List<C> onSurplus(int status) {
        surplus.add(status);
        List<C> calls = new ArrayList<>();
        for (int i = 0; i < unproven.size(); i++) {
            if (!isAgreed(i, surplus.size())) {
                addContradicted(unproven.get(i), calls);
            }
        }
        return calls;
    }

    /** Returns whether a response that reports a delivery may be the own one of a call. */
    boolean mayBeDelivered(C call) {
        for (int i = 0; i < unproven.size(); i++) {
            if (unproven.get(i).call() == call) {
                int received = unproven.size() + surplus.size();
                int last = Math.min(i + surplus.size(), received - 1);
                return IntStream.rangeClosed(i, last).anyMatch(position -> statusAt(position) == STATUS_OK);
            }
        }
        return false;
    }

    /**
     * Called when the connection has ended.
     *
     * @param isSuspect whether the host is known to send surplus responses
     * @return the calls whose own response may not have been received, each once
     */
    List<C> onEnd(long nowMicros, boolean isSuspect) {
        List<C> calls = new ArrayList<>();
        for (int i = 0; i < unproven.size(); i++) {
            Unproven<C> outcome = unproven.get(i);
            if (nowMicros < neededUntilMicros(outcome, isSuspect) && !isAgreed(i, surplus.size() + 1)) {
                addContradicted(outcome, calls);
            }
        }
        return calls;
    }

    private void addContradicted(Unproven<C> outcome, List<C> calls) {
        if (contradicted.add(outcome.call())) {
            calls.add(outcome.call());
        }
    }

    /** Returns whether a call has the same outcome whichever of the responses up to the given shift is its own. */
    private boolean isAgreed(int index, int maxShift) {
        int received = unproven.size() + surplus.size();
        if (index + maxShift >= received) {
            return false;
        }
        int status = unproven.get(index).status();
        for (int position = index + 1; position <= index + maxShift; position++) {
            if (statusAt(position) != status) {
                return false;
            }
        }
        return true;
    }

    private int statusAt(int position) {
        return position < unproven.size() ? unproven.get(position).status() : surplus.get(position - unproven.size());
    }

    /**
     * Called on an open connection whose host is known to send surplus responses.
     *
     * @return the calls whose deadline has come and whose own response may not have been received, each once
     */
    List<C> onDeadlines(long nowMicros) {
        List<C> calls = new ArrayList<>();
        for (int i = 0; i < unproven.size(); i++) {
            Unproven<C> outcome = unproven.get(i);
            if (nowMicros >= outcome.deadlineMicros() && !isAgreed(i, Math.max(1, surplus.size()))) {
                addContradicted(outcome, calls);
            }
        }
        return calls;
    }

    /**
     * Returns the next time after the given one at which the connection is needed less, although it carries no more
     * calls; 0 if it is not worth reading any longer.
     */
    long nextCheckMicros(long nowMicros, boolean isSuspect) {
        return unproven.stream()
                .mapToLong(outcome ->
                        contradicted.contains(outcome.call()) ? dueMicros : neededUntilMicros(outcome, isSuspect))
                .filter(checkMicros -> checkMicros > nowMicros)
                .min()
                .orElse(0);
    }

    private long neededUntilMicros(Unproven<C> outcome, boolean isSuspect) {
        boolean isWholeTimeNeeded = isSuspect || !surplus.isEmpty();
        return isWholeTimeNeeded ? outcome.deadlineMicros() : Math.min(dueMicros, outcome.deadlineMicros());
    }
}
