package loftflow.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import loftflow.config.tool.ConfigTool;
import loftflow.fake.FakeBroker;
import loftflow.fake.FakeBroker.Fate;
import loftflow.fake.ServedRelay;
import loftflow.journal.Journal;

/** Plays one seed: a relay with its surroundings, restarted as its plan says. */
final class SoakRun implements AutoCloseable {
    private static final int HTTP_CLIENTS = 6;
    private static final int HTTP2_CLIENTS = 2;
    private static final int AMQP_CLIENTS = 1;
    private static final int DESCRIPTORS = 256;
    private static final long DISK_BYTES = 24 << 20;
    private static final int BATCH_DESTINATION = 1;
    private static final int PAIR_DESTINATION = 2;
    private static final int BROKER_DESTINATION = 3;
    private static final int SHUT_EVERY = 3;
    private static final int PERCENT = 100;
    /** After the last message's deadline and the grace of its completion. */
    private static final long SETTLE_MILLIS = 9_000;

    private final SoakPlan plan;
    private final Path folder;
    private final SoakHistory history = new SoakHistory();
    private final ClientContext clients = new ClientContext(history);
    private final SoakAgent agent;
    private final List<SoakUpstream> upstreams = new ArrayList<>();
    private final FakeBroker broker;
    private final SoakCrowd crowd;
    private final RelayUnderTest relay;
    private final List<Thread> clientThreads = new ArrayList<>();
    private final List<AmqpSoakClient> amqpClients = new ArrayList<>();
    private boolean isPairWithdrawn;

    private SoakRun(SoakPlan plan, Path folder, ServedRelay.Program program) throws Exception {
        this.plan = plan;
        this.folder = folder;
        agent = new SoakAgent(history);
        for (String name : List.of("batch", "pair-a", "pair-b")) {
            upstreams.add(new SoakUpstream(name, plan.seed(), 0, history));
        }
        broker = new FakeBroker();
        broker.bind("orders", "topic", "elevator.*", "elevator-3");
        broker.fateOf(this::brokerFate);
        crowd = new SoakCrowd(plan.crowd());
        relay = new RelayUnderTest(program, writeRelayFile(), folder, history);
    }

    /** Plays a plan in a folder and returns what was seen. */
    static SoakHistory play(SoakPlan plan, Path folder, ServedRelay.Program program) throws Exception {
        try (SoakRun run = new SoakRun(plan, folder, program)) {
            run.play();
            return run.history;
        }
    }

    private Fate brokerFate(String id) {
        int drawn = new Random(plan.seed() * 17 + id.hashCode()).nextInt(PERCENT);
        if (drawn < 85) {
            return Fate.CONFIRM;
        }
        Fate[] faults = {
            Fate.NO_CONFIRM, Fate.NACK, Fate.CLOSE_CHANNEL, Fate.CLOSE_CONNECTION, Fate.DROP_BEFORE, Fate.DROP_AFTER
        };
        return faults[drawn % faults.length];
    }

    // ---- the relay file

    private int destinations() {
        return plan.isDiscoveryUsed() ? PAIR_DESTINATION : BROKER_DESTINATION;
    }

    private Path writeRelayFile() throws Exception {
        StringBuilder text = new StringBuilder(
                """
                format = 1
                name = "soak"
                [machine]
                memory = "160MiB"
                descriptors = %d
                disk = "%dMiB"
                folder = "%s"
                [[front]]
                listen = "127.0.0.1:0"
                [[front]]
                protocol = "http2"
                listen = "127.0.0.1:0"
                [[front]]
                protocol = "amqp"
                listen = "127.0.0.1:0"
                heartbeat = "2s"
                [discovery]
                %snotices = "%s"
                [duplicates]
                span = "1m"
                [[kind]]
                name = "railways"
                batch = 4
                [[kind]]
                name = "elevators"
                routes-apart = true
                """
                        .formatted(
                                DESCRIPTORS,
                                DISK_BYTES >> 20,
                                stateFolder(),
                                plan.isDiscoveryUsed() ? "agent = \"" + agent.discoveryAddress() + "\"\n" : "",
                                agent.noticeAddress()));
        for (MessageClass type : MessageClass.values()) {
            text.append(type.table());
        }
        text.append(plan.isDiscoveryUsed() ? "" : "[[broker]]\nname = \"grain\"\nheartbeat = \"2s\"\n");
        text.append(partner(BATCH_DESTINATION, "railways", "batch", upstreams.get(0)));
        text.append(partner(PAIR_DESTINATION, "elevators", "pair-a", upstreams.get(1)));
        if (!plan.isDiscoveryUsed()) {
            text.append(endpoint("pair-b", upstreams.get(2).address()));
            text.append(
                    "[[partner]]\nname = \"p3\"\nnumber = 3\nkind = \"elevators\"\nresponse = \"200ms\"\nlimit = \"80/s\"\n");
            text.append(endpoint("broker", broker.address()))
                    .append("broker = \"grain\"\nexchange = \"orders\"\nrouting-key = \"elevator.3\"\n");
        }
        Path application = Files.writeString(folder.resolve("app.toml"), text);
        ConfigTool.Outcome outcome = ConfigTool.write(application, folder, true);
        if (outcome.file() == null) {
            throw new IOException(outcome.findings().toString());
        }
        return outcome.file();
    }

    private Path stateFolder() {
        return folder.resolve("state");
    }

    private String partner(int number, String kind, String endpoint, SoakUpstream upstream) {
        String table = "[[partner]]\nname = \"p" + number + "\"\nnumber = " + number + "\nkind = \"" + kind
                + "\"\nresponse = \"200ms\"\nlimit = \"80/s\"\n";
        return plan.isDiscoveryUsed() ? table : table + endpoint(endpoint, upstream.address());
    }

    private static String endpoint(String name, String address) {
        return "[[partner.endpoint]]\nid = \"" + name + "\"\naddress = \"" + address + "\"\n";
    }

    private void listEndpoints() {
        List<String> entries = new ArrayList<>();
        entries.add(SoakAgent.entry(
                "batch", BATCH_DESTINATION, "railways", upstreams.get(0).address()));
        entries.add(SoakAgent.entry(
                "pair-a", PAIR_DESTINATION, "elevators", upstreams.get(1).address()));
        if (!isPairWithdrawn) {
            entries.add(SoakAgent.entry(
                    "pair-b", PAIR_DESTINATION, "elevators", upstreams.get(2).address()));
        }
        agent.list(entries);
    }

    // ---- the run

    private void play() throws Exception {
        history.stalls.start();
        listEndpoints();
        relay.start();
        RelayUnderTest.Ports ports = relay.awaitReady();
        clients.allowConnections(ports);
        startClients();
        for (SoakPlan.RestartPlan restart : plan.restarts()) {
            ports = serveAndRestart(restart, ports);
        }
        ClientContext.pause(1_500);
        clients.end();
        for (Thread thread : clientThreads) {
            thread.join();
        }
        ClientContext.pause(SETTLE_MILLIS);
        stop();
    }

    private void startClients() {
        for (int i = 0; i < HTTP_CLIENTS; i++) {
            startThread(new HttpSoakClient("h" + i, plan.seed(), destinations(), clients));
        }
        for (int i = 0; i < HTTP2_CLIENTS; i++) {
            startThread(new Http2SoakClient("s" + i, plan.seed(), destinations(), clients));
        }
        for (int i = 0; i < AMQP_CLIENTS; i++) {
            AmqpSoakClient client = new AmqpSoakClient("q" + i, plan.seed(), destinations(), clients);
            amqpClients.add(client);
            startThread(client);
        }
    }

    private void startThread(Runnable client) {
        Thread thread = new Thread(client, "soak-client");
        thread.setDaemon(true);
        thread.start();
        clientThreads.add(thread);
    }

    private RelayUnderTest.Ports serveAndRestart(SoakPlan.RestartPlan restart, RelayUnderTest.Ports ports)
            throws Exception {
        ClientContext.pause(restart.serveMillis() / 2);
        crowd.open(ports.http());
        boolean isOutage = restart.serveMillis() % SHUT_EVERY == 0;
        upstreams.get(1).shut(isOutage);
        if (plan.isDiscoveryUsed() && restart.withdrawsEndpoint() && !isPairWithdrawn) {
            withdrawEndpoint();
        }
        ClientContext.pause(restart.serveMillis() / 2);
        agent.slow(restart.discovery() == SoakPlan.Discovery.SLOW);
        if (plan.isDiscoveryUsed()) {
            agent.down(restart.discovery() == SoakPlan.Discovery.DOWN);
        }
        long signalNanos = signal(restart, ports);
        boolean wasKilled = restart.signals() == SoakPlan.Signals.KILL || relay.awaitEnd(signalNanos);
        clients.processEnds();
        relay.kill();
        long endedNanos = System.nanoTime();
        crowd.close();
        int exitCode = relay.finish(wasKilled);
        relay.awaitFolder();
        upstreams.get(1).shut(false);
        return startNext(restart, signalNanos, endedNanos, exitCode, wasKilled);
    }

    private RelayUnderTest.Ports startNext(
            SoakPlan.RestartPlan restart, long signalNanos, long endedNanos, int exitCode, boolean wasKilled)
            throws Exception {
        relay.start();
        if (restart.signals() == SoakPlan.Signals.TERM_DURING_NEXT_START) {
            ClientContext.pause(restart.secondSignalMillis());
            long secondSignal = System.nanoTime();
            relay.terminate();
            boolean hadToBeKilled = relay.awaitEnd(secondSignal);
            relay.kill();
            relay.finish(hadToBeKilled);
            relay.awaitFolder();
            relay.start();
        }
        agent.down(false);
        RelayUnderTest.Ports ports = relay.awaitReady();
        agent.slow(false);
        history.restarts.add(new SoakHistory.Restart(signalNanos, endedNanos, System.nanoTime(), exitCode, wasKilled));
        clients.allowConnections(ports);
        return ports;
    }

    /** Sends the signals of a restart; returns when the first one was sent that ends the process. */
    private long signal(SoakPlan.RestartPlan restart, RelayUnderTest.Ports ports) throws Exception {
        if (restart.signals() == SoakPlan.Signals.KILL) {
            clients.allowConnections(null);
            clients.processEnds();
            return System.nanoTime();
        }
        signalBefore(restart);
        long signalNanos = System.nanoTime();
        relay.terminate();
        Thread series = new Thread(() -> signalAfter(restart), "soak-signals");
        series.start();
        ClientContext.pause(restart.newConnectionsMillis());
        clients.allowConnections(null);
        crowd.open(ports.http());
        series.join();
        return signalNanos;
    }

    private void signalBefore(SoakPlan.RestartPlan restart) throws Exception {
        if (restart.signals() == SoakPlan.Signals.HANG_UP_AROUND_TERM) {
            relay.hangUp();
        } else if (restart.signals() == SoakPlan.Signals.BAD_FILE_THEN_TERM) {
            String text = relay.readFile();
            relay.writeFile(text.substring(0, text.length() / 2));
            relay.hangUp();
            ClientContext.pause(150);
            relay.writeFile(text);
        }
    }

    private void signalAfter(SoakPlan.RestartPlan restart) {
        try {
            switch (restart.signals()) {
                case TERM_TWICE_AT_ONCE -> relay.terminate();
                case TERM_TWICE_SOON, TERM_TWICE_LATE -> {
                    ClientContext.pause(restart.secondSignalMillis());
                    relay.terminate();
                }
                case HANG_UP_AROUND_TERM -> {
                    relay.hangUp();
                    ClientContext.pause(restart.secondSignalMillis());
                    relay.terminate();
                    relay.hangUp();
                }
                default -> {}
            }
        } catch (IOException | InterruptedException e) {
            history.incidents.add("a signal could not be sent: " + e);
        }
    }

    /** Removes an endpoint from discovery's list; another service answers at its address from then on. */
    private void withdrawEndpoint() throws Exception {
        isPairWithdrawn = true;
        listEndpoints();
        history.withdrawals.add(new SoakHistory.Withdrawal("pair-b", agent.awaitTold()));
        // What was under way has arrived by then.
        ClientContext.pause(700);
        SoakUpstream withdrawn = upstreams.get(2);
        withdrawn.close();
        history.withdrawals.add(new SoakHistory.Withdrawal(SoakHistory.OTHER_SERVICE, agent.awaitTold()));
        upstreams.set(2, new SoakUpstream(SoakHistory.OTHER_SERVICE, plan.seed(), withdrawn.port(), history));
    }

    private void stop() throws Exception {
        long signalNanos = System.nanoTime();
        if (!relay.isAlive()) {
            history.incidents.add("the relay ended by itself");
        }
        relay.terminate();
        boolean wasKilled = relay.awaitEnd(signalNanos);
        relay.kill();
        relay.finish(wasKilled);
        recordBrokerPostings();
        checkJournal();
    }

    private void recordBrokerPostings() {
        for (FakeBroker.Posting posting : broker.postings()) {
            // The relay reports these as delivered itself, or as failed: whether a confirm came is not seen here.
            history.receipts.add(new SoakHistory.Receipt(
                    posting.id(),
                    "broker",
                    posting.atNanos(),
                    posting.ran(),
                    posting.ran() && brokerFate(posting.id()) == Fate.CONFIRM ? posting.atNanos() : SoakHistory.NEVER,
                    brokerFate(posting.id()).name()));
        }
    }

    private void checkJournal() throws IOException {
        try (Journal journal = new Journal(stateFolder(), DISK_BYTES)) {
            int open = journal.openMessages().size();
            if (open > 0) {
                history.incidents.add(open + " messages are open in the journal after their deadlines");
            }
        } catch (RuntimeException e) {
            history.incidents.add("the journal does not open: " + e);
        }
    }

    @Override
    public void close() throws IOException {
        clients.end();
        amqpClients.forEach(AmqpSoakClient::close);
        history.stalls.close();
        crowd.close();
        relay.kill();
        for (SoakUpstream upstream : upstreams) {
            upstream.close();
        }
        broker.close();
        agent.close();
    }
}
