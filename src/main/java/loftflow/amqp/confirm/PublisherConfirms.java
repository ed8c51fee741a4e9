package loftflow.amqp.confirm;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Tracks the publishes on one channel in confirm mode. The caller reports what was written and received; each publish
 * is settled at most once, and only on evidence: a missing confirm alone proves nothing. Performs no I/O; not
 * thread-safe.
 *
 * @param <T> the type that identifies a publish for the caller
 */
public final class PublisherConfirms<T> {
    /** The header that carries the delivery tag of a publish, as {@code basic.return} does not contain it. */
    public static final String DELIVERY_TAG_HEADER = "x-loftflow-publish";

    /** The outcome of a publish. */
    public enum Outcome {
        /** Acknowledged by the broker: it took effect. */
        ACKED,
        /** Rejected by the broker, possibly after it reached some queues: it may have taken effect. */
        NACKED,
        /** Returned as unroutable: it did not take effect. */
        RETURNED,
        /**
         * It may have taken effect: the channel closed after it was written completely and before its confirm, or a
         * return that did not identify its publish may have been for this one.
         */
        UNKNOWN,
        /** Not written completely, or not processed because of a channel error: it did not take effect. */
        NEVER
    }

    /** A publish with its outcome. */
    public record Settled<T>(T publish, Outcome outcome) {}

    private static final class Publish<T> {
        final T what;
        boolean written;
        /** A return was for this publish. */
        boolean returned;
        /** Its outcome is known, so that its confirm says nothing more. */
        boolean settled;

        Publish(T what) {
            this.what = what;
        }
    }

    private final NavigableMap<Long, Publish<T>> unconfirmed = new TreeMap<>();
    private long lastTag;

    /** Registers a publish; returns its delivery tag, which the broker uses in its confirm. */
    public long publish(T what) {
        unconfirmed.put(++lastTag, new Publish<>(what));
        return lastTag;
    }

    /** Records that all bytes of a publish are written to the socket. */
    public void written(long tag) {
        Publish<T> publish = unconfirmed.get(tag);
        if (publish != null) {
            publish.written = true;
        }
    }

    /** Returns the number of publishes without a confirm. */
    public int openCount() {
        return unconfirmed.size();
    }

    /**
     * Handles {@code basic.return}. One that lost its tag is still evidence: a broker returns a publish before it
     * confirms it, so that it was for an open one. Where several come into question, their confirms prove nothing.
     *
     * @param tagHeader the value of {@link #DELIVERY_TAG_HEADER} in the returned message; null where it is absent
     * @param isOfMessage whether a publish is of the returned message; false for all where that names none
     * @return empty if this proves nothing that was not known
     */
    public List<Settled<T>> returned(Object tagHeader, Predicate<T> isOfMessage) {
        return tagHeader instanceof Long tag ? returned(tag) : returnedWithoutTag(isOfMessage);
    }

    private List<Settled<T>> returnedWithoutTag(Predicate<T> isOfMessage) {
        List<Publish<T>> open = unconfirmed.values().stream()
                .filter(publish -> publish.written && !publish.returned)
                .toList();
        List<Publish<T>> ofMessage =
                open.stream().filter(publish -> isOfMessage.test(publish.what)).toList();
        List<Publish<T>> candidates = ofMessage.isEmpty() ? open : ofMessage;
        boolean isIdentified = candidates.size() == 1;
        List<Settled<T>> settled = new ArrayList<>();
        for (Publish<T> candidate : candidates) {
            candidate.returned = isIdentified;
            settle(candidate, isIdentified ? Outcome.RETURNED : Outcome.UNKNOWN, settled);
        }
        return settled;
    }

    /** Adds a publish with its outcome, unless it has one. */
    private static <T> void settle(Publish<T> publish, Outcome outcome, List<Settled<T>> settled) {
        if (!publish.settled) {
            publish.settled = true;
            settled.add(new Settled<>(publish.what, outcome));
        }
    }

    /**
     * Handles {@code basic.return} with its tag.
     *
     * @return empty if the tag is not that of an open, completely written publish, as that proves nothing
     */
    public List<Settled<T>> returned(long tag) {
        Publish<T> publish = unconfirmed.get(tag);
        if (publish == null || publish.returned || !publish.written) {
            return List.of();
        }
        publish.returned = true;
        List<Settled<T>> settled = new ArrayList<>();
        settle(publish, Outcome.RETURNED, settled);
        return settled;
    }

    /**
     * Handles {@code basic.ack} and {@code basic.nack}.
     *
     * @param multiple true if all publishes up to the tag are meant; tag 0 then means all
     * @return null if the tag was never published, not written completely or confirmed before: the broker violates the
     *     protocol, and no further confirm of this channel can be trusted
     */
    public List<Settled<T>> confirmed(long tag, boolean multiple, boolean acked) {
        NavigableMap<Long, Publish<T>> matching = multiple
                ? unconfirmed.headMap(tag == 0 ? lastTag : tag, true)
                : unconfirmed.subMap(tag, true, tag, true);
        if (tag > lastTag || matching.isEmpty() || matching.values().stream().anyMatch(publish -> !publish.written)) {
            return null;
        }
        List<Settled<T>> settled = new ArrayList<>();
        for (Publish<T> publish : matching.values()) {
            // The broker still confirms a publish that was returned.
            settle(publish, acked ? Outcome.ACKED : Outcome.NACKED, settled);
        }
        matching.clear();
        return settled;
    }

    /**
     * Handles the close of the channel.
     *
     * @param publishAtFault true if the broker closed it because of a publish, for example to an unknown exchange. A
     *     broker processes a channel in order and ignores everything after an error. If all publishes were written
     *     completely, the last one either caused the error or follows the one that did, so it did not take effect
     */
    public List<Settled<T>> closed(boolean publishAtFault) {
        boolean allWritten = unconfirmed.values().stream().allMatch(publish -> publish.written);
        List<Settled<T>> settled = new ArrayList<>();
        for (Map.Entry<Long, Publish<T>> entry : unconfirmed.entrySet()) {
            Publish<T> publish = entry.getValue();
            boolean neverProcessed = !publish.written || publishAtFault && allWritten && entry.getKey() == lastTag;
            settle(publish, neverProcessed ? Outcome.NEVER : Outcome.UNKNOWN, settled);
        }
        unconfirmed.clear();
        return settled;
    }
}
