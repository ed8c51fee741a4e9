package loftflow.experiment.loopback;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import loftflow.experiment.scenario.Arrival;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a machine can't send in time leaves late, is counted as that, and is never left out. */
class OpenLoopScheduleTest {
    /** So many messages, so many microseconds apart, of which each takes so long to send. */
    @ParameterizedTest
    @CsvSource({"1000, 100, 1000", "10000, 0, 20"})
    void rateBeyondTheMachineShowsAsLateness(int count, long apart, long takes) {
        List<Arrival> sent = new ArrayList<>();
        OpenLoopSchedule pace = new OpenLoopSchedule(
                IntStream.range(0, count)
                        .mapToObj(i -> new Arrival(i * apart, 0, -1, i, 0))
                        .iterator(),
                System.nanoTime(),
                arrival -> {
                    LockSupport.parkNanos(takes * 1_000);
                    sent.add(arrival);
                },
                due -> {});
        pace.run();
        assertEquals(
                IntStream.range(0, count).boxed().toList(),
                sent.stream().map(Arrival::partner).toList());
        long least = (takes - apart) * (count - count / 50);
        assertTrue(
                pace.lateness().p99Micros() >= least * 9 / 10
                        && pace.lateness().maxMicros() >= pace.lateness().p99Micros(),
                pace.lateness() + ", at least " + least);
        assertTrue(!new LoopbackRun.Outcome(null, pace.lateness(), 0).isValid());
    }
}
