package rig;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** After a short outage, a partner that gets only messages with little time gets no call any more. */
public final class ShortBudget {
    private ShortBudget() {}

    public static void main(String[] args) {
        Rig.main(ShortBudget::run);
    }

    private static int run(Rig.Record record, Path root, Path folder) throws IOException {
        List<Rig.Call> calls = new CopyOnWriteArrayList<>();
        Rig.Agent agent = new Rig.Agent(record);
        Rig.Host host = new Rig.Host(record, "host-a", 0, calls);
        host.serviceMillis = 100;
        agent.put("host-a", host.address(), "annex", "elevators", 1, "in_service");
        Rig.Relay relay = new Rig.Relay(record, root, folder, "n0", Rig.SETTINGS);
        relay.configure(agent.address(), agent.fullList());
        if (!relay.start(agent.address())) {
            return Rig.NOT_RUN;
        }
        Rig.Client client = new Rig.Client(record, relay);
        Rig.daemon(() -> {
            for (long next = Rig.now(); ; next += 400) {
                Rig.sleepUntil(next);
                Rig.daemon(() -> client.send("status-update", 1, 1400));
            }
        });
        Rig.sleep(6_000);
        Rig.Host again = host;
        if (Rig.hasTrouble()) {
            int port = host.port();
            host.close();
            Rig.sleep(6_400);
            again = new Rig.Host(record, "host-a", port, calls);
            again.serviceMillis = 100;
        }
        Rig.sleep(16_000);
        long from = Rig.now();
        Rig.sleep(20_000);
        long served = calls.stream().filter(call -> call.firstByteAt() >= from).count();
        record.line("calls " + served);
        return served == 0 ? Rig.BROKEN : Rig.HELD;
    }
}
