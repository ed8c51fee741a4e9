package rig;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A relay that knows of a drain is killed and starts again while discovery is down: it sends to the draining host. */
public final class DrainRestart {
    private static final int PARTNER = 1;
    private static final long GRACE_MILLIS = 500 + 50;

    private DrainRestart() {}

    public static void main(String[] args) {
        Rig.main(DrainRestart::run);
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
        long revision = agent.put("host-a", draining.address(), "annex", "railways", PARTNER, "terminating");
        Rig.sleep(4_000);
        long toldAt = agent.toldAt(revision);
        if (toldAt < 0) {
            return Rig.NOT_RUN;
        }
        if (Rig.hasTrouble()) {
            record.line("discovery is down from here for 8 s");
            agent.isDown = true;
        }
        Rig.sleep(1_000);
        relay.killForRestart();
        client.forgetConnections();
        Rig.sleep(1_300);
        if (!relay.start(agent.address())) {
            return Rig.NOT_RUN;
        }
        Rig.sleep(4_000);
        agent.isDown = false;
        Rig.sleep(5_000);
        long late = calls.stream()
                .filter(call -> call.host().equals("host-a") && call.firstByteAt() > toldAt + GRACE_MILLIS)
                .peek(call -> record.line("sent to the draining host " + (call.firstByteAt() - toldAt)
                        + " ms after it was told: ids=" + call.ids()))
                .count();
        record.line("told at " + toldAt + ", calls after the grace " + late);
        return late > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
