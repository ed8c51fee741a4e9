package rig;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some answers of the hosts come spoilt after the request has run. If the first line of one says 503 and its length
 * does not fit, the relay takes it as proof that the request never ran and sends the settlement again.
 */
public final class SpoiltRefusal {
    private static final int PARTNER = 1;
    private static final long INTERVAL_MILLIS = 300;
    private static final int SPOILT_EVERY = 10;
    private static final long PLAYED_MILLIS = 40_000;
    private static final long BUDGET_MILLIS = 12_000;
    private static final String BODY = "{\"error\":\"try later\"}";

    /** Spoilt answers: lengths that do not fit, noise, and a head that does not end. */
    private static final List<String> SPOILT = List.of(
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 9\r\n\r\n" + BODY,
            "x9 %% noise\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + BODY,
            "HTTP/1.1 500 Error\r\nX-Head: does not end\r\n");

    private SpoiltRefusal() {}

    public static void main(String[] args) {
        Rig.main(SpoiltRefusal::run);
    }

    private static int run(Rig.Record record, Path root, Path folder) throws IOException {
        List<Rig.Call> calls = new CopyOnWriteArrayList<>();
        Rig.Agent agent = new Rig.Agent(record);
        AtomicInteger answers = new AtomicInteger();
        for (String uid : List.of("host-a", "host-b")) {
            Rig.Host host = new Rig.Host(record, uid, 0, calls);
            agent.put(uid, host.address(), "annex", "railways", PARTNER, "in_service");
            if (Rig.hasTrouble()) {
                host.decide = call -> spoil(record, call, answers);
            }
        }
        Rig.Relay relay = new Rig.Relay(record, root, folder, "n0", Rig.SETTINGS);
        relay.configure(agent.address(), agent.fullList());
        if (!relay.start(agent.address())) {
            return Rig.NOT_RUN;
        }
        Rig.Client client = new Rig.Client(record, relay);
        for (long next = Rig.now(), end = next + PLAYED_MILLIS; next < end; next += INTERVAL_MILLIS) {
            Rig.sleepUntil(next);
            Rig.daemon(() -> client.send("settlement", PARTNER, BUDGET_MILLIS));
        }
        Rig.sleep(BUDGET_MILLIS + 1_000);
        // Every call that a host of this case receives runs: none of them turns a call away.
        Map<String, Integer> runs = new HashMap<>();
        calls.forEach(call -> call.ids().forEach(id -> runs.merge(id, 1, Integer::sum)));
        long repeated = runs.entrySet().stream()
                .filter(entry -> entry.getValue() > 1)
                .peek(entry -> record.line("settlement " + entry.getKey() + " ran " + entry.getValue() + " times"))
                .count();
        record.line("settlements that ran " + runs.size() + ", more than once " + repeated);
        return runs.isEmpty() ? Rig.NOT_RUN : repeated > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** Returns a spoilt answer for some calls with a message, which have run; null for the others. */
    private static String spoil(Rig.Record record, Rig.Call call, AtomicInteger answers) {
        if (call.ids().isEmpty()) {
            return null;
        }
        int number = answers.incrementAndGet();
        if (number % SPOILT_EVERY != 0) {
            return null;
        }
        String spoilt = SPOILT.get(number / SPOILT_EVERY % SPOILT.size());
        record.line("host " + call.host() + " ran " + call.ids() + " and spoils its answer: "
                + spoilt.replace("\r\n", "\\r\\n"));
        return spoilt;
    }
}
