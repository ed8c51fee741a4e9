package loftflow.experiment.loopback;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import loftflow.experiment.emulator.EmulatedEndpoint;
import loftflow.experiment.evaluation.ProgressSnapshot;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.history.RunHistory;
import loftflow.experiment.scenario.Arrival;
import loftflow.experiment.scenario.FaultSchedule;
import loftflow.experiment.scenario.Scenario;
import loftflow.fake.FakeDiscoveryAgent;
import loftflow.fake.ServedRelay;

/**
 * One run of a scenario by whole relays. Threads beside the relays' own processes: one for all sockets and the history,
 * one
 * that lets messages go at their times, one that starts and kills relays and changes discovery's list.
 */
public final class LoopbackRun implements AutoCloseable {
    /** Several relays may start at once. */
    private static final int STAGE_THREADS = 8;

    private static final long LOOK_MS = 50;
    private static final long READY_S = 30;
    /** What a relay uses for a message is counted once this part of the span is over. */
    private static final int WARM = 4;

    private static final double MICROS = 1e6;
    private static final List<String> OPTIONS = List.of("-Xms48m", "-Xmx128m", "-XX:MaxDirectMemorySize=32m");
    /** Everything is ready before the first message is due. */
    private static final long AHEAD_MS = 500;

    /**
     * What came of it.
     *
     * @param lateness by how much messages left late
     * @param cpu microseconds of all relays for a message, from the time on when a quarter of the span is over, by when
     *     a relay
     *     has compiled what it uses; with what restarts take
     */
    public record Outcome(RunHistory history, Lateness lateness, double cpu) {
        /** Beyond this lateness of one message in a hundred the run says more of this machine than of a relay. */
        public static final long MOST_LATE = 50_000;

        /** True where messages left when they were due. */
        public boolean isValid() {
            return lateness.p99() <= MOST_LATE;
        }
    }

    /**
     * What runs as each relay of a fleet.
     *
     * @param bare whether a {@link BaselineProxy} stands in each relay's place
     */
    public record Fleet(ServedRelay.Program program, boolean bare) {
        /** Relays of this program, on any core. */
        public static final Fleet OWN = new Fleet(ServedRelay.Program.OWN, false);
    }

    /** A relay that nobody killed has ended. */
    public static final class EndedException extends IOException {
        private static final long serialVersionUID = 1;

        EndedException(String message) {
            super(message);
        }
    }

    /** By how many microseconds messages left late: half of them, one in a hundred, and the latest. */
    public record Lateness(long p50, long p99, long most) {}

    private final Scenario scenario;
    private final Scenario.Layout layout;
    private final FaultSchedule faults;
    private final Fleet fleet;
    private final Path folder;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final ScheduledExecutorService stage = new ScheduledThreadPoolExecutor(STAGE_THREADS);
    private final FakeDiscoveryAgent discovery = new FakeDiscoveryAgent();
    private final List<EndpointServer> endpoints = new ArrayList<>();
    private final List<String> states = new ArrayList<>();
    private final List<ServedRelay> relays = new CopyOnWriteArrayList<>();
    /** What starts each relay: its main class and what follows. */
    private final List<List<String>> commands = new ArrayList<>();
    /** Relays that are dead, or not yet back. */
    private final Set<Integer> away = ConcurrentHashMap.newKeySet();

    private final RunContext world;
    private final LoadGenerator programs;
    private final CompletionServer notices;
    private final long startNanos;
    /** What those used that have died. */
    private double cpuOfTheDead;

    private Exception broken;

    /**
     * Starts everything a run needs, the relays too.
     *
     * @param fleet what runs as each relay of the fleet
     * @param folder for the relays' files, journals and logs
     */
    public LoopbackRun(Scenario scenario, Scenario.Rules rules, long seed, Fleet fleet, Path folder)
            throws IOException, InterruptedException {
        this.scenario = scenario;
        this.fleet = fleet;
        this.folder = folder;
        layout = scenario.layout();
        faults = FaultSchedule.of(scenario, layout, seed);
        // The time that starting takes is not known: the clock of the run begins when it is over.
        RunClock clock = new RunClock();
        world = new RunContext(scenario, loop, clock);
        programs = new LoadGenerator(world);
        try {
            notices = new CompletionServer(world, programs);
            for (EmulatedEndpoint model : EmulatedEndpoint.all(layout, rules, faults, world.history(), seed)) {
                endpoints.add(new EndpointServer(world, model, layout));
                states.add("in_service");
            }
            tell();
            for (int i = 0; i < scenario.fleet().relays(); i++) {
                commands.add(
                        fleet.bare()
                                ? proxy()
                                : ServedRelay.serving(RelayFileWriter.write(
                                        scenario, layout, i, discovery.address(), notices.address(), folder)));
                relays.add(start(i));
            }
            for (int i = 0; i < relays.size(); i++) {
                serves(i);
            }
            startNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AHEAD_MS);
            clock.begin(startNanos);
        } catch (IOException | InterruptedException | RuntimeException e) {
            close();
            throw e;
        }
    }

    private ServedRelay start(int relay) throws IOException {
        return ServedRelay.start(fleet.program(), OPTIONS, commands.get(relay), folder.resolve("log" + relay));
    }

    private List<String> proxy() {
        List<String> command = new ArrayList<>(List.of(BaselineProxy.class.getName()));
        layout.endpoints()
                .forEach(e -> command.add(
                        e.partner() + "=" + endpoints.get(e.number()).address()));
        return command;
    }

    private void serves(int relay) throws IOException, InterruptedException {
        ServedRelay served = relays.get(relay).awaitServing();
        // A bare proxy is ready when it serves.
        if (!fleet.bare()) {
            awaitReady(relay, served);
        }
        InetSocketAddress address = new InetSocketAddress(served.host(), served.port());
        loop.submit(() -> programs.at(relay, address)).syncUninterruptibly();
    }

    private static void awaitReady(int relay, ServedRelay served) throws IOException, InterruptedException {
        try (var client = served.client()) {
            for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_S); !client.isReady(); ) {
                if (System.nanoTime() > end) {
                    throw new IOException("relay " + relay + " does not get ready: "
                            + served.log().strip());
                }
                TimeUnit.MILLISECONDS.sleep(LOOK_MS);
            }
        }
    }

    private synchronized void tell() {
        List<String> entries = new ArrayList<>();
        for (Scenario.Endpoint e : layout.endpoints()) {
            entries.add(FakeDiscoveryAgent.entry(
                    e.route(),
                    e.partner(),
                    layout.partners().get(e.partner()).group().kind(),
                    e.building(),
                    states.get(e.number()),
                    endpoints.get(e.number()).address()));
        }
        discovery.list(entries);
    }

    /**
     * Plays messages until nothing more is to come of any.
     *
     * @param beforeEach is told what is due next; a test stalls there
     * @param progress is shown once a second how the run stands
     * @throws EndedException where a relay has ended that nobody killed
     * @throws IOException where a relay did not come back, or discovery did not
     */
    public Outcome play(Iterator<Arrival> arrivals, LongConsumer beforeEach, Consumer<ProgressSnapshot> progress)
            throws IOException, InterruptedException {
        schedule();
        OpenLoopSchedule pace = new OpenLoopSchedule(
                arrivals, startNanos, arrival -> loop.execute(() -> programs.arrive(arrival)), beforeEach);
        Thread thread = new Thread(pace, "lab-pace");
        thread.start();
        long end = scenario.span() + scenario.patience();
        long shown = System.nanoTime();
        long counted = -1;
        double cpuBefore = 0;
        // A relay that is to come back may yet owe something, and its absence is recorded only then.
        try {
            while (thread.isAlive() || (!away.isEmpty() || !isSettled()) && world.now() < end) {
                TimeUnit.MILLISECONDS.sleep(LOOK_MS);
                if (System.nanoTime() >= shown + TimeUnit.SECONDS.toNanos(1)) {
                    shown = System.nanoTime();
                    progress.accept(loop.submit(
                                    () -> ProgressSnapshot.of(scenario, layout, faults, world.history(), world.now()))
                            .syncUninterruptibly()
                            .getNow());
                }
                if (counted < 0 && world.now() >= scenario.span() / WARM) {
                    counted = world.now();
                    cpuBefore = cpuSeconds();
                }
                checkStage();
            }
        } finally {
            // Guards against messages that go on leaving for a run that has broken off.
            thread.interrupt();
            thread.join();
        }
        checkStage();
        double cpu = cpuSeconds() - cpuBefore;
        long from = counted;
        RunHistory history = loop.submit(() -> {
                    endpoints.forEach(EndpointServer::down);
                    return world.history();
                })
                .syncUninterruptibly()
                .getNow();
        return new Outcome(
                history,
                pace.lateness(),
                cpu
                        * MICROS
                        / Math.max(
                                1,
                                history.asks().stream()
                                        .filter(a -> a.at() >= from)
                                        .count()));
    }

    private synchronized double cpuSeconds() throws IOException {
        double cpu = cpuOfTheDead;
        for (int number = 0; number < relays.size(); number++) {
            if (relays.get(number).process().isAlive()) {
                cpu += relays.get(number).cpuSeconds();
            } else if (!away.contains(number)) {
                throw new EndedException("relay " + number + " has ended by itself: "
                        + relays.get(number).log().strip());
            }
        }
        return cpu;
    }

    private synchronized void checkStage() throws IOException {
        if (broken != null) {
            throw new IOException("the run broke off: " + broken.getMessage(), broken);
        }
    }

    private boolean isSettled() {
        return loop.submit(() -> programs.unsettled() == 0
                        && world.history().asks().stream()
                                .allMatch(a -> a.told() != MessageHistory.Told.TAKEN || a.doneAt() >= 0))
                .syncUninterruptibly()
                .getNow();
    }

    // ---- what goes wrong

    private void schedule() {
        Set<Long> restarts = new HashSet<>();
        for (FaultSchedule.Strike strike : faults.strikes()) {
            if (strike.failure().kind() == Scenario.Kind.DISCOVERY) {
                at(strike.from(), discovery::stop);
                if (faults.told(strike.to()) == strike.to() && restarts.add(strike.to())) {
                    at(strike.to(), discovery::restart);
                }
            } else if (strike.failure().kind() == Scenario.Kind.DOWN) {
                for (int e = 0; e < endpoints.size(); e++) {
                    EndpointServer endpoint = endpoints.get(e);
                    if (faults.state(e, strike.from()).meets() == FaultSchedule.Meets.DOWN) {
                        at(strike.from(), () -> loop.submit(endpoint::down).sync());
                        if (faults.state(e, strike.to()).meets() != FaultSchedule.Meets.DOWN) {
                            at(strike.to(), () -> loop.submit(endpoint::up)
                                    .sync()
                                    .getNow()
                                    .sync());
                        }
                    }
                }
            }
        }
        for (FaultSchedule.Drain drain : faults.drains()) {
            at(drain.from(), () -> drains(drain.endpoint(), "terminating"));
            at(drain.gone(), () -> {
                drains(drain.endpoint(), "terminated");
                loop.submit(endpoints.get(drain.endpoint())::down).sync();
            });
        }
        for (FaultSchedule.Death death : faults.deaths()) {
            at(death.at(), () -> dies(death));
        }
    }

    /** One that is away already does not die once more. */
    private void dies(FaultSchedule.Death death) throws IOException, InterruptedException {
        int number = death.relay();
        if (!away.add(number)) {
            return;
        }
        ServedRelay relay = relays.get(number);
        loop.submit(() -> programs.at(number, null)).sync();
        died(relay.cpuSeconds());
        relay.close();
        at(death.back(), () -> {
            relays.set(number, start(number));
            serves(number);
            long back = world.now();
            loop.submit(() -> world.history().away(new RunHistory.Away(number, death.at(), back)))
                    .sync();
            away.remove(number);
        });
    }

    private void drains(int endpoint, String state) throws InterruptedException {
        synchronized (this) {
            states.set(endpoint, state);
        }
        tell();
        loop.submit(() -> {
                    for (int relay = 0; relay < relays.size(); relay++) {
                        world.drains(relay, endpoint);
                    }
                })
                .sync();
    }

    private synchronized void died(double cpuSeconds) {
        cpuOfTheDead += cpuSeconds;
    }

    private interface Step {
        void run() throws IOException, InterruptedException;
    }

    private void at(long micros, Step step) {
        stage.schedule(
                () -> {
                    try {
                        step.run();
                    } catch (IOException | RuntimeException e) {
                        breaks(e);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                startNanos + TimeUnit.MICROSECONDS.toNanos(micros) - System.nanoTime(),
                TimeUnit.NANOSECONDS);
    }

    private synchronized void breaks(Exception e) {
        broken = broken == null ? e : broken;
    }

    @Override
    public void close() throws IOException {
        stage.shutdownNow();
        relays.forEach(ServedRelay::close);
        discovery.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
