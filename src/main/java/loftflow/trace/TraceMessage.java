package loftflow.trace;

/**
 * A message that a row becomes.
 *
 * @param at microseconds from the start of the replay
 * @param type the name of its class
 * @param tenant null where the application has none
 * @param key null where its class has none
 * @param size bytes of its body
 * @param budget microseconds that it may take
 * @param line the row that it comes from
 */
public record TraceMessage(
        long at, String type, String tenant, int destination, String key, long size, long budget, long line) {}
