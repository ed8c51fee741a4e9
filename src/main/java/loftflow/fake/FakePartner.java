package loftflow.fake;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loftflow.protocol.HostProtocol;
import loftflow.protocol.MessageHeaders;

/**
 * An endpoint of a partner on a loopback port (PROTOCOL, Relays to hosts). Accepts calls with a single message up to a
 * rate limit, responds after a configured time, fails on demand, and records every call. Executions are counted by
 * message id, so that a message that took effect twice can be detected.
 */
public final class FakePartner implements AutoCloseable {
    /** The behavior for calls. */
    public enum Behavior {
        /** 200 after the response time. */
        NORMAL,
        /** 503 at once; the message is not executed. */
        UNAVAILABLE,
        /** The message is executed, and the connection closes without a response. */
        RESET,
        /** The message is executed, no response is sent, and the connection stays open. */
        SILENT,
        /** The message is executed at once, and 200 follows after the delay set by {@link #lateBy}. */
        LATE
    }

    /** A call that was received whole; {@code key} is null and {@code status} 0 if there is none. */
    public record Posting(String id, String key, long atNanos, boolean ran, int status) {}

    private static final long SECOND = 1_000_000_000;
    private static final int NO_ANSWER = 0;

    private ScriptedPeer peer;
    /** Number of restarts; a call that was received before the last restart is no longer executed. */
    private int generation;

    private final long responseMillis;
    private final int limit;
    private final List<Posting> postings = new ArrayList<>();
    private final Map<String, Integer> effects = new HashMap<>();
    private final List<Long> acceptedAt = new ArrayList<>();
    private final List<Long> checks = new ArrayList<>();
    private Behavior behavior = Behavior.NORMAL;
    private long lateMillis;
    private long returnedAt;
    private double coldFrom;
    /** 0 unless the endpoint has returned cold. */
    private long warmUpNanos;

    /**
     * Starts an endpoint on a free port.
     *
     * @param responseMillis time until the response to a call, in milliseconds
     * @param limit maximum number of calls in any second, beyond which calls are answered with 503; 0 for no limit
     */
    public FakePartner(long responseMillis, int limit) throws IOException {
        this.responseMillis = responseMillis;
        this.limit = limit;
        peer = new ScriptedPeer(request -> meet(request, 0));
    }

    /** Restarts at the same address; calls that are not processed yet are never executed. */
    public synchronized void restart(Behavior next) throws IOException {
        behavior = next;
        int current = ++generation;
        int port = peer.port();
        peer.close();
        peer = new ScriptedPeer(port, request -> meet(request, current));
    }

    public String address() {
        return peer.address();
    }

    /** Sets the behavior for calls from now on. */
    public synchronized void setBehavior(Behavior next) {
        behavior = next;
    }

    /** Delays each response from now on by a number of milliseconds. */
    public synchronized void lateBy(long millis) {
        lateMillis = millis;
        behavior = Behavior.LATE;
    }

    /**
     * Returns the endpoint to service with a reduced rate limit, which rises linearly until the end of the warm-up.
     *
     * @param from fraction of the limit at the start, from 0 to 1
     * @param warmUpMillis duration of the warm-up
     */
    public synchronized void returnCold(double from, long warmUpMillis) {
        coldFrom = from;
        warmUpNanos = TimeUnit.MILLISECONDS.toNanos(warmUpMillis);
        returnedAt = System.nanoTime();
        behavior = Behavior.NORMAL;
    }

    /** Returns the rate limit in calls per second at a time, which is given by {@link System#nanoTime}. */
    public synchronized double able(long nanos) {
        if (nanos < returnedAt || warmUpNanos == 0) {
            return limit;
        }
        return limit * Math.min(1, coldFrom + (1 - coldFrom) * (nanos - returnedAt) / warmUpNanos);
    }

    /** Returns the times of health and load requests, by {@link System#nanoTime}. */
    public synchronized List<Long> checks() {
        return List.copyOf(checks);
    }

    /** Returns all calls so far. */
    public synchronized List<Posting> postings() {
        return List.copyOf(postings);
    }

    /** Returns the number of executions by message id. */
    public synchronized Map<String, Integer> effects() {
        return Map.copyOf(effects);
    }

    private String meet(ScriptedPeer.Request request, int callGeneration) {
        if (request.line().startsWith("GET /-/")) {
            return check();
        }
        if (!request.line().startsWith("POST " + HostProtocol.SINGLE_PATH + " ")) {
            return ScriptedPeer.status(404);
        }
        Behavior now;
        synchronized (this) {
            if (callGeneration != generation) {
                return ScriptedPeer.CLOSE;
            }
            now = behavior;
            boolean isOverLimit = limit > 0 && !hasRoom();
            boolean ran = now != Behavior.UNAVAILABLE && !isOverLimit;
            int status = !ran ? 503 : now == Behavior.NORMAL || now == Behavior.LATE ? 200 : NO_ANSWER;
            postings.add(new Posting(
                    request.id(),
                    request.headers().get(MessageHeaders.IDEMPOTENCY_KEY.toLowerCase(java.util.Locale.ROOT)),
                    System.nanoTime(),
                    ran,
                    status));
            if (!ran) {
                return ScriptedPeer.status(503);
            }
            effects.merge(request.id(), 1, Integer::sum);
        }
        if (now == Behavior.RESET) {
            return ScriptedPeer.CLOSE;
        }
        if (now == Behavior.SILENT) {
            return ScriptedPeer.SILENCE;
        }
        pause(now == Behavior.LATE ? lateMillis() : responseMillis);
        return ScriptedPeer.status(200);
    }

    private synchronized String check() {
        checks.add(System.nanoTime());
        return ScriptedPeer.status(behavior == Behavior.UNAVAILABLE ? 503 : 200);
    }

    private boolean hasRoom() {
        long now = System.nanoTime();
        acceptedAt.removeIf(at -> now - at >= SECOND);
        if (acceptedAt.size() >= Math.max(1, able(now))) {
            return false;
        }
        acceptedAt.add(now);
        return true;
    }

    private synchronized long lateMillis() {
        return lateMillis;
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        peer.close();
    }
}
