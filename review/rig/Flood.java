package rig;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Bad clients send hundreds of requests at once and read their answers, while messages of a usual client end. */
public final class Flood {
    private Flood() {}

    public static void main(String[] args) {
        Rig.main(Flood::run);
    }

    private static int run(Rig.Record record, Path root, Path folder) throws IOException {
        List<Rig.Call> calls = new CopyOnWriteArrayList<>();
        Rig.Agent agent = new Rig.Agent(record);
        Rig.Host host = new Rig.Host(record, "host-a", 0, calls);
        host.hangs = true;
        agent.put("host-a", host.address(), "annex", "railways", 1, "in_service");
        Rig.Relay relay = new Rig.Relay(record, root, folder, "n0", Rig.SETTINGS);
        relay.configure(agent.address(), agent.fullList());
        if (!relay.start(agent.address())) {
            return Rig.NOT_RUN;
        }
        Rig.Client client = new Rig.Client(record, relay);
        if (Rig.hasTrouble()) {
            for (int i = 0; i < 100; i++) {
                int number = i;
                Rig.daemon(() -> flood(relay, number));
            }
        }
        for (long next = Rig.now(), end = next + 30_000; next < end; next += 100) {
            Rig.sleepUntil(next);
            Rig.daemon(() -> client.send("settlement", 1, 2_000));
        }
        Rig.sleep(6_000);
        long late = 0;
        long worst = 0;
        long taken = 0;
        for (Rig.Sent sent : client.sent) {
            if (sent.status() != 202) {
                continue;
            }
            taken++;
            Rig.Agent.Notice notice = agent.notices.get(sent.id());
            long by = notice == null ? 99_999 : notice.at() - sent.at() - sent.budgetMillis();
            worst = Math.max(worst, by);
            late += by > 350 ? 1 : 0;
        }
        record.line("taken " + taken + " of " + client.sent.size() + " late " + late + " worst " + worst);
        System.out.println("taken " + taken + " of " + client.sent.size() + " late " + late + " worst " + worst);
        return late > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private static void flood(Rig.Relay relay, int number) {
        for (int round = 0; round < 30; round++) {
            try (Socket socket = relay.connect()) {
                StringBuilder requests = new StringBuilder();
                for (int i = 0; i < 300; i++) {
                    String body = "x".repeat(200);
                    requests.append("POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: bad-" + number + "-" + round + "-" + i
                            + "\r\nX-Call-Class: nonsense\r\nX-Caller: grain-desk\r\nX-Budget-Ms: 2000\r\nContent-Length: "
                            + body.length() + "\r\nX-Consignee: dest=1\r\n\r\n" + body);
                }
                Thread reader = Rig.daemon(() -> {
                    try {
                        byte[] buffer = new byte[8192];
                        while (socket.getInputStream().read(buffer) >= 0) {
                            continue;
                        }
                    } catch (IOException e) {
                        // Ended.
                    }
                });
                socket.getOutputStream().write(requests.toString().getBytes(StandardCharsets.ISO_8859_1));
                Rig.sleep(500);
            } catch (IOException e) {
                Rig.sleep(100);
            }
        }
    }
}
