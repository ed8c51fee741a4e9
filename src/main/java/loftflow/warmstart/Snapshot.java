package loftflow.warmstart;

import java.util.List;
import loftflow.clock.ClockReading;

/**
 * Recorded state of all endpoints of a relay at one time. Immutable.
 *
 * @param owner name of the relay that wrote the snapshot; other relays ignore it
 * @param generation sequence number, one higher for each snapshot written
 * @param clocks reading of the machine's clocks at that time
 * @param relayTimeMicros time by the relay's own clock, in microseconds
 * @param revision revision of the discovery list; -1 if none was received
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
