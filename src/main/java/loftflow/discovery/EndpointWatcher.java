package loftflow.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loftflow.engine.Endpoint;
import loftflow.engine.EndpointListListener;
import loftflow.json.JsonFields;
import loftflow.json.MalformedInputException;
import loftflow.log.Log;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointListKind;

/**
 * Fetches the list of hosts and then watches it for changes. The whole list is asked for again now and then, as a watch
 * may
 * go on answering and tell nothing more, and soon where an answer leaves something open.
 */
public final class EndpointWatcher {
    /**
     * Guards against a discovery that falls silent: a watch that waits long would learn only after its end
     * of what was told meanwhile. Every answer is followed by the next call within a moment.
     */
    private static final long WAIT_MS = 1000;
    /** So long an answer may take that is there already. */
    public static final long PATIENCE_MS = 400;
    /** Guards against an agent that answers at once again and again; far below what ends a watch. */
    private static final long BREATH_MS = 10;
    /** So long without an answer that can be read is silence; far above what a watch waits for. */
    private static final long SILENCE_MS = 2000;

    /**
     * The whole list is asked for so long after the last one, or when a watch ends then. Guards against a watch that is
     * broken
     * and answers all the same: what it misses counts as told 6 s after it broke.
     */
    static final long CHECK_MS = 3500;
    /**
     * Guards against a list that can never be read whole: it is asked for again after a breath, then half as often each
     * time.
     */
    private static final long LONGEST_OPEN_MS = CHECK_MS;

    private final EventLoop loop;
    private final AgentConnection agent;
    private final EndpointListListener listener;
    private final Runnable silence;
    private final Backoff backoff;
    private final JsonFactory json = new JsonFactory();
    private long version = -1;
    /** Set while an answer may be out that would otherwise overtake the wish. */
    private boolean allWanted;
    /** When the whole list is due again, by the system's nanoseconds. */
    private long wholeDue;

    private long openPauseMs = BREATH_MS;
    private Future<?> openAsk;
    /** What was told last of each host that is not gone. */
    private final Map<String, Endpoint> known = new HashMap<>();

    private InetSocketAddress address;
    private Future<?> overdue;

    /**
     * A watch at an address.
     *
     * @param silence is run each {@value #SILENCE_MS} ms for which nothing was heard
     * @param backoff how long to wait after an answer that was none
     */
    public EndpointWatcher(
            EventLoop loop,
            InetSocketAddress address,
            EndpointListListener listener,
            Runnable silence,
            Backoff backoff) {
        this.loop = loop;
        this.listener = listener;
        this.silence = silence;
        this.backoff = backoff;
        this.address = address;
        agent = new AgentConnection(loop, address);
    }

    /** Asks for the whole list, then watches. */
    public void start() {
        ask();
        expectNews();
    }

    private void expectNews() {
        if (overdue != null) {
            overdue.cancel(false);
        }
        overdue = loop.schedule(
                () -> {
                    silence.run();
                    expectNews();
                },
                SILENCE_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Watches at another address from now on; its versions need not be those of the old one. */
    public void moveTo(InetSocketAddress next) {
        version = -1;
        address = next;
        agent.moveTo(next);
    }

    private void ask() {
        boolean whole = version < 0 || allWanted || System.nanoTime() - wholeDue >= 0;
        if (whole) {
            allWanted = false;
            agent.request(
                    HttpMethod.GET, "/api/targets", "", PATIENCE_MS, (status, body) -> answered(status, body, true));
        } else {
            agent.request(
                    HttpMethod.GET,
                    "/api/targets?after=" + version + "&wait_ms=" + WAIT_MS,
                    "",
                    WAIT_MS + PATIENCE_MS,
                    (status, body) -> answered(status, body, false));
        }
    }

    private void answered(int status, String body, boolean wholeAsked) {
        boolean taken = status == 200 && take(body, wholeAsked);
        if (taken) {
            backoff.succeeded();
        }
        loop.schedule(this::ask, taken ? BREATH_MS : backoff.nextMs(), TimeUnit.MILLISECONDS);
    }

    /** Asks for the whole list next, in place of its changes. */
    public void askForAll() {
        allWanted = true;
    }

    private boolean take(String body, boolean wholeAsked) {
        try (JsonParser parser = json.createParser(body)) {
            parser.nextToken();
            JsonFields list = JsonFields.ofObject("list", JsonFields.read(parser));
            if (parser.nextToken() != null) {
                throw new MalformedInputException("more than a list");
            }
            long rev = list.whole("rev");
            boolean whole = list.flag("all");
            EndpointListCodec.Reading read = EndpointListCodec.read("discovery " + address, list, whole, known);
            // What a version that goes back, or on without a word, leaves untold is in the whole list alone.
            boolean open = !read.sound()
                    || !whole
                            && (wholeAsked
                                    || rev < version
                                    || rev > version && read.targets().isEmpty());
            version = rev;
            expectNews();
            keep(whole, read);
            if (whole || !read.targets().isEmpty()) {
                listener.onEndpointList(whole ? EndpointListKind.FULL : EndpointListKind.DELTA, rev, read.targets());
            }
            if (whole) {
                wholeDue = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CHECK_MS);
            }
            if (open) {
                askWhatIsOpen();
            } else if (whole) {
                openPauseMs = BREATH_MS;
            }
            return true;
        } catch (IOException | RuntimeException e) {
            // Guards against an answer that would end the watch for good.
            Log.line("discovery " + address + ": an answer is passed over: " + e.getMessage());
            version = -1;
            return false;
        }
    }

    private void keep(boolean whole, EndpointListCodec.Reading read) {
        if (whole) {
            known.clear();
        }
        read.targets().forEach(target -> known.put(target.entry().route(), target));
        known.values().removeIf(t -> t.entry().availability() == Availability.REMOVED);
    }

    private void askWhatIsOpen() {
        if (openAsk == null || openAsk.isDone()) {
            openAsk = loop.schedule(this::askForAll, openPauseMs, TimeUnit.MILLISECONDS);
            openPauseMs = Math.min(LONGEST_OPEN_MS, 2 * openPauseMs);
        }
    }
}
