package loftflow.experiment.loopback;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import loftflow.fake.ServedRelay;

/** The relay processes of a run. Thread-safe, except that relays are added by one thread before anything else. */
final class RelayFleet implements AutoCloseable {
    private static final long POLL_INTERVAL_MILLIS = 50;
    private static final long READY_TIMEOUT_SECONDS = 30;
    private static final List<String> JVM_OPTIONS = List.of("-Xms48m", "-Xmx128m", "-XX:MaxDirectMemorySize=32m");

    private final LoopbackRun.RelayProgram program;
    private final Path folder;
    private final EventLoop loop;
    private final LoadGenerator loadGenerator;
    private final List<ServedRelay> relays = new CopyOnWriteArrayList<>();
    /** For each relay its main class and arguments. */
    private final List<List<String>> commands = new ArrayList<>();
    /** Relays that have crashed and not restarted yet. */
    private final Set<Integer> relaysDown = ConcurrentHashMap.newKeySet();

    private double cpuSecondsOfStopped;

    /**
     * Creates an empty fleet.
     *
     * @param folder for the logs of the relays
     * @param loadGenerator is given the address of each relay that serves, on the event loop
     */
    RelayFleet(LoopbackRun.RelayProgram program, Path folder, EventLoop loop, LoadGenerator loadGenerator) {
        this.program = program;
        this.folder = folder;
        this.loop = loop;
        this.loadGenerator = loadGenerator;
    }

    /** Starts a further relay; it may not serve yet when this returns. */
    void add(List<String> command) throws IOException {
        commands.add(command);
        relays.add(start(commands.size() - 1));
    }

    private ServedRelay start(int relay) throws IOException {
        return ServedRelay.start(program.program(), JVM_OPTIONS, commands.get(relay), folder.resolve("log" + relay));
    }

    int size() {
        return relays.size();
    }

    /** Waits until every relay serves. */
    void awaitServing() throws IOException, InterruptedException {
        for (int relay = 0; relay < relays.size(); relay++) {
            awaitServing(relay);
        }
    }

    private void awaitServing(int relay) throws IOException, InterruptedException {
        ServedRelay served = relays.get(relay).awaitServing();
        if (!program.baseline()) {
            awaitReady(relay, served);
        }
        InetSocketAddress address = new InetSocketAddress(served.host(), served.port());
        loop.submit(() -> loadGenerator.setRelayAddress(relay, address)).syncUninterruptibly();
    }

    private static void awaitReady(int relay, ServedRelay served) throws IOException, InterruptedException {
        long timeoutNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
        try (var client = served.client()) {
            while (!client.isReady()) {
                if (System.nanoTime() > timeoutNanos) {
                    throw new IOException("relay " + relay + " does not get ready: "
                            + served.log().strip());
                }
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
            }
        }
    }

    /** Kills a relay; false if it is down already. */
    boolean crash(int relay) throws IOException, InterruptedException {
        if (!relaysDown.add(relay)) {
            return false;
        }
        ServedRelay process = relays.get(relay);
        loop.submit(() -> loadGenerator.setRelayAddress(relay, null)).sync();
        addStopped(process.cpuSeconds());
        process.close();
        return true;
    }

    private synchronized void addStopped(double cpuSeconds) {
        cpuSecondsOfStopped += cpuSeconds;
    }

    /** Starts a relay that has crashed, and waits until it serves. */
    void restart(int relay) throws IOException, InterruptedException {
        relays.set(relay, start(relay));
        awaitServing(relay);
    }

    /** Counts a relay as up again; until then its exit is no failure. */
    void markUp(int relay) {
        relaysDown.remove(relay);
    }

    /** True while a relay has crashed and is not marked as up again. */
    boolean hasRelaysDown() {
        return !relaysDown.isEmpty();
    }

    /**
     * CPU seconds used by all relays so far.
     *
     * @throws RelayExitedException if a relay has exited that was not killed
     */
    synchronized double cpuSeconds() throws IOException {
        double cpuSeconds = cpuSecondsOfStopped;
        for (int relay = 0; relay < relays.size(); relay++) {
            if (relays.get(relay).process().isAlive()) {
                cpuSeconds += relays.get(relay).cpuSeconds();
            } else if (!relaysDown.contains(relay)) {
                throw new RelayExitedException("relay " + relay + " has ended by itself: "
                        + relays.get(relay).log().strip());
            }
        }
        return cpuSeconds;
    }

    @Override
    public void close() {
        relays.forEach(ServedRelay::close);
    }
}
