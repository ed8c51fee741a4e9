package rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Hosts send an answer twice and then hang: the message of the next call on that connection is lost. */
public final class LostBehindCopy {
    private static final int PARTNERS = 3;
    /** The network between the relay and the hosts, one way; they stand in another building. */
    private static final long LATENCY_MILLIS = 100;

    private static final long SERVICE_MILLIS = 80;
    /** An answer is written a second time after this, before any call that the relay sends behind the first can come. */
    private static final long COPY_AFTER_MILLIS = 170;
    /** For so long the client's messages go to one partner, before they go to the next. */
    private static final long WINDOW_MILLIS = 6_000;

    private static final long TROUBLE_AFTER_MILLIS = 3_000;
    private static final long MIN_GAP_MILLIS = 45;
    private static final long MAX_GAP_MILLIS = 62;
    /** COPY=0 leaves the second answer out, and the hang in. */
    private static final boolean SENDS_COPY = !"0".equals(System.getenv("COPY"));

    private static final long HANG_MILLIS = 8_000;
    private static final long BUDGET_MILLIS = 5_000;

    private final Rig.Record record;
    private final Map<String, Long> deliveredAt = new ConcurrentHashMap<>();
    private final ScheduledExecutorService network = Executors.newScheduledThreadPool(4, task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    private LostBehindCopy(Rig.Record record) {
        this.record = record;
    }

    public static void main(String[] args) {
        Rig.main((record, root, folder) -> new LostBehindCopy(record).run(root, folder));
    }

    private record Arrived(Rig.Request request, long at) {}

    private final class Host {
        final String uid;
        final long troubleAt;
        final ServerSocket listener = new ServerSocket();
        boolean isTroubleOver = !Rig.hasTrouble();
        volatile long hangsUntil;

        Host(String uid, long troubleAt) throws IOException {
            this.uid = uid;
            this.troubleAt = troubleAt;
            listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
            Rig.daemon(this::accept);
        }

        void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    LinkedBlockingQueue<Arrived> arrived = new LinkedBlockingQueue<>();
                    Rig.daemon(() -> read(socket, arrived));
                    Rig.daemon(() -> serve(socket, arrived));
                }
            } catch (IOException e) {
                // Closed.
            }
        }

        synchronized boolean takesTrouble() {
            if (isTroubleOver || Rig.now() < troubleAt) {
                return false;
            }
            isTroubleOver = true;
            return true;
        }

        synchronized void retryTrouble() {
            isTroubleOver = false;
        }

        void serve(Socket socket, LinkedBlockingQueue<Arrived> arrived) {
            try {
                for (Arrived next = arrived.take(); next.request() != null; next = arrived.take()) {
                    Rig.sleepUntil(next.at());
                    String id = next.request().header("x-call-id");
                    record.line("host " + uid + " port " + socket.getPort() + " got " + id);
                    Rig.sleep(id.isEmpty() ? 5 : SERVICE_MILLIS);
                    Rig.sleepUntil(hangsUntil);
                    if (socket.isClosed()) {
                        return;
                    }
                    String answer = Rig.response(200, id.isEmpty() ? "TEXT" : "");
                    record.line("host " + uid + " port " + socket.getPort() + " answers " + id);
                    send(socket, answer);
                    if (!id.isEmpty()) {
                        deliveredAt.putIfAbsent(id, Rig.now());
                    }
                    if (!id.isEmpty() && takesTrouble()) {
                        Rig.sleep(COPY_AFTER_MILLIS);
                        Arrived behind = arrived.peek();
                        if (behind != null && behind.at() <= Rig.now()) {
                            record.line("no copy, as a call waits");
                            retryTrouble();
                            continue;
                        }
                        record.line("host " + uid + " port " + socket.getPort() + " sends the answer to " + id
                                + " a second time (" + SENDS_COPY + ") and hangs from here");
                        if (SENDS_COPY) {
                            send(socket, answer);
                        }
                        hangsUntil = Rig.now() + HANG_MILLIS;
                    }
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static void read(Socket socket, LinkedBlockingQueue<Arrived> arrived) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Rig.Request next = Rig.read(in); next != null; next = Rig.read(in)) {
                arrived.add(new Arrived(next, Rig.now() + LATENCY_MILLIS));
            }
        } catch (IOException e) {
            // The relay has ended the connection.
        }
        arrived.add(new Arrived(null, 0));
    }

    private void send(Socket socket, String answer) {
        network.schedule(
                () -> {
                    try {
                        Rig.write(socket, answer);
                    } catch (IOException e) {
                        // The relay has ended the connection.
                    }
                },
                LATENCY_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private int run(Path root, Path folder) throws IOException {
        Rig.Agent agent = new Rig.Agent(record);
        long start = Rig.now() + 2_000;
        for (int i = 0; i < PARTNERS; i++) {
            Host host = new Host("host-" + i, start + i * WINDOW_MILLIS + TROUBLE_AFTER_MILLIS);
            agent.put(
                    host.uid, "127.0.0.1:" + host.listener.getLocalPort(), "main-building", "elevators", i, "in_service");
        }
        Rig.Relay relay = new Rig.Relay(record, root, folder, "n0", Rig.SETTINGS);
        relay.configure(agent.address(), agent.fullList());
        if (!relay.start(agent.address())) {
            return Rig.NOT_RUN;
        }
        Rig.Client client = new Rig.Client(record, relay);
        Random gaps = new Random(7);
        long end = start + PARTNERS * WINDOW_MILLIS;
        for (long next = start; next < end; next += MIN_GAP_MILLIS + gaps.nextInt((int) (MAX_GAP_MILLIS - MIN_GAP_MILLIS))) {
            Rig.sleepUntil(next);
            int partner = (int) ((next - start) / WINDOW_MILLIS);
            Rig.daemon(() -> client.send("status-update", partner, BUDGET_MILLIS));
        }
        Rig.sleep(BUDGET_MILLIS + 1_500);
        long lost = client.sent.stream()
                .filter(sent -> sent.status() == 202
                        && !deliveredAt.containsKey(sent.id())
                        && !agent.notices.containsKey(sent.id()))
                .peek(sent -> record.line("lost: " + sent))
                .count();
        record.line("sent " + client.sent.size() + " lost messages " + lost);
        return lost > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
