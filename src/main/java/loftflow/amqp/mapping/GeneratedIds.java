package loftflow.amqp.mapping;

import java.util.function.Supplier;

/** Ids for messages whose clients gave them none; no two are alike, also over restarts. */
public final class GeneratedIds implements Supplier<String> {
    private final String prefix;
    private long next;

    /**
     * Ids of one way in.
     *
     * @param name that of no other way in
     * @param start when this process began, in microseconds
     */
    public GeneratedIds(String name, long start) {
        prefix = name + "-" + Long.toString(start, Character.MAX_RADIX) + "-";
    }

    @Override
    public String get() {
        return prefix + next++;
    }
}
