package loftflow.experiment.loopback;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import loftflow.experiment.history.RunHistory;
import loftflow.experiment.scenario.FailureKind;
import loftflow.experiment.scenario.FaultSchedule;
import loftflow.protocol.DiscoveryProtocol;

/**
 * Carries out the faults of a schedule that affect processes and sockets: crashes of relays, endpoints that refuse
 * connections, drains, and outages of discovery. The emulated endpoints apply all other faults themselves.
 */
final class FaultInjector implements AutoCloseable {
    /** Several relays may restart at the same time. */
    private static final int THREADS = 8;

    private interface FaultAction {
        void run() throws IOException, InterruptedException;
    }

    private final RunContext context;
    private final FaultSchedule faults;
    private final RelayFleet relays;
    private final List<EndpointServer> endpoints;
    private final DiscoveryList discovery;
    private final ScheduledExecutorService executor = new ScheduledThreadPoolExecutor(THREADS);
    private long startNanos;
    private Exception failure;

    FaultInjector(
            RunContext context,
            FaultSchedule faults,
            RelayFleet relays,
            List<EndpointServer> endpoints,
            DiscoveryList discovery) {
        this.context = context;
        this.faults = faults;
        this.relays = relays;
        this.endpoints = endpoints;
        this.discovery = discovery;
    }

    /**
     * Schedules all faults.
     *
     * @param runStartNanos the time of {@link System#nanoTime} at which the run starts
     */
    void start(long runStartNanos) {
        startNanos = runStartNanos;
        scheduleFaultWindows();
        faults.endpointDrains().forEach(this::schedule);
        faults.relayCrashes().forEach(crash -> scheduleAt(crash.atMicros(), () -> crash(crash)));
    }

    private void scheduleFaultWindows() {
        Set<Long> discoveryRestarts = new HashSet<>();
        for (FaultSchedule.FaultWindow window : faults.faultWindows()) {
            if (window.failure().kind() == FailureKind.DISCOVERY_OUTAGE) {
                scheduleAt(window.fromMicros(), discovery::stopAgent);
                boolean isLastOutage = faults.discoveryAvailableFrom(window.untilMicros()) == window.untilMicros();
                if (isLastOutage && discoveryRestarts.add(window.untilMicros())) {
                    scheduleAt(window.untilMicros(), discovery::restartAgent);
                }
            } else if (window.failure().kind() == FailureKind.DOWN) {
                for (int endpoint = 0; endpoint < endpoints.size(); endpoint++) {
                    scheduleDown(endpoint, window);
                }
            }
        }
    }

    private void scheduleDown(int number, FaultSchedule.FaultWindow window) {
        EndpointServer endpoint = endpoints.get(number);
        if (isDown(number, window.fromMicros())) {
            scheduleAt(
                    window.fromMicros(),
                    () -> context.loop().submit(endpoint::stopListening).sync());
            if (!isDown(number, window.untilMicros())) {
                scheduleAt(window.untilMicros(), () -> context.loop()
                        .submit(endpoint::startListening)
                        .sync()
                        .getNow()
                        .sync());
            }
        }
    }

    private boolean isDown(int endpoint, long timeMicros) {
        return faults.conditionAt(endpoint, timeMicros).servingState() == FaultSchedule.ServingState.DOWN;
    }

    private void schedule(FaultSchedule.EndpointDrain drain) {
        scheduleAt(drain.fromMicros(), () -> publish(drain.endpoint(), DiscoveryProtocol.STATE_DRAINING));
        scheduleAt(drain.removedAtMicros(), () -> {
            publish(drain.endpoint(), DiscoveryProtocol.STATE_REMOVED);
            context.loop()
                    .submit(endpoints.get(drain.endpoint())::stopListening)
                    .sync();
        });
    }

    private void publish(int endpoint, String state) throws InterruptedException {
        discovery.publish(endpoint, state);
        context.loop()
                .submit(() -> {
                    for (int relay = 0; relay < relays.size(); relay++) {
                        context.recordDrainNotice(relay, endpoint);
                    }
                })
                .sync();
    }

    private void crash(FaultSchedule.RelayCrash crash) throws IOException, InterruptedException {
        if (relays.crash(crash.relay())) {
            scheduleAt(crash.restartedAtMicros(), () -> restart(crash));
        }
    }

    private void restart(FaultSchedule.RelayCrash crash) throws IOException, InterruptedException {
        relays.restart(crash.relay());
        RunHistory.RelayDowntime downtime =
                new RunHistory.RelayDowntime(crash.relay(), crash.atMicros(), context.nowMicros());
        context.loop().submit(() -> context.history().addDowntime(downtime)).sync();
        relays.markUp(crash.relay());
    }

    private void scheduleAt(long micros, FaultAction action) {
        long delayNanos = startNanos + TimeUnit.MICROSECONDS.toNanos(micros) - System.nanoTime();
        executor.schedule(() -> run(action), delayNanos, TimeUnit.NANOSECONDS);
    }

    private void run(FaultAction action) {
        try {
            action.run();
        } catch (IOException | RuntimeException e) {
            fail(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void fail(Exception e) {
        failure = failure == null ? e : failure;
    }

    /** Throws if a fault could not be carried out, or a relay did not restart. */
    synchronized void throwIfFailed() throws IOException {
        if (failure != null) {
            throw new IOException("the run broke off: " + failure.getMessage(), failure);
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
