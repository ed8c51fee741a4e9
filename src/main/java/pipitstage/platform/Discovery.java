package pipitstage.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import pipitstage.Fields;
import pipitstage.Policy.ListKind;
import pipitstage.engine.Membership;
import pipitstage.engine.Target;
import pipitstage.log.Log;

/** Fetches the list of hosts once and then watches it for changes. */
public final class Discovery {
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

    private final EventLoop loop;
    private final AgentClient agent;
    private final Membership listener;
    private final Runnable silence;
    private final Backoff backoff;
    private final JsonFactory json = new JsonFactory();
    private long version = -1;
    /** Set while an answer may be out that would otherwise overtake the wish. */
    private boolean allWanted;
    private Future<?> overdue;

    /**
     * A watch at an address.
     *
     * @param silence is run each {@value #SILENCE_MS} ms for which nothing was heard
     * @param backoff how long to wait after an answer that was none
     */
    public Discovery(EventLoop loop, InetSocketAddress address, Membership listener, Runnable silence, Backoff backoff) {
        this.loop = loop;
        this.listener = listener;
        this.silence = silence;
        this.backoff = backoff;
        agent = new AgentClient(loop, address);
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
        overdue = loop.schedule(() -> {
            silence.run();
            expectNews();
        }, SILENCE_MS, TimeUnit.MILLISECONDS);
    }

    /** Watches at another address from now on; its versions need not be those of the old one. */
    public void moveTo(InetSocketAddress address) {
        version = -1;
        agent.moveTo(address);
    }

    private void ask() {
        if (version < 0 || allWanted) {
            allWanted = false;
            agent.request(HttpMethod.GET, "/api/targets", "", PATIENCE_MS, this::answered);
        } else {
            agent.request(HttpMethod.GET, "/api/targets?after=" + version + "&wait_ms=" + WAIT_MS, "",
                    WAIT_MS + PATIENCE_MS, this::answered);
        }
    }

    private void answered(int status, String body) {
        boolean taken = status == 200 && take(body);
        if (taken) {
            backoff.succeeded();
        }
        loop.schedule(this::ask, taken ? BREATH_MS : backoff.nextMs(), TimeUnit.MILLISECONDS);
    }

    /** Asks for the whole list next, in place of its changes. */
    public void askForAll() {
        allWanted = true;
    }

    private boolean take(String body) {
        try (JsonParser parser = json.createParser(body)) {
            parser.nextToken();
            Fields list = Fields.ofObject("list", Fields.read(parser));
            long rev = list.whole("rev");
            boolean whole = list.flag("all");
            List<Target> targets = Targets.readAll(list);
            version = rev;
            expectNews();
            if (whole || !targets.isEmpty()) {
                listener.list(whole ? ListKind.FULL : ListKind.CHANGES, rev, targets);
            }
            return true;
        } catch (IOException | RuntimeException e) {
            // Guards against an answer that would end the watch for good.
            Log.line("discovery: an answer is passed over: " + e.getMessage());
            version = -1;
            return false;
        }
    }
}
