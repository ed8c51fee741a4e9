package loftflow.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import loftflow.config.tool.ConfigTool;
import loftflow.fake.FakeBroker;
import loftflow.fake.FakeBroker.PublishOutcome;
import loftflow.fake.ServedRelay;
import loftflow.journal.Journal;

/** One run: a relay with its clients, upstreams and discovery, restarted according to the plan. */
final class SoakRun implements AutoCloseable {
    private static final int HTTP_CLIENTS = 6;
    private static final int HTTP2_CLIENTS = 2;
    private static final int AMQP_CLIENTS = 1;
    private static final int DESCRIPTORS = 256;
    private static final long DISK_BYTES = 24 << 20;
    private static final int BATCH_DESTINATION = 1;
    private static final int PAIR_DESTINATION = 2;
    private static final int BROKER_DESTINATION = 3;
    private static final int OUTAGE_EVERY = 3;
    private static final int PERCENT = 100;
    /** Exceeds the longest deadline and the grace period of its completion. */
    private static final long SETTLE_MILLIS = 9_000;

    private final SoakPlan plan;
    private final Path folder;
    private final SoakHistory history = new SoakHistory();
    private final ClientContext clients = new ClientContext(history);
    private final SoakAgent agent;
    private final ResponseCopies copies;
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
        history.unrecordedNanos = plan.systemFaults().diskFailingNanos();
        agent = new SoakAgent(history);
        copies = new ResponseCopies(plan.copies(), plan.seed());
        for (String name : List.of("batch", "pair-a", "pair-b")) {
            upstreams.add(new SoakUpstream(name, plan.seed(), 0, history, copies));
        }
        broker = new FakeBroker();
        broker.bind("orders", "topic", "elevator.*", "elevator-3");
        broker.setOutcomes(this::brokerOutcome);
        crowd = new SoakCrowd(plan.crowd());
        relay = new RelayUnderTest(
                program,
                start -> plan.systemFaults().environment(stateFolder(), plan.seed(), start),
                writeRelayFile(),
                folder,
                history);
    }

    /** Runs a plan in a folder and returns its history. */
    static SoakHistory run(SoakPlan plan, Path folder, ServedRelay.Program program) throws Exception {
        try (SoakRun run = new SoakRun(plan, folder, program)) {
            run.run();
            return run.history;
        }
    }

    private PublishOutcome brokerOutcome(String id) {
        int drawn = new Random(plan.seed() * 17 + id.hashCode()).nextInt(PERCENT);
        if (drawn < 85) {
            return PublishOutcome.CONFIRM;
        }
        PublishOutcome[] faults = {
            PublishOutcome.NO_CONFIRM,
            PublishOutcome.NACK,
            PublishOutcome.CLOSE_CHANNEL,
            PublishOutcome.CLOSE_CONNECTION,
            PublishOutcome.DROP_BEFORE,
            PublishOutcome.DROP_AFTER
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
            text.append(type.tomlTable());
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
        agent.publish(entries);
    }

    // ---- the run

    private void run() throws Exception {
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
        boolean isOutage = restart.serveMillis() % OUTAGE_EVERY == 0;
        upstreams.get(1).rejectAll(isOutage);
        if (plan.isDiscoveryUsed() && restart.withdrawsEndpoint() && !isPairWithdrawn) {
            withdrawEndpoint();
        }
        ClientContext.pause(restart.serveMillis() / 2);
        agent.setSlow(restart.discovery() == SoakPlan.Discovery.SLOW);
        if (plan.isDiscoveryUsed()) {
            agent.setDown(restart.discovery() == SoakPlan.Discovery.DOWN);
        }
        long signalNanos = signal(restart, ports);
        boolean wasKilled = restart.signals() == SoakPlan.Signals.KILL || relay.awaitEnd(signalNanos);
        clients.markProcessEnding();
        relay.kill();
        long endedNanos = System.nanoTime();
        crowd.close();
        int exitCode = relay.finish(wasKilled);
        relay.awaitStateFolder();
        upstreams.get(1).rejectAll(false);
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
            relay.awaitStateFolder();
            relay.start();
        }
        agent.setDown(false);
        RelayUnderTest.Ports ports = relay.awaitReady();
        agent.setSlow(false);
        history.restarts.add(new SoakHistory.Restart(signalNanos, endedNanos, System.nanoTime(), exitCode, wasKilled));
        clients.allowConnections(ports);
        return ports;
    }

    /** Sends the signals of a restart; returns the time of the first signal that ends the process. */
    private long signal(SoakPlan.RestartPlan restart, RelayUnderTest.Ports ports) throws Exception {
        if (restart.signals() == SoakPlan.Signals.KILL) {
            clients.allowConnections(null);
            clients.markProcessEnding();
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
            history.incidents.add("could not send a signal: " + e);
        }
    }

    /** Removes an endpoint from the discovery list, then starts another service at its address. */
    private void withdrawEndpoint() throws Exception {
        isPairWithdrawn = true;
        listEndpoints();
        history.withdrawals.add(new SoakHistory.Withdrawal("pair-b", agent.awaitAnnounced()));
        // Requests that were in transit at the withdrawal have arrived after this pause.
        ClientContext.pause(700);
        SoakUpstream withdrawn = upstreams.get(2);
        withdrawn.close();
        history.withdrawals.add(new SoakHistory.Withdrawal(SoakHistory.OTHER_SERVICE, agent.awaitAnnounced()));
        upstreams.set(2, new SoakUpstream(SoakHistory.OTHER_SERVICE, plan.seed(), withdrawn.port(), history, copies));
    }

    private void stop() throws Exception {
        long signalNanos = System.nanoTime();
        if (!relay.isAlive()) {
            history.incidents.add("the relay process ended without a signal");
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
            // Whether the relay received a confirm is not observed here, so the scripted outcome of the publish
            // decides.
            history.receipts.add(new SoakHistory.Receipt(
                    posting.id(),
                    "broker",
                    posting.atNanos(),
                    posting.ran(),
                    posting.ran() && brokerOutcome(posting.id()) == PublishOutcome.CONFIRM
                            ? posting.atNanos()
                            : SoakHistory.NEVER,
                    brokerOutcome(posting.id()).name()));
        }
    }

    private void checkJournal() throws IOException {
        try (Journal journal = new Journal(stateFolder(), DISK_BYTES)) {
            int open = journal.openMessages().size();
            if (open > 0) {
                history.incidents.add(open + " messages are still open in the journal after their deadlines");
            }
        } catch (RuntimeException e) {
            history.incidents.add("could not open the journal: " + e);
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
        copies.close();
        broker.close();
        agent.close();
    }
}
