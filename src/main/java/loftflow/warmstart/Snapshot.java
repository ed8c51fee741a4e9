package loftflow.warmstart;

import java.util.List;

/**
 * All that is remembered at one time.
 *
 * @param owner which relay it belongs to: another one's is not used
 * @param generation counts on with each picture that is saved
 * @param at the machine's clocks then
 * @param time the relay's own time then, in microseconds
 * @param revision of discovery's list; -1 where none was told
 */
public record Snapshot(
        String owner, long generation, ClockReading at, long time, long revision, List<KnownEndpoint> endpoints) {
    public Snapshot {
        endpoints = List.copyOf(endpoints);
    }
}
