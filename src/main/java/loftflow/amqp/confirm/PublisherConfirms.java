package loftflow.amqp.confirm;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

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
        /** The channel closed after it was written completely and before its confirm: it may have taken effect. */
        UNKNOWN,
        /** Not written completely, or not processed because of a channel error: it did not take effect. */
        NEVER
    }

    /** A publish with its outcome. */
    public record Settled<T>(T publish, Outcome outcome) {}

    private static final class Publish<T> {
        final T what;
        boolean written;
        boolean returned;

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
     * Handles {@code basic.return}.
     *
     * @return empty if the tag is not that of an open, completely written publish, as that proves nothing
     */
    public List<Settled<T>> returned(long tag) {
        Publish<T> publish = unconfirmed.get(tag);
        if (publish == null || publish.returned || !publish.written) {
            return List.of();
        }
        publish.returned = true;
        return List.of(new Settled<>(publish.what, Outcome.RETURNED));
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
            // A returned publish is settled already; the broker still confirms it.
            if (!publish.returned) {
                settled.add(new Settled<>(publish.what, acked ? Outcome.ACKED : Outcome.NACKED));
            }
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
            if (!publish.returned) {
                settled.add(new Settled<>(publish.what, neverProcessed ? Outcome.NEVER : Outcome.UNKNOWN));
            }
        }
        unconfirmed.clear();
        return settled;
    }
}
