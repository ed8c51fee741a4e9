package loftflow.warmstart;

import java.util.List;

/**
 * Everything that a relay knows of its endpoints at one moment. Immutable.
 *
 * @param owner name of the relay that wrote it; another relay does not use it
 * @param generation increases by one with each snapshot that is written
 * @param clocks the machine's clocks at that moment
 * @param relayTimeMicros the relay's own time at that moment, in microseconds
 * @param revision revision of the discovery list; -1 where none was received
 */
public record Snapshot(
        String owner,
        long generation,
        ClockReading clocks,
        long relayTimeMicros,
        long revision,
        List<KnownEndpoint> endpoints) {
    public Snapshot {
        endpoints = List.copyOf(endpoints);
    }
}
