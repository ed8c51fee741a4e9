import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import rig.Rig;

/**
 * One of four hosts hangs while calls with several messages come to it. Checks that no message has two attempts
 * outstanding at the same time, where the settings forbid second copies.
 */
public final class Case9 {
    /** The hang; `zone+mass` plays 18 s. */
    private static final long HANG_MILLIS = 12_000;
    /** What the end of a call may be seen later than the start of the next one, which has another connection. */
    private static final long SLACK_MILLIS = 300;

    public static void main(String[] args) {
        Rig.run(args[0], Case9::play);
    }

    private static List<String> play(Rig rig) throws Exception {
        List<String> broken = new ArrayList<>();
        Rig.Agent agent = rig.add(new Rig.Agent(rig));
        Rig.Behaviour sound = call -> rig.timer.schedule(
                () -> call.answer(200), call.ids.isEmpty() ? 1 : 150, TimeUnit.MILLISECONDS);
        List<Rig.Host> hosts = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            Rig.Host host = rig.add(new Rig.Host(rig, "host_" + i, sound));
            hosts.add(host);
            agent.put(host.uid, i <= 2 ? 1 : 2, i <= 2 ? "railways" : "short-lines", "annex", "in_service",
                    host.address());
        }
        String settings = Rig.settings("\"second-copies\":true", "\"second-copies\":false");
        Rig.Relay relay = rig.add(new Rig.Relay(rig, "n0", agent, settings, Rig.LIMITS));
        relay.start();
        Rig.Host hung = hosts.get(0);
        List<Rig.Call> held = new ArrayList<>();
        if (Rig.hasTrouble()) {
            rig.timer.schedule(() -> {
                rig.log("trouble: " + hung.uid + " hangs");
                hung.behaviour = call -> {
                    synchronized (held) {
                        held.add(call);
                    }
                };
            }, 3_000, TimeUnit.MILLISECONDS);
            rig.timer.schedule(() -> {
                rig.log("trouble: " + hung.uid + " goes on");
                hung.behaviour = sound;
                synchronized (held) {
                    held.stream().filter(Rig.Call::isOut).forEach(call -> call.answer(200));
                }
            }, 3_000 + HANG_MILLIS, TimeUnit.MILLISECONDS);
        }
        String[] classes = {"status-update", "settlement", "car-order"};
        long[] budgets = {5_000, 20_000, 28_000};
        int number = 0;
        for (long end = Rig.now() + 20_000; Rig.now() < end; Rig.sleep(400)) {
            for (int i = 0; i < classes.length; i++) {
                String id = String.format("m%06x", ++number);
                int which = i;
                rig.pool.execute(() -> rig.send(relay.address, "/api", id, classes[which], "grain-desk", 1,
                        budgets[which], which == 2 ? "key-" + id : null, new byte[200]));
            }
        }
        Rig.sleep(6_000);
        Map<String, List<Rig.Call>> byId = new HashMap<>();
        hosts.forEach(host -> host.calls.forEach(
                call -> call.ids.forEach(id -> byId.computeIfAbsent(id, x -> new ArrayList<>()).add(call))));
        byId.forEach((id, calls) -> {
            calls.sort((one, other) -> Long.compare(one.atMillis, other.atMillis));
            for (int i = 1; i < calls.size(); i++) {
                Rig.Call earlier = calls.get(i - 1);
                Rig.Call later = calls.get(i);
                long end = earlier.answeredMillis != 0 ? earlier.answeredMillis : earlier.closedMillis;
                if (end == 0 || end > later.atMillis + SLACK_MILLIS) {
                    broken.add("second copy of " + id + ": sent to " + earlier.host.uid + " at " + earlier.atMillis
                            + " and to " + later.host.uid + " at " + later.atMillis + ", while the first was out"
                            + (end == 0 ? " to the end" : " until " + end));
                }
            }
        });
        rig.log("messages " + number + ", called " + byId.size());
        return broken;
    }
}
