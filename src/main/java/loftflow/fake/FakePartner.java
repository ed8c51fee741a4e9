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
 * A partner's endpoint on a loopback port (PROTOCOL, Relays to hosts): takes calls of one message, within a limit and
 * in
 * a stated time, fails as it is told, and records every posting. What took effect is counted by id, so that a message
 * that took effect twice shows.
 */
public final class FakePartner implements AutoCloseable {
    /** How a call is met. */
    public enum Mood {
        /** 200 after the response time. */
        WELL,
        /** 503 at once: shut, and nothing runs. */
        SHUT,
        /** The message runs, and the connection closes with no answer. */
        RESETS,
        /** The message runs, and no answer comes. */
        SILENT,
        /** The message runs at once, and its 200 comes after the time of {@link #lateBy}. */
        LATE
    }

    /** A call that came whole. */
    public record Posting(String id, String key, long atNanos, boolean ran, int status) {}

    private static final long SECOND = 1_000_000_000;
    private static final int NO_ANSWER = 0;

    private ScriptedPeer peer;
    /** Counts restarts: what an earlier process has read does not run any more. */
    private int generation;

    private final long responseMillis;
    private final int limit;
    private final List<Posting> postings = new ArrayList<>();
    private final Map<String, Integer> effects = new HashMap<>();
    private final List<Long> taken = new ArrayList<>();
    private final List<Long> checks = new ArrayList<>();
    private Mood mood = Mood.WELL;
    private long lateMillis;
    private long returnedAt;
    private double coldFrom;
    /** 0 where it has never returned cold. */
    private long warmUpNanos;

    /**
     * An endpoint on a free port.
     *
     * @param responseMillis how long a call takes
     * @param limit calls that it takes in any second; more are answered 503; 0 for no limit
     */
    public FakePartner(long responseMillis, int limit) throws IOException {
        this.responseMillis = responseMillis;
        this.limit = limit;
        peer = new ScriptedPeer(request -> meet(request, 0));
    }

    /** Restarts at the same address: what has been sent to it and is not answered yet never runs. */
    public synchronized void restart(Mood next) throws IOException {
        mood = next;
        int current = ++generation;
        int port = peer.port();
        peer.close();
        peer = new ScriptedPeer(port, request -> meet(request, current));
    }

    public String address() {
        return peer.address();
    }

    /** Meets calls in another way from now on. */
    public synchronized void be(Mood next) {
        mood = next;
    }

    /** Answers so many milliseconds late from now on. */
    public synchronized void lateBy(long millis) {
        lateMillis = millis;
        mood = Mood.LATE;
    }

    /**
     * Returns cold: of its limit it takes a part at first, and evenly more until it is warm.
     *
     * @param from that part
     * @param warmUpMillis until it is warm
     */
    public synchronized void returnCold(double from, long warmUpMillis) {
        coldFrom = from;
        warmUpNanos = TimeUnit.MILLISECONDS.toNanos(warmUpMillis);
        returnedAt = System.nanoTime();
        mood = Mood.WELL;
    }

    /** Calls a second that it can take at a time, in nanoseconds of the system's clock. */
    public synchronized double able(long nanos) {
        if (nanos < returnedAt || warmUpNanos == 0) {
            return limit;
        }
        return limit * Math.min(1, coldFrom + (1 - coldFrom) * (nanos - returnedAt) / warmUpNanos);
    }

    /** When it was asked how it fares, in nanoseconds of the system's clock: each time is a call too. */
    public synchronized List<Long> checks() {
        return List.copyOf(checks);
    }

    /** Every call so far. */
    public synchronized List<Posting> postings() {
        return List.copyOf(postings);
    }

    /** How often each message took effect. */
    public synchronized Map<String, Integer> effects() {
        return Map.copyOf(effects);
    }

    private String meet(ScriptedPeer.Request request, int startedAs) {
        if (request.line().startsWith("GET /-/")) {
            return check();
        }
        if (!request.line().startsWith("POST " + HostProtocol.SINGLE_PATH + " ")) {
            return ScriptedPeer.status(404);
        }
        Mood now;
        synchronized (this) {
            if (startedAs != generation) {
                return ScriptedPeer.CLOSE;
            }
            now = mood;
            boolean full = limit > 0 && !hasRoom();
            boolean ran = now != Mood.SHUT && !full;
            int status = !ran ? 503 : now == Mood.WELL || now == Mood.LATE ? 200 : NO_ANSWER;
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
        if (now == Mood.RESETS) {
            return ScriptedPeer.CLOSE;
        }
        if (now == Mood.SILENT) {
            return ScriptedPeer.SILENCE;
        }
        pause(now == Mood.LATE ? late() : responseMillis);
        return ScriptedPeer.status(200);
    }

    private synchronized String check() {
        checks.add(System.nanoTime());
        return ScriptedPeer.status(mood == Mood.SHUT ? 503 : 200);
    }

    private boolean hasRoom() {
        long now = System.nanoTime();
        taken.removeIf(at -> now - at >= SECOND);
        if (taken.size() >= Math.max(1, able(now))) {
            return false;
        }
        taken.add(now);
        return true;
    }

    private synchronized long late() {
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
