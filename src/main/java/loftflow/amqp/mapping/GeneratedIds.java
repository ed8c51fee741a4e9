package loftflow.amqp.mapping;

import java.util.function.Supplier;

/** Generates ids for messages without one. Ids are unique, also across restarts. Not thread-safe. */
public final class GeneratedIds implements Supplier<String> {
    private final String prefix;
    private long next;

    /**
     * Creates the generator of one listener.
     *
     * @param name the name of the listener, unique within the relay
     * @param startMicros the start time of this process, in microseconds since the Unix epoch
     */
    public GeneratedIds(String name, long startMicros) {
        prefix = name + "-" + Long.toString(startMicros, Character.MAX_RADIX) + "-";
    }

    @Override
    public String get() {
        return prefix + next++;
    }
}
