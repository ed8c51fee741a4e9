package rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** A bad client sends the id of another client's open request, and its request is whole when that message has ended. */
public final class SameId {
    private SameId() {}

    public static void main(String[] args) {
        Rig.main(SameId::run);
    }

    private static int run(Rig.Record record, Path root, Path folder) throws IOException {
        List<Rig.Call> calls = new CopyOnWriteArrayList<>();
        Rig.Agent agent = new Rig.Agent(record);
        Rig.Host host = new Rig.Host(record, "host-a", 0, calls);
        host.serviceMillis = 400;
        agent.put("host-a", host.address(), "annex", "railways", 1, "in_service");
        Rig.Relay relay = new Rig.Relay(record, root, folder, "n0", Rig.SETTINGS);
        relay.configure(agent.address(), agent.fullList());
        if (!relay.start(agent.address())) {
            return Rig.NOT_RUN;
        }
        Rig.Client client = new Rig.Client(record, relay);
        for (int i = 0; i < 10; i++) {
            Rig.Sent sent = client.send("settlement", 1, 12_000);
            if (Rig.hasTrouble()) {
                Rig.daemon(() -> repeat(record, relay, sent.id()));
            }
            Rig.sleep(1_500);
        }
        Rig.sleep(5_000);
        Map<String, Integer> runs = new HashMap<>();
        calls.forEach(call -> call.ids().forEach(id -> runs.merge(id, 1, Integer::sum)));
        long repeated = runs.values().stream().filter(count -> count > 1).count();
        record.line("ids " + runs.size() + " sent to a host more than once " + repeated);
        System.out.println("ids " + runs.size() + " sent to a host more than once " + repeated);
        return repeated > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private static void repeat(Rig.Record record, Rig.Relay relay, String id) {
        try (Socket socket = relay.connect()) {
            socket.setSoTimeout(5_000);
            Rig.write(socket, "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: " + id
                    + "\r\nX-Call-Class: settlement\r\nX-Caller: grain-desk\r\nX-Budget-Ms: 3000\r\nIdempotency-Key: other-"
                    + id + "\r\nContent-Length: 2\r\nX-Consignee: dest=1\r\n\r\nx");
            record.line("a bad client begins a request with the id " + id);
            Rig.sleep(800);
            Rig.write(socket, "y");
            Rig.Request answer = Rig.read(new BufferedInputStream(socket.getInputStream()));
            record.line("the request of the bad client with the id " + id + " is whole, answer "
                    + (answer == null ? "none" : answer.line()));
        } catch (IOException e) {
            record.line("bad client: " + e);
        }
    }
}
