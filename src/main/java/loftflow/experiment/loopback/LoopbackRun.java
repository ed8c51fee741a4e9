package loftflow.experiment.loopback;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import loftflow.experiment.emulator.EmulatedEndpoint;
import loftflow.experiment.evaluation.ProgressSnapshot;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.history.RunHistory;
import loftflow.experiment.scenario.Arrival;
import loftflow.experiment.scenario.FaultSchedule;
import loftflow.experiment.scenario.RuleLimits;
import loftflow.experiment.scenario.Scenario;
import loftflow.fake.ServedRelay;

/**
 * One run of a scenario by relay processes on loopback, in real time. One event loop serves all sockets and owns the
 * history, one thread submits messages at their times, and a pool of threads carries out faults.
 */
public final class LoopbackRun implements AutoCloseable {
    private static final long POLL_INTERVAL_MILLIS = 50;
    /** CPU time is measured after this part of the duration, when the relays' code is compiled. */
    private static final int WARM_UP_DIVISOR = 4;

    private static final double MICROS_PER_SECOND = 1e6;
    /** The first message is due this long after everything is ready. */
    private static final long START_DELAY_MILLIS = 500;

    /**
     * The result of a run.
     *
     * @param lateness by how much messages were sent late
     * @param cpuMicrosPerMessage CPU time of all relays per message, measured after the first quarter of the duration
     *     and including restarts
     */
    public record Outcome(RunHistory history, Lateness lateness, double cpuMicrosPerMessage) {
        /** A run with a higher p99 lateness measures this machine rather than the relays. */
        public static final long MAX_P99_LATENESS_MICROS = 50_000;

        /** True if messages were sent when they were due. */
        public boolean isValid() {
            return lateness.p99Micros() <= MAX_P99_LATENESS_MICROS;
        }
    }

    /**
     * The program that runs as each relay of a fleet.
     *
     * @param baseline whether a {@link BaselineProxy} runs in place of each relay
     */
    public record RelayProgram(ServedRelay.Program program, boolean baseline) {
        /** Relays of this program, on any core. */
        public static final RelayProgram OWN = new RelayProgram(ServedRelay.Program.OWN, false);
    }

    /** By how many microseconds messages were sent late: median, 99th percentile and maximum. */
    public record Lateness(long p50Micros, long p99Micros, long maxMicros) {}

    private final Scenario scenario;
    private final Scenario.Layout layout;
    private final FaultSchedule faults;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final List<EndpointServer> endpoints = new ArrayList<>();
    private final RunContext context;
    private final LoadGenerator loadGenerator;
    private final DiscoveryList discovery;
    private final RelayFleet relays;
    private final FaultInjector faultInjector;
    private final long startNanos;

    /**
     * Starts everything that a run needs, including the relays.
     *
     * @param program what runs as each relay of the fleet
     * @param folder for the relays' files, journals and logs
     */
    public LoopbackRun(Scenario scenario, RuleLimits limits, long seed, RelayProgram program, Path folder)
            throws IOException, InterruptedException {
        this.scenario = scenario;
        layout = scenario.layout();
        faults = FaultSchedule.of(scenario, layout, seed);
        RunClock clock = new RunClock();
        context = new RunContext(scenario, loop, clock);
        loadGenerator = new LoadGenerator(context);
        discovery = new DiscoveryList(layout, endpoints);
        relays = new RelayFleet(program, folder, loop, loadGenerator);
        faultInjector = new FaultInjector(context, faults, relays, endpoints, discovery);
        try {
            CompletionServer completionServer = new CompletionServer(context, loadGenerator);
            for (EmulatedEndpoint endpoint :
                    EmulatedEndpoint.createAll(layout, limits, faults, context.history(), seed)) {
                endpoints.add(new EndpointServer(context, endpoint, layout));
            }
            discovery.publish();
            for (int relay = 0; relay < scenario.fleet().relays(); relay++) {
                relays.add(
                        program.baseline() ? proxyCommand() : relayCommand(relay, completionServer.address(), folder));
            }
            relays.awaitServing();
            startNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_DELAY_MILLIS);
            clock.start(startNanos);
        } catch (IOException | InterruptedException | RuntimeException e) {
            close();
            throw e;
        }
    }

    private List<String> relayCommand(int relay, String completionAddress, Path folder) throws IOException {
        return ServedRelay.serving(
                RelayFileWriter.write(scenario, layout, relay, discovery.agentAddress(), completionAddress, folder));
    }

    private List<String> proxyCommand() {
        List<String> command = new ArrayList<>(List.of(BaselineProxy.class.getName()));
        for (Scenario.Endpoint endpoint : layout.endpoints()) {
            command.add(
                    endpoint.partner() + "=" + endpoints.get(endpoint.number()).address());
        }
        return command;
    }

    /**
     * Submits messages, and returns when all of them have settled.
     *
     * @param beforeEach receives the next due time in microseconds; a test may block there
     * @param progress receives a snapshot once a second
     * @throws RelayExitedException if a relay has exited that was not killed
     * @throws IOException if a relay or discovery did not restart
     */
    public Outcome play(Iterator<Arrival> arrivals, LongConsumer beforeEach, Consumer<ProgressSnapshot> progress)
            throws IOException, InterruptedException {
        faultInjector.start(startNanos);
        OpenLoopSchedule schedule = new OpenLoopSchedule(
                arrivals, startNanos, arrival -> loop.execute(() -> loadGenerator.submit(arrival)), beforeEach);
        Thread sender = new Thread(schedule, "lab-pace");
        sender.start();
        CpuMeasurement cpu = new CpuMeasurement();
        try {
            awaitSettled(sender, cpu, progress);
        } finally {
            // Stops the sender of a run that has failed.
            sender.interrupt();
            sender.join();
        }
        faultInjector.throwIfFailed();
        double cpuMicros = cpu.elapsedMicros();
        RunHistory history = onLoop(() -> {
            endpoints.forEach(EndpointServer::stopListening);
            return context.history();
        });
        return new Outcome(history, schedule.lateness(), cpuMicros / cpu.measuredMessages(history));
    }

    /** Waits for the sender, for relays that are down, since their messages are open, and for all messages. */
    private void awaitSettled(Thread sender, CpuMeasurement cpu, Consumer<ProgressSnapshot> progress)
            throws IOException, InterruptedException {
        long endMicros = scenario.durationMicros() + scenario.settleMicros();
        long shownNanos = System.nanoTime();
        while (sender.isAlive() || (relays.hasRelaysDown() || !isSettled()) && context.nowMicros() < endMicros) {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
            if (System.nanoTime() >= shownNanos + TimeUnit.SECONDS.toNanos(1)) {
                shownNanos = System.nanoTime();
                progress.accept(onLoop(
                        () -> ProgressSnapshot.of(scenario, layout, faults, context.history(), context.nowMicros())));
            }
            cpu.startIfWarm();
            faultInjector.throwIfFailed();
        }
    }

    private boolean isSettled() {
        return onLoop(() -> loadGenerator.unsettled() == 0
                && context.history().messages().stream()
                        .allMatch(message -> message.clientOutcome() != MessageHistory.ClientOutcome.ACCEPTED
                                || message.deliveredAtMicros() >= 0));
    }

    private <T> T onLoop(Callable<T> task) {
        return loop.submit(task).syncUninterruptibly().getNow();
    }

    /** Measures the CPU time of the relays after the warm-up. To be used by one thread. */
    private final class CpuMeasurement {
        private static final long NOT_STARTED = -1;

        private long startedAtMicros = NOT_STARTED;
        private double cpuSecondsAtStart;

        void startIfWarm() throws IOException {
            if (startedAtMicros == NOT_STARTED && context.nowMicros() >= scenario.durationMicros() / WARM_UP_DIVISOR) {
                startedAtMicros = context.nowMicros();
                cpuSecondsAtStart = relays.cpuSeconds();
            }
        }

        double elapsedMicros() throws IOException {
            return (relays.cpuSeconds() - cpuSecondsAtStart) * MICROS_PER_SECOND;
        }

        /** Messages submitted since the start of the measurement, at least 1. */
        long measuredMessages(RunHistory history) {
            return Math.max(
                    1,
                    history.messages().stream()
                            .filter(message -> message.submittedAtMicros() >= startedAtMicros)
                            .count());
        }
    }

    @Override
    public void close() throws IOException {
        faultInjector.close();
        relays.close();
        discovery.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
