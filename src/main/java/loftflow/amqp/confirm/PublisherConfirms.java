package loftflow.amqp.confirm;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * What is known of the publishes on one channel in confirm mode. Free of I/O: it is told what was written and what
 * came,
 * and says what that proves. Nothing is ever proven by silence, nor twice.
 *
 * @param <T> what is published
 */
public final class PublisherConfirms<T> {
    /** The header that a publish carries its tag in, since a return names none. */
    public static final String TAG = "x-loftflow-publish";

    /** What has become of a publish. */
    public enum Fate {
        /** Confirmed: it took effect. */
        ACKED,
        /** Refused by the broker, which may have given it to some queues: it may have taken effect. */
        NACKED,
        /** Returned: no queue got it, so it never took effect. */
        RETURNED,
        /** The channel ended after it was written whole and before a confirm: it may have taken effect. */
        UNKNOWN,
        /** It was not written whole, or the broker named it as the fault: it never took effect. */
        NEVER
    }

    /** A publish whose fate is known. */
    public record Settled<T>(T what, Fate fate) {}

    private static final class Publish<T> {
        final T what;
        boolean written;
        boolean returned;

        Publish(T what) {
            this.what = what;
        }
    }

    private final NavigableMap<Long, Publish<T>> open = new TreeMap<>();
    private long last;

    /** Counts a publish; returns its tag, by which the broker will speak of it. */
    public long publish(T what) {
        open.put(++last, new Publish<>(what));
        return last;
    }

    /** Every byte of a publish has left this process. */
    public void written(long tag) {
        Publish<T> publish = open.get(tag);
        if (publish != null) {
            publish.written = true;
        }
    }

    /** How many publishes have no confirm yet. */
    public int open() {
        return open.size();
    }

    /**
     * The broker has returned a publish.
     *
     * @return empty where the tag is none of a publish that is open: that proves nothing
     */
    public List<Settled<T>> returned(long tag) {
        Publish<T> publish = open.get(tag);
        if (publish == null || publish.returned || !publish.written) {
            return List.of();
        }
        publish.returned = true;
        return List.of(new Settled<>(publish.what, Fate.RETURNED));
    }

    /**
     * The broker has confirmed or refused a publish, or all up to it; 0 with {@code multiple} means all.
     *
     * @return null where the broker speaks of what was never published, or not written whole, or confirmed already: it
     *         has lost count, and nothing that it says of this channel proves anything
     */
    public List<Settled<T>> confirmed(long tag, boolean multiple, boolean acked) {
        NavigableMap<Long, Publish<T>> meant =
                multiple ? open.headMap(tag == 0 ? last : tag, true) : open.subMap(tag, true, tag, true);
        if (tag > last || meant.isEmpty() || meant.values().stream().anyMatch(p -> !p.written)) {
            return null;
        }
        List<Settled<T>> settled = new ArrayList<>();
        for (Publish<T> publish : meant.values()) {
            // What was returned is settled already; its confirm follows all the same.
            if (!publish.returned) {
                settled.add(new Settled<>(publish.what, acked ? Fate.ACKED : Fate.NACKED));
            }
        }
        meant.clear();
        return settled;
    }

    /**
     * The channel is over.
     *
     * @param publishAtFault the broker closed it for a publish that can't be, as one to an exchange that is not there.
     *        A broker goes through a channel in order and heeds nothing behind a fault, so where all was written whole
     *        the
     *        last publish is the one at fault or one behind it: it never took effect, whichever of them it was
     */
    public List<Settled<T>> closed(boolean publishAtFault) {
        boolean all = open.values().stream().allMatch(p -> p.written);
        List<Settled<T>> settled = new ArrayList<>();
        for (Map.Entry<Long, Publish<T>> entry : open.entrySet()) {
            Publish<T> publish = entry.getValue();
            boolean never = !publish.written || publishAtFault && all && entry.getKey() == last;
            if (!publish.returned) {
                settled.add(new Settled<>(publish.what, never ? Fate.NEVER : Fate.UNKNOWN));
            }
        }
        open.clear();
        return settled;
    }
}
