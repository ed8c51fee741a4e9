package rig;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A partner's endpoint hangs, and the platform replaces it while a health check of the relay is out to it. The relay
 * never calls the partner again.
 */
public final class StuckProbe {
    private static final int PARTNER = 1;
    private static final long INTERVAL_MILLIS = 600;
    private static final long BUDGET_MILLIS = 12_000;
    private static final long QUIET_MILLIS = 6_000;
    private static final long MAX_HANG_MILLIS = 18_000;
    /** The calls that are out when the hang begins have timed out by then. */
    private static final long CALLS_TIME_OUT_MILLIS = 7_000;
    /** When the replacement is told after a health check has come; the relay waits 1.5 s for its answer. */
    private static final long REPLACED_AFTER_MILLIS = 400;
    /** 6 s until a change counts as told, and 9.7 s until a cold partner is warm. */
    private static final long RECOVERY_MILLIS = 16_000;

    private static final long JUDGED_MILLIS = 15_000;
    private static final int MIN_MESSAGES = 15;

    private StuckProbe() {}

    public static void main(String[] args) {
        Rig.main(StuckProbe::run);
    }

    private static int run(Rig.Record record, Path root, Path folder) throws IOException {
        List<Rig.Call> calls = new CopyOnWriteArrayList<>();
        Rig.Agent agent = new Rig.Agent(record);
        Rig.Host first = new Rig.Host(record, "host-a", 0, calls);
        agent.put("host-a", first.address(), "annex", "railways", PARTNER, "in_service");
        Rig.Relay relay = new Rig.Relay(record, root, folder, "n0", Rig.SETTINGS);
        relay.configure(agent.address(), agent.fullList());
        if (!relay.start(agent.address())) {
            return Rig.NOT_RUN;
        }
        Rig.Client client = new Rig.Client(record, relay);
        AtomicBoolean isSending = new AtomicBoolean(true);
        Rig.daemon(() -> {
            for (long next = Rig.now(); isSending.get(); next += INTERVAL_MILLIS) {
                Rig.sleepUntil(next);
                Rig.daemon(() -> client.send("car-order", PARTNER, BUDGET_MILLIS));
            }
        });
        Rig.sleep(QUIET_MILLIS);
        if (Rig.hasTrouble()) {
            hangUntilChecked(record, first);
        }
        Rig.Host second = new Rig.Host(record, "host-b", 0, calls);
        agent.put("host-a", first.address(), "annex", "railways", PARTNER, "terminated");
        agent.put("host-b", second.address(), "annex", "railways", PARTNER, "in_service");
        Rig.sleep(2_000);
        first.close();
        Rig.sleep(RECOVERY_MILLIS - 2_000);
        long from = Rig.now();
        record.line("messages are judged that are handed in from here on for " + JUDGED_MILLIS + " ms");
        Rig.sleep(JUDGED_MILLIS);
        isSending.set(false);
        long until = Rig.now();
        Rig.sleep(BUDGET_MILLIS + 1_000);
        List<Rig.Sent> judged = client.sent.stream()
                .filter(sent -> sent.at() >= from && sent.at() < until)
                .toList();
        long called = judged.stream()
                .filter(sent -> calls.stream().anyMatch(call -> call.ids().contains(sent.id())))
                .count();
        long rejected = judged.stream().filter(sent -> isRejected(agent, sent)).count();
        record.line("messages handed in " + judged.size() + ", of these sent to a host " + called + ", rejected "
                + rejected + "; the relay's process is alive: " + relay.isAlive());
        if (judged.size() < MIN_MESSAGES) {
            return Rig.NOT_RUN;
        }
        return called == 0 && rejected == judged.size() ? Rig.BROKEN : Rig.HELD;
    }

    /** Lets a host hang until a health check has come to it after its calls have timed out. */
    private static void hangUntilChecked(Rig.Record record, Rig.Host host) {
        AtomicInteger checks = new AtomicInteger();
        host.onProbe = checks::incrementAndGet;
        record.line("host " + host.uid + " hangs from here");
        host.hangs = true;
        long end = Rig.now() + MAX_HANG_MILLIS - REPLACED_AFTER_MILLIS;
        Rig.sleep(CALLS_TIME_OUT_MILLIS);
        int before = checks.get();
        while (checks.get() == before && Rig.now() < end) {
            Rig.sleep(5);
        }
        Rig.sleep(REPLACED_AFTER_MILLIS);
    }

    private static boolean isRejected(Rig.Agent agent, Rig.Sent sent) {
        Rig.Agent.Notice notice = agent.notices.get(sent.id());
        return sent.status() == 429
                || sent.status() == 503
                || notice != null && notice.result().equals("bounced");
    }
}
