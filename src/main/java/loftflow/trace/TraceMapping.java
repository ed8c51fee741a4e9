package loftflow.trace;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What a row becomes: its class, tenant, destination, key, size and budget, by a seed. What makes a trace hard is kept:
 *
 * <ul>
 * <li>Bursts: times are only shifted and scaled.
 * <li>Skew and correlated load: a flow goes to one destination of its class, and an owner is one tenant, whatever the
 * share.
 * <li>Long tails: the size follows the row's weight beside the trace's mean until then, within the class's bounds.
 * <li>Classes keep their shares: a flow has a class of its own, and gives way to the class that is furthest behind its
 * share
 * only where its own is ahead by more than one in two hundred.
 * </ul>
 */
public final class TraceMapping {
    /** A class is ahead of its share beyond this part of all messages. */
    private static final double AHEAD = 0.005;

    /**
     * A class of the application.
     *
     * @param share of all messages; only the proportions count
     * @param keyed whether its messages carry keys
     * @param body bytes of a usual body
     * @param largest bytes of the largest body
     * @param budget microseconds
     * @param destinations the numbers of its partners
     */
    public record Type(
            String name,
            double share,
            boolean keyed,
            long body,
            long largest,
            long budget,
            List<Integer> destinations) {
        public Type {
            destinations = List.copyOf(destinations);
            if (!(share >= 0) || destinations.isEmpty()) {
                throw new IllegalArgumentException("class " + name + ": needs a share and a destination");
            }
        }
    }

    /**
     * What rows are mapped to.
     *
     * @param tenants may be empty
     */
    public record Scheme(List<Type> types, List<String> tenants) {
        public Scheme {
            types = List.copyOf(types);
            tenants = List.copyOf(tenants);
            if (types.stream().mapToDouble(Type::share).sum() <= 0) {
                throw new IllegalArgumentException("the classes' rates are all 0: there is nothing to hold to");
            }
        }
    }

    private final Scheme scheme;
    private final long seed;
    private final long from;
    private final double speed;
    private final double shares;
    private final Map<String, Long> counts = new HashMap<>();
    private long count;
    private double weights;
    private long weighed;

    /**
     * A mapping.
     *
     * @param from the trace's time at which the replay starts, in microseconds
     * @param speed how many times as fast as the trace it runs
     */
    public TraceMapping(Scheme scheme, long seed, long from, double speed) {
        if (!(speed > 0) || speed == Double.POSITIVE_INFINITY) {
            throw new IllegalArgumentException("the speed must be above 0");
        }
        this.scheme = scheme;
        this.seed = seed;
        this.from = from;
        this.speed = speed;
        shares = scheme.types().stream().mapToDouble(Type::share).sum();
    }

    /** What a row becomes; rows come in the order of their times. */
    public TraceMessage call(Row row) {
        Type type = type(row);
        count++;
        counts.merge(type.name(), 1L, Long::sum);
        int destination =
                type.destinations().get(pick(row.flow(), 1, type.destinations().size()));
        String tenant = scheme.tenants().isEmpty()
                ? null
                : scheme.tenants().get(pick(row.owner(), 2, scheme.tenants().size()));
        String key = type.keyed() ? Long.toHexString(hash(row.flow(), 3)) + "-" + row.line() : null;
        return new TraceMessage(
                (long) ((row.time() - from) / speed),
                type.name(),
                tenant,
                destination,
                key,
                size(row, type),
                type.budget(),
                row.line());
    }

    private Type type(Row row) {
        double at = (hash(row.flow(), 0) >>> 11) * 0x1.0p-53 * shares;
        Type own = null;
        for (Type type : scheme.types()) {
            own = type.share() > 0 ? type : own;
            at -= type.share();
            if (at < 0) {
                break;
            }
        }
        if (ahead(own) <= AHEAD * (count + 1)) {
            return own;
        }
        Type behind = own;
        for (Type type : scheme.types()) {
            behind = type.share() > 0 && ahead(type) < ahead(behind) ? type : behind;
        }
        return behind;
    }

    /** Messages by which a class would be ahead of its share with one more. */
    private double ahead(Type type) {
        return counts.getOrDefault(type.name(), 0L) + 1 - type.share() / shares * (count + 1);
    }

    private long size(Row row, Type type) {
        if (row.weight() <= 0) {
            return Math.min(type.body(), type.largest());
        }
        weights += row.weight();
        weighed++;
        return Math.max(1, Math.min(type.largest(), Math.round(type.body() * row.weight() * weighed / weights)));
    }

    private int pick(String text, long salt, int of) {
        return (int) Long.remainderUnsigned(hash(text, salt), of);
    }

    /** FNV-1a over the text, then the finaliser of SplitMix64, so that the seed reaches every bit. */
    private long hash(String text, long salt) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        hash += (seed * 8 + salt + 1) * 0x9e3779b97f4a7c15L;
        hash = (hash ^ hash >>> 30) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ hash >>> 27) * 0x94d049bb133111ebL;
        return hash ^ hash >>> 31;
    }
}
