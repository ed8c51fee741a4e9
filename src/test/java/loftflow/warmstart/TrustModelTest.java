package loftflow.warmstart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import loftflow.policy.api.AttemptCompleted;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.LimitReport;
import loftflow.policy.api.PolicyEvent;
import loftflow.policy.api.ProbeCompleted;
import loftflow.policy.api.RouteRestored;
import loftflow.policy.api.RouteSnapshot;
import loftflow.policy.api.TrustLevel;
import org.junit.jupiter.api.Test;

/**
 * Random histories of lists, calls, ages, kills and clocks beside a model of what is true: an endpoint once told to be
 * gone is never listed without a later word of discovery, trust does not rise without evidence, and no wait is
 * shortened.
 */
class TrustModelTest {
    private static final long SECOND = 1_000_000;
    private static final int HISTORIES = 3_000;
    private static final int STEPS = 60;
    private static final int ENDPOINTS = 8;
    private static final EndpointHistory.Rules RULES =
            new EndpointHistory.Rules(new TrustPolicy(1800 * SECOND), 60 * SECOND, SECOND / 10, 10 * SECOND, false);

    /** The truth, by a clock that no relay sees, and what a relay's disk holds. */
    private static final class History {
        final SplittableRandom random;
        long real = 10_000 * SECOND;
        long wallError;
        long bootedAt;
        int boot;
        EndpointHistory book;
        Snapshot saved;
        List<SnapshotDelta> notes = new ArrayList<>();
        long timeError;
        long revision = 1;
        final Set<String> in = new HashSet<>();
        final Map<String, Long> waitUntil = new HashMap<>();
        final Map<String, Long> evidenceAt = new HashMap<>();
        final Set<String> listed = new HashSet<>();
        int waits;
        int starts;
        int gone;
        int doubtful;

        History(long seed) {
            random = new SplittableRandom(seed);
            book = new EndpointHistory(RULES, "app#0");
            book.open(null, List.of(), true, null, clocks(), time());
            list(EndpointListKind.FULL);
        }

        ClockReading clocks() {
            return new ClockReading(real + wallError, real - bootedAt, "boot" + boot);
        }

        /** The relay's own time. */
        long time() {
            return real + timeError;
        }

        void list(EndpointListKind kind) {
            List<ListedEndpoint> entries = new ArrayList<>();
            for (int i = 0; i < ENDPOINTS; i++) {
                boolean wasIn = in.contains("e" + i);
                boolean isIn = random.nextInt(4) > 0;
                if (kind == EndpointListKind.DELTA && random.nextInt(3) > 0) {
                    continue;
                }
                if (isIn) {
                    in.add("e" + i);
                    entries.add(listing(i, Availability.LISTED));
                } else {
                    in.remove("e" + i);
                    gone += wasIn ? 1 : 0;
                    if (kind == EndpointListKind.DELTA) {
                        entries.add(listing(i, random.nextBoolean() ? Availability.DRAINING : Availability.REMOVED));
                    }
                }
            }
            if (kind == EndpointListKind.FULL && entries.isEmpty()) {
                // An empty list is not believed at once, by rule: it says nothing here.
                in.add("e0");
                entries.add(listing(0, Availability.LISTED));
            }
            EndpointHistory.Heard heard = book.heard(new ListUpdate(kind, ++revision, entries), time());
            entries.stream().filter(ListedEndpoint::inService).forEach(e -> evidenceAt.put(e.id(), real));
            take(heard);
        }

        void take(EndpointHistory.Heard heard) {
            notes.addAll(heard.notes());
            if (heard.passOn() != null) {
                if (heard.passOn().kind() == EndpointListKind.FULL) {
                    listed.clear();
                }
                for (ListedEndpoint entry : heard.passOn().entries()) {
                    if (entry.inService()) {
                        listed.add(entry.id());
                    } else {
                        listed.remove(entry.id());
                    }
                }
            }
        }

        void call() {
            String id = "e" + random.nextInt(ENDPOINTS);
            if (!listed.contains(id)) {
                return;
            }
            AttemptOutcome result = AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
            long wait = result == AttemptOutcome.REJECTED ? random.nextLong(20 * SECOND) : 0;
            PolicyEvent event = random.nextInt(4) == 0
                    ? new ProbeCompleted(id, result, wait, SECOND, LimitReport.NONE)
                    : new AttemptCompleted(1, 0, id, result, false, wait, 2 * SECOND, LimitReport.NONE);
            if (wait > 0) {
                waits++;
                waitUntil.merge(id, real + wait, Math::max);
            }
            if (result == AttemptOutcome.OK || result == AttemptOutcome.REJECTED || result == AttemptOutcome.ERROR) {
                evidenceAt.put(id, real);
            }
            take(book.saw(event, time()));
        }

        void save() {
            saved = book.picture(
                    clocks(),
                    time(),
                    listed.stream()
                            .map(id -> new RouteSnapshot(
                                    id, Math.max(0, waitUntil.getOrDefault(id, 0L) - real), 0, 1, 1000, false, 0))
                            .toList());
            book.saving();
            notes.clear();
        }

        void restart() {
            if (saved == null) {
                return;
            }
            starts++;
            boolean anew = random.nextInt(4) == 0;
            real += random.nextLong(random.nextInt(5) == 0 ? 90_000 * SECOND : 4 * SECOND);
            if (random.nextInt(3) == 0) {
                wallError += random.nextLong(-7200 * SECOND, 7200 * SECOND);
            }
            if (anew) {
                boot++;
                bootedAt = real - SECOND;
                doubtful++;
            }
            boolean lost = !notes.isEmpty() && random.nextInt(5) == 0;
            List<SnapshotDelta> kept = lost ? List.of(SnapshotDelta.inPlaceOf(notes)) : notes;
            long time = DowntimeEstimate.goOn(saved.time(), saved.at(), clocks());
            timeError = time - real;
            book = new EndpointHistory(RULES, "app#0");
            EndpointHistory.Opening opening = book.open(saved, kept, true, null, clocks(), time);
            listed.clear();
            opening.list().forEach(l -> listed.add(l.id()));
            if (lost) {
                // What could not be noted is not known, but for that it is not: none of it is as listed.
                in.addAll(listed);
            } else {
                assertTrue(in.containsAll(listed), "gone, and listed again: " + listed + " of " + in);
            }
            for (RouteRestored one : opening.remembered()) {
                check(one, anew, lost);
            }
            save();
        }

        void check(RouteRestored one, boolean anew, boolean lost) {
            String id = one.snapshot().route();
            long left = waitUntil.getOrDefault(id, 0L) - real;
            // A step of two hundredths of a second and a wait that grows by less than the note's step are not noted.
            assertTrue(
                    one.snapshot().retryAfterRemainingMicros() + 200_000 >= left,
                    id + " waits " + left + ", not " + one.snapshot());
            // The module keeps to a wait that it was told at the start, also where that is longer than need be.
            waitUntil.merge(id, real + one.snapshot().retryAfterRemainingMicros(), Math::max);
            long age = real - evidenceAt.get(id);
            if (one.trust() == TrustLevel.AS_LISTED) {
                assertFalse(anew || lost, "as listed, in doubt");
                assertTrue(age <= RULES.trust().asListedFor(), "as listed at an age of " + age / SECOND + " s");
            }
            if (!anew && age > TrustPolicy.LAST_AFTER * RULES.trust().halfLife()) {
                assertEquals(TrustLevel.LAST_RESORT, one.trust());
            }
        }

        private static ListedEndpoint listing(int i, Availability availability) {
            return new ListedEndpoint(
                    new EndpointEntry("e" + i, i, "k", "b", availability, 0), "127.0.0.1:" + (1000 + i));
        }
    }

    @Test
    void randomHistoriesKeepTheInvariants() {
        int[] counts = new int[4];
        IntStream.range(0, HISTORIES).forEach(seed -> {
            History history = new History(seed);
            for (int step = 0; step < STEPS; step++) {
                history.real += history.random.nextLong(2 * SECOND);
                switch (history.random.nextInt(12)) {
                    case 0 -> history.list(EndpointListKind.FULL);
                    case 1, 2 -> history.list(EndpointListKind.DELTA);
                    case 3 -> history.save();
                    case 4 -> history.restart();
                    default -> history.call();
                }
            }
            counts[0] += history.starts;
            counts[1] += history.waits;
            counts[2] += history.gone;
            counts[3] += history.doubtful;
        });
        for (int count : counts) {
            assertTrue(
                    count > HISTORIES / 2,
                    "the histories hold starts, waits, removals, boots: "
                            + List.of(counts[0], counts[1], counts[2], counts[3]));
        }
    }
}
