package loftflow.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import loftflow.config.plan.MachineInspector;
import loftflow.config.tool.CheckedFile;
import loftflow.config.tool.ConfigTool;
import loftflow.fake.FakeClient;
import loftflow.fake.FakePartner;
import loftflow.fake.ServedRelay;
import loftflow.fake.TemporaryFolder;
import loftflow.server.RelayProcess;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.lifecycle.AfterContainer;

/** Any application file that the tool accepts gives a relay file that checks clean and a relay that delivers. */
class WrittenFilesPropertyTest {
    private static final AtomicInteger ACCEPTED = new AtomicInteger();
    private static final AtomicInteger REJECTED = new AtomicInteger();

    /** A random application file for a seed; some are inconsistent. */
    private static String application(Random random, Path state, List<String> addresses) {
        StringBuilder text = new StringBuilder("format = 1\nname = \"app\"\n[machine]\nmemory = \""
                + (80 + random.nextInt(400)) + "MiB\"\ndescriptors = " + (80 + random.nextInt(900)) + "\ndisk = \""
                + (4 + random.nextInt(60)) + "MiB\"\nfolder = \"" + state + "\"\nbuilding = \"b0\"\n[[front]]\nlisten ="
                + " \"127.0.0.1:0\"\n");
        if (random.nextBoolean()) {
            int relays = 1 + random.nextInt(5);
            text.append("[fleet]\nrelays = ")
                    .append(relays)
                    .append("\nnumber = ")
                    .append(random.nextInt(relays + 1) / 2)
                    .append('\n');
        }
        int kinds = 1 + random.nextInt(2);
        int classes = 1 + random.nextInt(3);
        for (int c = 0; c < classes; c++) {
            String repeat = List.of("repeatable", "by-key", "once").get(random.nextInt(3));
            long deadline = 3_000 + random.nextInt(20_000);
            text.append(String.format(
                    Locale.ROOT,
                    "[[class]]\nname = \"c%d\"\nrepeat = \"%s\"\nwanted = \"%dms\"\n"
                            + "deadline = \"%dms\"\nworth = %d\nlate-worth = %.2f\npeak-rate = \"%d/m\"\nbody = \"%dB\"\n",
                    c,
                    repeat,
                    deadline / (1 + random.nextInt(4)) - 1,
                    deadline,
                    random.nextInt(9),
                    random.nextDouble(),
                    1 + random.nextInt(1_200),
                    random.nextInt(8_000)));
            if (repeat.equals("by-key")) {
                text.append("key-window = \"")
                        .append(1 + random.nextInt(30))
                        .append("s\"\nkey-scope = \"")
                        .append(random.nextBoolean() ? "all" : "building")
                        .append("\"\n");
            }
            if (random.nextInt(4) == 0) {
                text.append("in-order = true\n");
            }
            if (random.nextInt(3) == 0) {
                text.append("to = [\"k").append(random.nextInt(kinds)).append("\"]\n");
            }
        }
        for (int k = 0; k < kinds; k++) {
            text.append("[[kind]]\nname = \"k")
                    .append(k)
                    .append("\"\nroutes-apart = ")
                    .append(random.nextBoolean())
                    .append("\nidle = \"")
                    .append(1 + random.nextInt(30))
                    .append("s\"\n");
        }
        for (int p = 0; p < addresses.size(); p++) {
            text.append("[[partner]]\nname = \"p")
                    .append(p)
                    .append("\"\nnumber = ")
                    .append(p)
                    .append("\nkind = \"k")
                    .append(p % kinds)
                    .append("\"\nresponse = \"")
                    .append(1 + random.nextInt(900))
                    .append("ms\"\n");
            if (random.nextBoolean()) {
                text.append("limit = \"").append(1 + random.nextInt(60)).append("/s\"\n");
            }
            text.append("[[partner.endpoint]]\nid = \"e")
                    .append(p)
                    .append("\"\naddress = \"")
                    .append(addresses.get(p))
                    .append("\"\nbuilding = \"b")
                    .append(random.nextInt(2))
                    .append("\"\n");
        }
        return text.toString();
    }

    private static CheckedFile checked(String text) {
        return CheckedFile.of("app.toml", text, MachineInspector.UNKNOWN);
    }

    @Property(tries = 1000, seed = "41", shrinking = ShrinkingMode.OFF)
    void acceptedFileGivesARelayFileThatChecksClean(@ForAll long seed) throws Exception {
        String text = application(
                new Random(seed), Path.of("/var/lib/loftflow"), List.of("127.0.0.1:9001", "127.0.0.1:9002"));
        if (!checked(text).isClean()) {
            REJECTED.incrementAndGet();
            return;
        }
        ACCEPTED.incrementAndGet();
        try (TemporaryFolder scratch = TemporaryFolder.named("written")) {
            Path folder = scratch.folder();
            Path file = Files.writeString(folder.resolve("app.toml"), text);
            ConfigTool.Outcome outcome = ConfigTool.write(file, folder, false);
            assertEquals(ConfigTool.Written.NEW, outcome.written(), outcome.findings() + text);
            CheckedFile written = checked(outcome.after());
            assertTrue(written.isClean(), written.findings() + "\n" + outcome.after());
            assertEquals(CheckedFile.Kind.RELAY, written.kind());
        }
    }

    /** Shows that the property above has seen both accepted and rejected files. */
    @AfterContainer
    static void bothAcceptedAndRejectedFilesWereSeen() {
        assertTrue(ACCEPTED.get() > 100 && REJECTED.get() > 100, ACCEPTED + " accepted, " + REJECTED + " refused");
    }

    @Property(tries = 5, seed = "43", shrinking = ShrinkingMode.OFF)
    void acceptedFileGivesARelayThatDeliversEachClass(@ForAll @LongRange(min = 0, max = 1_000_000) long seed)
            throws Exception {
        try (TemporaryFolder scratch = TemporaryFolder.named("served");
                FakePartner first = new FakePartner(5, 0);
                FakePartner second = new FakePartner(5, 0)) {
            Path folder = scratch.folder();
            String text = null;
            CheckedFile app = null;
            for (long draw = seed; app == null || !app.isClean(); draw++) {
                text = application(
                        new Random(draw), folder.resolve("state"), List.of(first.address(), second.address()));
                app = checked(text);
            }
            Files.writeString(folder.resolve("app.toml"), text);
            serveOneOfEach(folder, app, List.of(first, second));
        }
    }

    private static void serveOneOfEach(Path folder, CheckedFile app, List<FakePartner> partners) throws Exception {
        ConfigTool.Outcome outcome = ConfigTool.write(folder.resolve("app.toml"), folder, false);
        try (ServedRelay relay = ServedRelay.start(outcome.file(), folder.resolve("log"), "-Xmx48m")
                .awaitServing()) {
            List<String> ids = new ArrayList<>();
            try (FakeClient client = relay.client()) {
                assertTrue(client.isReady());
                for (var type : app.declared().classes()) {
                    var partner = app.declared().destinations().stream()
                            .filter(p -> type.destinationKinds() == null
                                    || type.destinationKinds().contains(p.kind()))
                            .findFirst()
                            .orElseThrow();
                    ids.add(type.name());
                    // A relay that is short of CPU at its start rejects messages; they are repeated, as by a client.
                    RelayProcess.await(() -> {
                        try {
                            return client.handIn(
                                            type.name(),
                                            type.name(),
                                            null,
                                            "k-" + type.name(),
                                            partner.number(),
                                            type.deadlineMicros() / 1000,
                                            "body")
                                    == 202;
                        } catch (IOException e) {
                            throw new AssertionError(read(folder.resolve("log")) + outcome.after(), e);
                        }
                    });
                }
            }
            RelayProcess.await(() -> ids.stream()
                    .allMatch(id -> partners.stream().anyMatch(p -> p.effects().containsKey(id))));
        }
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            return "";
        }
    }
}
