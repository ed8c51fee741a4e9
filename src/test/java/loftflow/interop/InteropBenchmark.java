package loftflow.interop;

import com.rabbitmq.client.AMQP;
import com.rabbitmq.client.Channel;
import com.rabbitmq.client.Connection;
import com.rabbitmq.client.ConnectionFactory;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import loftflow.amqp.codec.CommandAssembler;
import loftflow.amqp.codec.Frame;
import loftflow.amqp.codec.Method;
import loftflow.amqp.codec.MethodType;
import loftflow.amqp.codec.Properties;
import loftflow.amqp.codec.Property;
import loftflow.config.tool.ConfigTool;
import loftflow.fake.FakeBroker;
import loftflow.fake.FakeClient;
import loftflow.fake.FakePartner;
import loftflow.fake.ServedRelay;
import loftflow.fake.TemporaryFolder;

/**
 * Measurements of HTTP and AMQP, each a command: {@code pairs CORE} (messages a second and p99 of the four pairs in
 * turn,
 * the relay on one core), {@code channels} (resident memory with 100 channels), {@code codec} (frames a second),
 * {@code standing} (a listener and a fake broker, for src/test/js/amqplib.js, until it is ended).
 */
public final class InteropBenchmark {
    private static final int RATE = 200;
    private static final int SECONDS = 6;
    private static final int THREADS = 24;
    private static final int CONNECTIONS = 4;
    private static final int OUT = 64;

    private InteropBenchmark() {}

    /** Runs one of them. */
    public static void main(String[] args) throws Exception {
        try (TemporaryFolder scratch = TemporaryFolder.named("measure")) {
            Path folder = scratch.folder();
            switch (args.length > 0 ? args[0] : "") {
                case "pairs" -> pairs(folder, args[1]);
                case "channels" -> channels(folder);
                case "codec" -> codec();
                case "standing" -> standing(folder);
                default -> say("pairs CORE, channels, codec or standing");
            }
        }
        System.exit(0);
    }

    private static void say(String form, Object... values) {
        System.out.println(String.format(Locale.ROOT, form, values));
    }

    private static Path file(Path folder, String name, boolean amqpFront, String tables, String endpoint)
            throws Exception {
        Path application = Files.writeString(
                folder.resolve(name + ".toml"),
                """
                format = 1
                name = "%s"
                [machine]
                memory = "192MiB"
                descriptors = 256
                disk = "128MiB"
                folder = "%s"
                [[front]]
                protocol = "%s"
                listen = "127.0.0.1:0"
                %s
                [duplicates]
                entries = 100000
                [[class]]
                name = "settlement"
                repeat = "once"
                wanted = "1s"
                deadline = "5s"
                peak-rate = "400/s"
                [[partner]]
                name = "elevator"
                number = 7
                kind = "elevators"
                response = "20ms"
                %s
                """
                        .formatted(
                                name,
                                folder.resolve(name),
                                amqpFront ? "amqp" : "http",
                                (amqpFront ? "heartbeat = \"2s\"\n" : "") + tables,
                                endpoint));
        ConfigTool.Outcome outcome = ConfigTool.write(application, folder, true);
        if (outcome.after() == null) {
            throw new IOException(outcome.findings().toString());
        }
        return outcome.file();
    }

    /** Hands messages in: as fast as it may, or at a rate. */
    private interface Load {
        long run(long nanos, int rate, Map<String, Long> handed) throws Exception;
    }

    private static Load http(ServedRelay relay, String prefix) {
        return (nanos, rate, handed) -> {
            AtomicLong taken = new AtomicLong();
            AtomicLong next = new AtomicLong();
            long start = System.nanoTime();
            List<Thread> threads = new ArrayList<>();
            for (int t = 0; t < THREADS; t++) {
                Thread thread = new Thread(() -> {
                    try (FakeClient client = relay.client()) {
                        while (System.nanoTime() - start < nanos) {
                            long n = next.getAndIncrement();
                            pause(start, n, rate);
                            String id = prefix + n;
                            handed.put(id, System.nanoTime());
                            if (client.handIn(id, "settlement", null, null, 7, 5_000, "x".repeat(300)) == 202) {
                                taken.incrementAndGet();
                            }
                        }
                    } catch (IOException | InterruptedException e) {
                        say("%s", e);
                    }
                });
                threads.add(thread);
                thread.start();
            }
            for (Thread thread : threads) {
                thread.join();
            }
            return taken.get();
        };
    }

    private static void pause(long start, long n, int rate) throws InterruptedException {
        if (rate > 0) {
            TimeUnit.NANOSECONDS.sleep(start + n * 1_000_000_000L / rate - System.nanoTime());
        }
    }

    private static Load amqp(ServedRelay relay, String prefix) {
        return (nanos, rate, handed) -> {
            AtomicLong taken = new AtomicLong();
            long start = System.nanoTime();
            List<Thread> threads = new ArrayList<>();
            for (int c = 0; c < CONNECTIONS; c++) {
                String own = prefix + c + "-";
                Thread thread = new Thread(() -> {
                    try (Connection connection = connect(relay.amqpPort());
                            Channel channel = connection.createChannel()) {
                        Semaphore room = new Semaphore(OUT);
                        channel.confirmSelect();
                        channel.addConfirmListener(
                                (tag, multiple) -> {
                                    taken.incrementAndGet();
                                    room.release();
                                },
                                (tag, multiple) -> room.release());
                        for (long n = 0; System.nanoTime() - start < nanos; n++) {
                            pause(start, n, rate / CONNECTIONS);
                            room.acquire();
                            handed.put(own + n, System.nanoTime());
                            channel.basicPublish(
                                    "loftflow",
                                    "7",
                                    new AMQP.BasicProperties.Builder()
                                            .messageId(own + n)
                                            .type("settlement")
                                            .expiration("5000")
                                            .build(),
                                    new byte[300]);
                        }
                        room.tryAcquire(OUT, 5, TimeUnit.SECONDS);
                    } catch (Exception e) {
                        say("%s", e);
                    }
                });
                threads.add(thread);
                thread.start();
            }
            for (Thread thread : threads) {
                thread.join();
            }
            return taken.get();
        };
    }

    private static Connection connect(int port) throws Exception {
        ConnectionFactory factory = new ConnectionFactory();
        factory.setHost("127.0.0.1");
        factory.setPort(port);
        factory.setAutomaticRecoveryEnabled(false);
        return factory.newConnection();
    }

    private static void pairs(Path folder, String core) throws Exception {
        for (int round = 0; round < 2; round++) {
            for (boolean amqpFront : new boolean[] {false, true}) {
                for (boolean amqpPartner : new boolean[] {false, true}) {
                    pair(folder, core, round, amqpFront, amqpPartner);
                }
            }
        }
    }

    private static void pair(Path folder, String core, int round, boolean amqpFront, boolean amqpPartner)
            throws Exception {
        String name = (amqpFront ? "amqp" : "http") + "-to-" + (amqpPartner ? "amqp" : "http") + "-" + round;
        try (FakePartner partner = new FakePartner(0, 0);
                FakeBroker broker = new FakeBroker()) {
            broker.declare("out");
            Path file = file(
                    folder,
                    name,
                    amqpFront,
                    "[[broker]]\nname = \"b\"\nheartbeat = \"2s\"",
                    amqpPartner
                            ? "[[partner.endpoint]]\nid = \"e1\"\naddress = \"" + broker.address()
                                    + "\"\nbroker = \"b\"\nrouting-key = \"out\""
                            : "[[partner.endpoint]]\nid = \"e1\"\naddress = \"" + partner.address() + "\"");
            try (ServedRelay relay = ServedRelay.start(
                            file, folder.resolve(name + ".log"), "-Xmx96m", "-Dio.netty.allocator.type=unpooled")
                    .awaitServing()) {
                new ProcessBuilder(
                                "taskset",
                                "-a",
                                "-p",
                                "-c",
                                core,
                                Long.toString(relay.process().pid()))
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start()
                        .waitFor();
                Map<String, Long> handed = new ConcurrentHashMap<>();
                load(relay, amqpFront, "warm").run(3_000_000_000L, 0, handed);
                double before = relay.cpuSeconds();
                long taken = load(relay, amqpFront, "fast").run(5_000_000_000L, 0, handed);
                double used = relay.cpuSeconds() - before;
                Thread.sleep(4_000);
                handed.clear();
                load(relay, amqpFront, "paced").run(SECONDS * 1_000_000_000L, RATE, handed);
                Thread.sleep(2_000);
                Map<String, Long> ran = new HashMap<>();
                partner.postings().forEach(p -> ran.put(p.id(), p.atNanos()));
                broker.postings().forEach(p -> ran.put(p.id(), p.atNanos()));
                List<Double> spans = handed.keySet().stream()
                        .filter(ran::containsKey)
                        .map(id -> (ran.get(id) - handed.get(id)) / 1e6)
                        .sorted()
                        .toList();
                say(
                        "%s: %.0f messages a second taken on one core, %.0f us of CPU each; at %d a second p50 %.1f ms, p99 %.1f ms"
                                + " (%d of %d); %d twice",
                        name,
                        taken / 5.0,
                        used * 1e6 / taken,
                        RATE,
                        spans.get(spans.size() / 2),
                        spans.get((int) (spans.size() * 0.99)),
                        spans.size(),
                        handed.size(),
                        partner.effects().values().stream().filter(n -> n > 1).count()
                                + broker.effects().values().stream()
                                        .filter(n -> n > 1)
                                        .count());
            }
        }
    }

    private static Load load(ServedRelay relay, boolean amqp, String prefix) {
        return amqp ? amqp(relay, prefix) : http(relay, prefix);
    }

    private static void channels(Path folder) throws Exception {
        try (FakePartner partner = new FakePartner(0, 0)) {
            for (boolean amqp : new boolean[] {false, true}) {
                Path file = file(
                        folder,
                        amqp ? "amqp" : "http",
                        amqp,
                        "",
                        "[[partner.endpoint]]\nid = \"e1\"\naddress = \"" + partner.address() + "\"");
                try (ServedRelay relay = ServedRelay.start(
                                file, folder.resolve(amqp + ".log"), "-Xmx72m", "-Dio.netty.allocator.type=unpooled")
                        .awaitServing()) {
                    Thread.sleep(2_000);
                    say("%s front, nobody there: %d kB resident", amqp ? "AMQP" : "HTTP", relay.residentKib());
                    if (amqp) {
                        int sent = 0;
                        List<Connection> open = new ArrayList<>();
                        for (int c = 0; c < 2; c++) {
                            open.add(connect(relay.amqpPort()));
                            for (int i = 0; i < 50; i++) {
                                Channel channel = open.get(c).createChannel();
                                channel.confirmSelect();
                                channel.basicPublish(
                                        "loftflow",
                                        "7",
                                        new AMQP.BasicProperties.Builder()
                                                .messageId("m" + sent++)
                                                .type("settlement")
                                                .build(),
                                        new byte[300]);
                                channel.waitForConfirms(5_000);
                            }
                        }
                        say("100 channels, each with a message taken: %d kB resident", relay.residentKib());
                        for (Connection connection : open) {
                            connection.close();
                        }
                    }
                }
            }
        }
    }

    private static void standing(Path folder) throws Exception {
        try (FakePartner partner = new FakePartner(0, 0);
                FakeBroker broker = new FakeBroker()) {
            Path file = file(
                    folder,
                    "standing",
                    true,
                    "",
                    "[[partner.endpoint]]\nid = \"e1\"\naddress = \"" + partner.address() + "\"");
            try (ServedRelay relay =
                    ServedRelay.start(file, folder.resolve("log"), "-Xmx72m").awaitServing()) {
                say("listener %d broker %d", relay.amqpPort(), broker.port());
                while (System.in.read() >= 0) {
                    continue;
                }
            }
        }
    }

    private static void codec() throws Exception {
        byte[] body = new byte[300];
        Properties properties = Properties.NONE
                .with(Property.MESSAGE_ID, "m-1234567")
                .with(Property.TYPE, "settlement")
                .with(Property.EXPIRATION, "5000")
                .with(Property.HEADERS, Map.<String, Object>of("Idempotency-Key", "k-12345"));
        Method publish = Method.of(MethodType.BASIC_PUBLISH, "loftflow", "7", true, false);
        for (int round = 0; round < 3; round++) {
            int count = 1_000_000;
            CommandAssembler assembler =
                    new CommandAssembler(1, 1 << 16, loftflow.amqp.link.AmqpConnection.UNLIMITED_BODY_BUDGET);
            ByteBuf out = Unpooled.buffer(1 << 12);
            long writing = 0;
            long reading = 0;
            long read = 0;
            for (int i = 0; i < count / 100; i++) {
                long start = System.nanoTime();
                out.clear();
                for (int k = 0; k < 100; k++) {
                    Frame.write(out, 1, publish, properties, body, 1 << 17);
                }
                long written = System.nanoTime();
                writing += written - start;
                for (Frame frame = Frame.next(out, 1 << 17); frame != null; frame = Frame.next(out, 1 << 17)) {
                    read += assembler.add(frame) == null ? 0 : 1;
                    frame.payload().release();
                }
                reading += System.nanoTime() - written;
            }
            say(
                    "%d publishes of 300 bytes: %.2f million frames a second written, %.2f million read",
                    read, 3.0 * count / writing * 1e3, 3.0 * count / reading * 1e3);
        }
    }
}
