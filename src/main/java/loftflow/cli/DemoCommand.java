package loftflow.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import loftflow.config.tool.ConfigTool;
import loftflow.fake.FakeClient;
import loftflow.fake.FakeDiscoveryAgent;
import loftflow.fake.FakePartner;
import loftflow.fake.ServedRelay;
import loftflow.protocol.CompletionProtocol;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** A first run: a relay from a file that the tool just wrote, with stand-ins round it, all on loopback. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = {
            "Writes a relay file, starts the relay with two partners and a client on loopback, and tells what became"
                    + " of each class.",
            "One partner has a limit, the other fails for a while. Leaves nothing behind."
        })
final class DemoCommand implements Callable<Integer> {
    /** The application file, with state folder, address of the platform, limit, and addresses of the partners. */
    private static final String APPLICATION =
            """
            format = 1
            name = "demo"

            [machine]
            memory = "192MiB"
            descriptors = 256
            disk = "16MiB"
            folder = "%s"

            [[front]]
            listen = "127.0.0.1:0"

            [discovery]
            notices = "%s"

            [[class]]
            name = "status-update"
            repeat = "repeatable"
            wanted = "1.5s"
            deadline = "5s"
            late-worth = 0.1
            peak-rate = "7/s"

            [[class]]
            name = "car-order"
            repeat = "by-key"
            key-window = "7.5s"
            wanted = "2s"
            deadline = "8s"
            worth = 2
            late-worth = 0.5
            peak-rate = "7/s"

            [[class]]
            name = "settlement"
            repeat = "once"
            wanted = "3s"
            deadline = "8s"
            worth = 5
            late-worth = 0.3
            peak-rate = "7/s"
            to = ["railways"]

            [[partner]]
            name = "iron-line"
            number = 1
            kind = "railways"
            limit = "%d/s"
            response = "40ms"
            [[partner.endpoint]]
            id = "iron-1"
            address = "%s"

            [[partner]]
            name = "prairie-elevator"
            number = 2
            kind = "elevators"
            response = "60ms"
            [[partner.endpoint]]
            id = "prairie-1"
            address = "%s"
            """;

    private static final int LIMIT = 20;
    private static final int RATE = 20;
    private static final long PATIENCE_S = 20;
    private static final int TENTHS = 10;
    private static final List<String> CLASSES = List.of("status-update", "car-order", "settlement");

    @Option(
            names = "--seconds",
            defaultValue = "8",
            description = "How long the client hands messages in" + " (${DEFAULT-VALUE}).")
    private int seconds;

    @Spec
    private CommandSpec spec;

    /** What became of the messages of one class. */
    private static final class Tally {
        private int handedIn;
        private int refused;
        private final List<String> taken = new ArrayList<>();
    }

    @Override
    public Integer call() throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        Path folder = Files.createTempDirectory("loftflow-demo");
        Thread cleaning = new Thread(() -> delete(folder));
        Runtime.getRuntime().addShutdownHook(cleaning);
        try (FakePartner limited = new FakePartner(40, LIMIT);
                FakePartner failing = new FakePartner(60, 0);
                FakeDiscoveryAgent platform = new FakeDiscoveryAgent()) {
            Path application = folder.resolve("demo.toml");
            Files.writeString(application, application(folder, limited, failing, platform));
            ConfigTool.Outcome written = ConfigTool.write(application, folder, false);
            if (written.written() != ConfigTool.Written.NEW) {
                throw new IOException("the demonstration's own file has findings: " + written.findings());
            }
            out.println("wrote " + written.file().getFileName() + " from " + application.getFileName());
            run(out, folder, written.file(), limited, failing, platform);
        } finally {
            delete(folder);
        }
        out.println("nothing is left behind");
        out.flush();
        return 0;
    }

    private void run(
            PrintWriter out,
            Path folder,
            Path relayFile,
            FakePartner limited,
            FakePartner failing,
            FakeDiscoveryAgent platform)
            throws IOException, InterruptedException {
        ServedRelay relay = ServedRelay.start(relayFile, folder.resolve("relay.log"), "-Xmx72m");
        try {
            relay.awaitServing();
            out.println("the relay serves on " + relay.host() + ":" + relay.port());
            out.flush();
            Map<String, Tally> tallies = new LinkedHashMap<>();
            CLASSES.forEach(name -> tallies.put(name, new Tally()));
            try (FakeClient client = relay.client()) {
                handIn(out, client, tallies, limited, failing);
            }
            awaitEnds(tallies, limited, failing, platform);
            report(out, tallies, limited, failing, platform);
        } finally {
            relay.stop();
        }
    }

    private void handIn(
            PrintWriter out, FakeClient client, Map<String, Tally> tallies, FakePartner limited, FakePartner failing)
            throws IOException, InterruptedException {
        long start = System.nanoTime();
        int count = seconds * RATE;
        for (int i = 0; i < count; i++) {
            long due = start + TimeUnit.SECONDS.toNanos(1) / RATE * i;
            TimeUnit.NANOSECONDS.sleep(due - System.nanoTime());
            if (i % RATE == 0) {
                int second = i / RATE;
                boolean down = second >= seconds / 4 && second < seconds / 2;
                failing.setBehavior(down ? FakePartner.Behavior.UNAVAILABLE : FakePartner.Behavior.NORMAL);
                out.printf(
                        Locale.ROOT,
                        "%2d s: %d handed in, %d and %d calls at the partners%s%n",
                        second,
                        i,
                        limited.postings().size(),
                        failing.postings().size(),
                        down ? ", the second one is shut" : "");
                out.flush();
            }
            String type = CLASSES.get(i % CLASSES.size());
            // Settlements go to railways alone; the others to both partners in turn.
            int destination = type.equals("settlement") || i % 2 == 0 ? 1 : 2;
            String id = "demo-" + i;
            Tally tally = tallies.get(type);
            tally.handedIn++;
            int status = client.handIn(id, type, null, "key-" + i, destination, 6000, "message " + i);
            if (status == 202) {
                tally.taken.add(id);
            } else {
                tally.refused++;
            }
        }
    }

    private static boolean isOver(String id, FakePartner limited, FakePartner failing, FakeDiscoveryAgent platform) {
        return limited.effects().containsKey(id)
                || failing.effects().containsKey(id)
                || platform.notices().stream().anyMatch(n -> n.ref().equals(id));
    }

    private static void awaitEnds(
            Map<String, Tally> tallies, FakePartner limited, FakePartner failing, FakeDiscoveryAgent platform)
            throws InterruptedException {
        for (int i = 0; i < PATIENCE_S * TENTHS; i++) {
            if (tallies.values().stream()
                    .allMatch(t -> t.taken.stream().allMatch(id -> isOver(id, limited, failing, platform)))) {
                return;
            }
            Thread.sleep(TimeUnit.SECONDS.toMillis(1) / TENTHS);
        }
    }

    private static void report(
            PrintWriter out,
            Map<String, Tally> tallies,
            FakePartner limited,
            FakePartner failing,
            FakeDiscoveryAgent platform) {
        out.printf(
                "%-14s %9s %9s %9s %9s %9s %9s%n",
                "class", "handed in", "delivered", "refused", "failed", "twice", "no end");
        tallies.forEach((type, tally) -> {
            int delivered = 0;
            int bounced = 0;
            int dead = 0;
            int twice = 0;
            for (String id : tally.taken) {
                int effects = limited.effects().getOrDefault(id, 0)
                        + failing.effects().getOrDefault(id, 0);
                twice += effects > 1 ? 1 : 0;
                if (effects > 0) {
                    delivered++;
                } else if (platform.notices()
                        .contains(new FakeDiscoveryAgent.Notice(id, CompletionProtocol.RESULT_REJECTED))) {
                    bounced++;
                } else if (platform.notices()
                        .contains(new FakeDiscoveryAgent.Notice(id, CompletionProtocol.RESULT_FAILED))) {
                    dead++;
                }
            }
            out.printf(
                    "%-14s %9d %9d %9d %9d %9d %9d%n",
                    type,
                    tally.handedIn,
                    delivered,
                    tally.refused + bounced,
                    dead,
                    twice,
                    tally.taken.size() - delivered - bounced - dead);
        });
        out.flush();
    }

    private static String application(
            Path folder, FakePartner limited, FakePartner failing, FakeDiscoveryAgent platform) {
        return APPLICATION.formatted(
                folder.resolve("state"), platform.address(), LIMIT, limited.address(), failing.address());
    }

    private static void delete(Path folder) {
        if (!Files.exists(folder)) {
            return;
        }
        try (var files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            System.err.println("loftflow: " + folder + " can't be removed: " + e.getMessage());
        }
    }
}
