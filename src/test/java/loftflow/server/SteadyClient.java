package loftflow.server;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** A well-behaved client that submits one message after another on a connection that it keeps. */
final class SteadyClient implements AutoCloseable {
    private static final long DEFAULT_INTERVAL_MILLIS = 20;
    /** Clients wait so long for a response (PROTOCOL, "Clients to relays"). */
    private static final long CLIENT_TIMEOUT_MILLIS = 400;

    private static final int STATUS_ACCEPTED = 202;
    private static final int STATUS_REJECTED = 503;
    private static final int MESSAGE_TIMEOUT_MILLIS = 20_000;

    private final RelayProcess relay;
    private final long intervalMillis;
    private final Map<Integer, Integer> statuses = new TreeMap<>();
    private Socket connection;
    private int connectionCount;
    private int requestCount;
    private int lateCount;
    private long slowestMillis;

    /** Creates a client, which connects at once. */
    SteadyClient(RelayProcess relay) throws IOException {
        this(relay, DEFAULT_INTERVAL_MILLIS);
    }

    /** Creates a client that pauses for the given time behind each response. */
    SteadyClient(RelayProcess relay, long intervalMillis) throws IOException {
        this.relay = relay;
        this.intervalMillis = intervalMillis;
        connection = relay.connect();
    }

    /** Submits messages for some time, or until the relay has ended. */
    void submitFor(long nanos) throws InterruptedException {
        long end = System.nanoTime() + nanos;
        while (System.nanoTime() < end && relay.isAlive()) {
            submit();
            TimeUnit.MILLISECONDS.sleep(intervalMillis);
        }
    }

    private void submit() {
        long start = System.nanoTime();
        int status = submitOne("steady-" + requestCount++);
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        statuses.merge(status, 1, Integer::sum);
        slowestMillis = Math.max(slowestMillis, millis);
        lateCount += millis > CLIENT_TIMEOUT_MILLIS ? 1 : 0;
    }

    /** Returns the status of the response; 0 if there was none. */
    private int submitOne(String id) {
        try {
            int status = RelayProcess.exchange(
                            connection, RelayProcess.message(id, "safe", 7, MESSAGE_TIMEOUT_MILLIS, "hello"))
                    .status();
            if (status != STATUS_ACCEPTED) {
                reconnect();
            }
            return status;
        } catch (IOException e) {
            reconnect();
            return 0;
        }
    }

    private void reconnect() {
        try {
            connection.close();
            connection = relay.connect();
            connectionCount++;
        } catch (IOException e) {
            // The next request fails, too.
        }
    }

    /** Returns whether every message was accepted or rejected in time. */
    boolean wasAnswered() {
        return lateCount == 0 && Set.of(STATUS_ACCEPTED, STATUS_REJECTED).containsAll(statuses.keySet());
    }

    /** Returns whether every message was accepted in time. */
    boolean wasServed() {
        return lateCount == 0 && statuses.keySet().equals(Set.of(STATUS_ACCEPTED));
    }

    @Override
    public String toString() {
        return "requests by status " + statuses + ", late " + lateCount + ", slowest ms " + slowestMillis
                + ", reconnections " + connectionCount;
    }

    @Override
    public void close() throws IOException {
        connection.close();
    }
}
