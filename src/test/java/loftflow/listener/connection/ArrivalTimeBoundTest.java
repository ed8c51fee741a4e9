package loftflow.listener.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import loftflow.engine.EventLoopLag;
import org.junit.jupiter.api.Test;

/** Tests the earliest arrival time of pending bytes, on a clock that the test advances. */
class ArrivalTimeBoundTest {
    private long nowMicros = 1_000_000;
    private final ArrayDeque<Runnable> scheduled = new ArrayDeque<>();
    private final EventLoopLag eventLoopLag = new EventLoopLag(
            (micros, task) -> {
                scheduled.add(task);
                return () -> {};
            },
            () -> nowMicros);
    private final Acceptor acceptor = new Acceptor(eventLoopLag, channel -> {});

    private void runIteration(long micros) {
        nowMicros += micros;
        scheduled.poll().run();
    }

    @Test
    void firstBytesMayHaveArrivedWhileTheirConnectionWasPending() {
        eventLoopLag.start();
        runIteration(300_000);
        runIteration(300_000);
        ArrivalTimeBound arrivalTime = new ArrivalTimeBound(acceptor, nowMicros);
        assertEquals(
                1_300_000,
                arrivalTime.earliestArrivalMicros(),
                "bytes can have arrived since the sample before the last one");
        runIteration(10_000);
        assertEquals(
                1_300_000,
                arrivalTime.earliestArrivalMicros(),
                "the bytes may have been pending when the connection was accepted");
        runIteration(10_000);
        runIteration(10_000);
        assertEquals(1_620_000, arrivalTime.earliestArrivalMicros());
        runIteration(60_000_000);
        runIteration(10_000);
        assertEquals(
                61_620_000 + 10_000, arrivalTime.earliestArrivalMicros(), "idle time does not count as pending time");
    }

    @Test
    void bytesMayHaveArrivedAtTheStartOfAPause() {
        eventLoopLag.start();
        ArrivalTimeBound arrivalTime = new ArrivalTimeBound(acceptor, nowMicros);
        for (int i = 0; i < 10; i++) {
            runIteration(10_000);
        }
        arrivalTime.onReadPaused();
        long pausedSince = arrivalTime.earliestArrivalMicros();
        runIteration(5_000_000);
        arrivalTime.onReadPaused();
        runIteration(10_000);
        runIteration(10_000);
        assertEquals(pausedSince, arrivalTime.earliestArrivalMicros());
        arrivalTime.onReadCaughtUp();
        assertEquals(nowMicros - 10_000, arrivalTime.earliestArrivalMicros());
    }

    /** Guards against a request that counts as old because an earlier one has just filled the read buffer. */
    @Test
    void bytesThatALimitedReadMayHaveLeftAreReadInTheNextIteration() {
        eventLoopLag.start();
        ArrivalTimeBound arrivalTime = new ArrivalTimeBound(acceptor, nowMicros);
        for (int i = 0; i < 10; i++) {
            runIteration(10_000);
        }
        long arrivedSince = arrivalTime.earliestArrivalMicros();
        arrivalTime.onReadLimited(nowMicros);
        runIteration(200_000);
        arrivalTime.onReadLimited(nowMicros);
        runIteration(200_000);
        assertEquals(arrivedSince, arrivalTime.earliestArrivalMicros(), "left by two reads");
        runIteration(200_000);
        runIteration(10_000);
        assertEquals(nowMicros - 10_000, arrivalTime.earliestArrivalMicros(), "all sockets have been read meanwhile");
    }
}
