package loftflow.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loftflow.protocol.HostProtocol;

/**
 * An endpoint of the host protocol that injects faults. Its behavior for a call is derived from the seed, the message id
 * and the number of the attempt.
 */
final class SoakUpstream implements AutoCloseable {
    /** The behavior for one call. */
    private enum Behavior {
        DELIVER,
        DELIVER_LATE,
        REJECT,
        TELL_WAIT,
        FAIL,
        /** The connection ends after the header section was read; nothing is executed. */
        RESET_EARLY,
        /** The call is executed, and the connection ends without a response. */
        RESET_LATE,
        /** The call is executed, no response is sent, and the connection stays open. */
        SILENCE,
        /** The call is executed, and a {@link MalformedResponse} is sent. */
        MALFORMED
    }

    /**
     * The result of a call for each of its messages.
     *
     * @param body the body of the response that reports the result
     */
    private record Delivery(List<String> delivered, List<String> rejected, String body) {}

    /** A request that was read whole. */
    private record Call(
            String line, Map<String, String> headers, String body, long firstByteNanos, ArrivalTimes arrivals) {
        /** Waits until the given time has passed since the call arrived. */
        void pause(long millis) {
            arrivals.pauseUntil(firstByteNanos + TimeUnit.MILLISECONDS.toNanos(millis));
        }

        boolean isBatch() {
            return line.contains(HostProtocol.BATCH_PATH + " ");
        }
    }

    private static final Pattern BATCH_ID = Pattern.compile("\"" + HostProtocol.MESSAGE_ID_FIELD + "\":\"([^\"]*)\"");
    private static final int PERCENT = 100;
    /** Spreads neighbouring seeds, for which the first numbers of {@link Random} are similar. */
    private static final long SEED_FACTOR = 0x9E3779B97F4A7C15L;

    private static final int BACKLOG = 256;
    private static final int MAX_BIND_ATTEMPTS = 500;
    private static final long BIND_PAUSE_MILLIS = 20;
    /** Percentage of single-message calls for each {@link Behavior}, in the order of its constants. */
    private static final int[] SINGLE_PERCENTAGES = {86, 2, 1, 1, 2, 1, 2, 1, 4};
    /** As above, while responses are written twice: a copy does harm where the next call ends in another way. */
    private static final int[] SINGLE_PERCENTAGES_WITH_COPIES = {74, 2, 17, 1, 2, 1, 1, 1, 1};
    /** As {@link #SINGLE_PERCENTAGES}, for batches: they are few, and a malformed response affects several messages. */
    private static final int[] BATCH_PERCENTAGES = {78, 2, 1, 1, 2, 1, 2, 1, 12};

    private static final String BATCH_ATTEMPT_KEY = "batch";

    private final String name;
    private final long seed;
    private final SoakHistory history;
    private final ResponseCopies copies;
    private final ServerSocket listener;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final Map<String, AtomicInteger> attemptCounts = new ConcurrentHashMap<>();
    private volatile boolean rejectsAll;

    /** Starts an endpoint on a loopback port, or on a free one if the port is 0. */
    SoakUpstream(String name, long seed, int port, SoakHistory history, ResponseCopies copies) throws IOException {
        this.name = name;
        this.seed = seed;
        this.history = history;
        this.copies = copies;
        listener = listen(port);
        daemon(this::accept);
    }

    /** Binds the port; retries if an outgoing connection temporarily uses it as its local port. */
    private static ServerSocket listen(int port) throws IOException {
        for (int attempt = 1; ; attempt++) {
            try {
                return new ServerSocket(port, BACKLOG, InetAddress.getByName("127.0.0.1"));
            } catch (BindException e) {
                if (attempt == MAX_BIND_ATTEMPTS) {
                    throw e;
                }
                pause(BIND_PAUSE_MILLIS);
            }
        }
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Sets whether the endpoint rejects every call. */
    void rejectAll(boolean rejects) {
        rejectsAll = rejects;
    }

    private static void daemon(Runnable work) {
        Thread thread = new Thread(work, "soak-upstream");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                connections.add(socket);
                daemon(() -> serve(socket));
            }
        } catch (IOException closed) {
            // This endpoint has been closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            ArrivalTimes arrivals = new ArrivalTimes(new BufferedInputStream(socket.getInputStream()));
            while (handleNext(socket, arrivals)) {
                // The connection stays open for the next call.
            }
        } catch (IOException e) {
            // Either side has ended the connection.
        } finally {
            connections.remove(socket);
        }
    }

    /** Reads and handles a call; returns false if the connection is to be closed. */
    private boolean handleNext(Socket socket, ArrivalTimes arrivals) throws IOException {
        InputStream in = arrivals.input();
        int first = in.read();
        if (first < 0) {
            return false;
        }
        long firstByteNanos = arrivals.takeFirstByteNanos();
        String line = (char) first + line(in);
        Map<String, String> headers = new TreeMap<>();
        for (String header = line(in); !header.isEmpty(); header = line(in)) {
            String[] parts = header.split(": ?", 2);
            headers.put(parts[0].toLowerCase(Locale.ROOT), parts[1]);
        }
        if (line.startsWith("GET ")) {
            respond(socket, rejectsAll ? "503 Unavailable" : "200 OK", "", "");
            return true;
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        Behavior drawn = behaviorFor(headers.getOrDefault("x-call-id", BATCH_ATTEMPT_KEY));
        Behavior behavior = drawn == Behavior.SILENCE && !copies.hasSilence() ? Behavior.DELIVER : drawn;
        if (behavior == Behavior.RESET_EARLY && length > 0) {
            return false;
        }
        String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
        if (body.length() < length) {
            return false;
        }
        return handle(socket, new Call(line, headers, body, firstByteNanos, arrivals), behavior);
    }

    private Behavior behaviorFor(String id) {
        if (rejectsAll) {
            return Behavior.REJECT;
        }
        int attempt =
                attemptCounts.computeIfAbsent(id, absent -> new AtomicInteger()).getAndIncrement();
        int drawn = new Random(seed * 31 + id.hashCode() * 1_000_003L + attempt * 7_919L).nextInt(PERCENT);
        int[] percentages = percentagesFor(id);
        for (int i = 0; i < percentages.length; i++) {
            drawn -= percentages[i];
            if (drawn < 0) {
                return Behavior.values()[i];
            }
        }
        return Behavior.DELIVER;
    }

    private int[] percentagesFor(String id) {
        if (id.equals(BATCH_ATTEMPT_KEY)) {
            return BATCH_PERCENTAGES;
        }
        return copies.isActive() ? SINGLE_PERCENTAGES_WITH_COPIES : SINGLE_PERCENTAGES;
    }

    private boolean handle(Socket socket, Call call, Behavior behavior) throws IOException {
        List<String> ids = idsOf(call);
        long unansweredMillis = copies.unansweredMillis(socket);
        if (unansweredMillis > 0) {
            record(ids, call, false, SoakHistory.NEVER, "UNANSWERED");
            call.pause(unansweredMillis);
            return false;
        }
        switch (behavior) {
            case REJECT -> {
                record(ids, call, false, SoakHistory.NEVER, behavior.name());
                call.pause(copies.isActive() ? responseMillis(new Random(seed + ids.hashCode())) : 0);
                respond(socket, "503 Unavailable", "", "");
            }
            case TELL_WAIT -> {
                record(ids, call, false, SoakHistory.NEVER, behavior.name());
                respondRetryAfter(socket);
            }
            case FAIL -> {
                record(ids, call, true, SoakHistory.NEVER, behavior.name());
                respond(socket, "500 Error", "", "");
            }
            case RESET_LATE -> {
                record(ids, call, true, SoakHistory.NEVER, behavior.name());
                return false;
            }
            case SILENCE -> record(ids, call, true, SoakHistory.NEVER, behavior.name());
            case DELIVER, DELIVER_LATE, RESET_EARLY -> deliver(socket, call, ids, behavior);
            case MALFORMED -> {
                return respondMalformed(socket, call, ids);
            }
        }
        return true;
    }

    private static List<String> idsOf(Call call) {
        if (!call.isBatch()) {
            return List.of(call.headers().getOrDefault("x-call-id", ""));
        }
        List<String> ids = new ArrayList<>();
        Matcher id = BATCH_ID.matcher(call.body());
        while (id.find()) {
            ids.add(id.group(1));
        }
        return ids;
    }

    private void respondRetryAfter(Socket socket) throws IOException {
        long waitMillis = 200 + Math.floorMod(System.nanoTime(), 400);
        long now = System.nanoTime();
        history.retryAfters.add(new SoakHistory.RetryAfter(name, now, now + TimeUnit.MILLISECONDS.toNanos(waitMillis)));
        respond(socket, "429 Too Many", HostProtocol.RETRY_AFTER_MILLIS_HEADER + ": " + waitMillis + "\r\n", "");
    }

    private void deliver(Socket socket, Call call, List<String> ids, Behavior behavior) throws IOException {
        Random random = new Random(seed + ids.hashCode());
        call.pause(behavior == Behavior.DELIVER_LATE ? 500 + random.nextInt(2_000) : responseMillis(random));
        Delivery delivery = deliveryOf(call, ids, random);
        record(delivery.rejected(), call, false, SoakHistory.NEVER, behavior.name());
        try {
            respond(socket, "200 OK", "", delivery.body());
            record(delivery.delivered(), call, true, System.nanoTime(), behavior.name());
        } catch (IOException e) {
            record(delivery.delivered(), call, true, SoakHistory.NEVER, behavior.name());
            throw e;
        }
    }

    /** Returns a response time; while responses are written twice, it is long enough for copies to come before it. */
    private long responseMillis(Random random) {
        return copies.isActive() ? copies.responseMillis(random) : 2 + random.nextInt(15);
    }

    private static Delivery deliveryOf(Call call, List<String> ids, Random random) {
        if (!call.isBatch()) {
            return new Delivery(ids, List.of(), "");
        }
        List<String> delivered = new ArrayList<>();
        List<String> rejected = new ArrayList<>();
        List<String> states = new ArrayList<>();
        for (String id : ids) {
            boolean isRejected = random.nextInt(PERCENT) < 10;
            (isRejected ? rejected : delivered).add(id);
            String state = isRejected ? HostProtocol.STATE_REJECTED : HostProtocol.STATE_DELIVERED;
            states.add("{\"" + HostProtocol.MESSAGE_ID_FIELD + "\":\"" + id + "\",\"" + HostProtocol.STATE_FIELD
                    + "\":\"" + state + "\"}");
        }
        return new Delivery(delivered, rejected, "[" + String.join(",", states) + "]");
    }

    /** Sends a randomly selected malformed response; returns false if the connection ends with it. */
    private boolean respondMalformed(Socket socket, Call call, List<String> ids) throws IOException {
        Random random = new Random((seed + ids.hashCode()) * SEED_FACTOR);
        call.pause(2 + random.nextInt(15));
        Delivery delivery = deliveryOf(call, ids, random);
        MalformedResponse response = MalformedResponse.of(random.nextInt(Integer.MAX_VALUE));
        String name = response.nameInReceipt(call.isBatch());
        record(delivery.rejected(), call, false, SoakHistory.NEVER, name);
        long deliveredAtNanos = SoakHistory.NEVER;
        try {
            boolean isKeptOpen = response.write(socket, call.isBatch() ? delivery.body() : "ok", random);
            deliveredAtNanos = response.delivers(call.isBatch()) ? System.nanoTime() : SoakHistory.NEVER;
            return isKeptOpen;
        } finally {
            record(delivery.delivered(), call, true, deliveredAtNanos, name);
        }
    }

    private void record(List<String> ids, Call call, boolean mayHaveExecuted, long deliveredAtNanos, String response) {
        ids.forEach(id -> history.receipts.add(
                new SoakHistory.Receipt(id, name, call.firstByteNanos(), mayHaveExecuted, deliveredAtNanos, response)));
    }

    private void respond(Socket socket, String status, String headers, String body) throws IOException {
        byte[] response = ("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n"
                        + body)
                .getBytes(StandardCharsets.UTF_8);
        socket.getOutputStream().write(response);
        copies.writeAgain(socket, response);
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("the connection ended within a header section");
            }
            bytes.write(next);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1).strip();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
