package rig;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Discovery answers slowly while a host drains: the relay goes on sending to it. */
public final class SlowDiscovery {
    private static final int PARTNER = 1;
    private static final long DELAY_MILLIS = 700;
    private static final long TOLD_AT_LATEST_MILLIS = 6_000;
    private static final long GRACE_MILLIS = 500 + 50;

    private SlowDiscovery() {}

    public static void main(String[] args) {
        Rig.main(SlowDiscovery::run);
    }

    private static int run(Rig.Record record, Path root, Path folder) throws IOException {
        List<Rig.Call> calls = new CopyOnWriteArrayList<>();
        Rig.Agent agent = new Rig.Agent(record);
        Rig.Host draining = new Rig.Host(record, "host-a", 0, calls);
        Rig.Host other = new Rig.Host(record, "host-b", 0, calls);
        agent.put("host-a", draining.address(), "annex", "railways", PARTNER, "in_service");
        agent.put("host-b", other.address(), "annex", "railways", PARTNER, "in_service");
        Rig.Relay relay = new Rig.Relay(record, root, folder, "n0", Rig.SETTINGS);
        relay.configure(agent.address(), agent.fullList());
        if (!relay.start(agent.address())) {
            return Rig.NOT_RUN;
        }
        Rig.Client client = new Rig.Client(record, relay);
        Rig.daemon(() -> {
            for (long next = Rig.now(); ; next += 300) {
                Rig.sleepUntil(next);
                Rig.daemon(() -> client.send("settlement", PARTNER, 20_000));
            }
        });
        Rig.sleep(6_000);
        if (Rig.hasTrouble()) {
            record.line("discovery is slow from here: each answer takes " + DELAY_MILLIS + " ms");
            agent.delayMillis = DELAY_MILLIS;
        }
        Rig.sleep(6_000);
        long revision = agent.put("host-a", draining.address(), "annex", "railways", PARTNER, "terminating");
        long drainedAt = Rig.now();
        Rig.sleep(20_000);
        long writtenAt = agent.toldAt(revision);
        // What was written may have come to a connection that the relay had closed, so only the latest time counts.
        long toldAt = drainedAt + TOLD_AT_LATEST_MILLIS;
        long late = calls.stream()
                .filter(call -> call.host().equals("host-a") && call.firstByteAt() > toldAt + GRACE_MILLIS)
                .peek(call -> record.line("sent to the draining host " + (call.firstByteAt() - toldAt)
                        + " ms after it was told: ids=" + call.ids()))
                .count();
        record.line("drained at " + drainedAt + ", a list that says so written at " + writtenAt + ", told at " + toldAt
                + ", calls after the grace " + late);
        return late > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
