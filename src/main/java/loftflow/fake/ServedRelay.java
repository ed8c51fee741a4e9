package loftflow.fake;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A relay that serves by its relay file, as a process of its own with the class path of this one. */
public final class ServedRelay implements AutoCloseable {
    private static final Pattern SERVING = Pattern.compile("serving on \\S*?([0-9.]+):(\\d+)");
    private static final Pattern SERVING_AMQP = Pattern.compile("serving AMQP on \\S*?([0-9.]+):(\\d+)");
    private static final Pattern SERVING_HTTP2 = Pattern.compile("serving HTTP/2 on \\S*?([0-9.]+):(\\d+)");
    private static final Pattern ANY = Pattern.compile("serving (AMQP |HTTP/2 )?on |amqp: consuming queue");
    private static final String MAIN = "loftflow.cli.Main";
    private static final int PATIENCE_S = 30;
    private static final int LOOK_MS = 20;
    private static final double TICKS = 100;

    /**
     * What runs.
     *
     * @param build a jar or a folder of classes whose classes go before this program's; null for this program
     * @param core the core that it runs on; negative for any
     */
    public record Program(Path build, int core) {
        /** This program, on any core. */
        public static final Program OWN = new Program(null, -1);

        /** The line that begins a program of its class path, but for options, main class and arguments. */
        private List<String> line() {
            List<String> line =
                    new ArrayList<>(core < 0 ? List.of() : List.of("taskset", "-c", Integer.toString(core)));
            line.addAll(List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-XX:TieredStopAtLevel=1",
                    "-XX:+UseSerialGC",
                    "-cp",
                    (build == null ? "" : build.toAbsolutePath() + File.pathSeparator)
                            + System.getProperty("java.class.path")));
            return line;
        }
    }

    /** Guards against relays that outlive whoever started them, where that is asked to end. */
    private static final Set<Process> LIVE = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> LIVE.forEach(Process::destroyForcibly), "end-relays"));
    }

    private final Process process;
    private final Path log;

    private ServedRelay(Process process, Path log) {
        this.process = process;
        this.log = log;
        LIVE.add(process);
        process.onExit().thenRun(() -> LIVE.remove(process));
    }

    /**
     * Starts one; it may not serve yet when this returns.
     *
     * @param log what it prints goes there
     * @param options of its virtual machine
     */
    public static ServedRelay start(Path file, Path log, String... options) throws IOException {
        return start(Program.OWN, List.of(options), serving(file), log);
    }

    /** The main class of a relay and what follows it, to serve by a file. */
    public static List<String> serving(Path file) {
        return List.of(MAIN, "serve", "--config", file.toString());
    }

    /**
     * Starts one of another build, or on one core, or something else that stands in a relay's place and says that it
     * serves as a
     * relay does.
     *
     * @param arguments its main class and what follows
     */
    public static ServedRelay start(Program program, List<String> options, List<String> arguments, Path log)
            throws IOException {
        List<String> line = program.line();
        line.addAll(options);
        line.addAll(arguments);
        ProcessBuilder builder =
                new ProcessBuilder(line).redirectErrorStream(true).redirectOutput(log.toFile());
        // Its folder may lie among temporary files here, which a relay rightly refuses where they may be removed.
        builder.environment().remove("TMPDIR");
        return new ServedRelay(builder.start(), log);
    }

    /**
     * Waits until it serves.
     *
     * @throws IOException with what it printed, where it ended or took too long
     */
    public ServedRelay awaitServing() throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!ANY.matcher(log()).find()) {
            if (System.nanoTime() > end || !process.isAlive()) {
                throw new IOException("the relay does not serve: " + log().strip());
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        }
        return this;
    }

    private Matcher served(Pattern line) throws IOException {
        Matcher at = line.matcher(log());
        if (!at.find()) {
            throw new IOException("the relay does not serve: " + log().strip());
        }
        return at;
    }

    /** The address of its first front. */
    public String host() throws IOException {
        return served(SERVING).group(1);
    }

    /** The port of its first front. */
    public int port() throws IOException {
        return Integer.parseInt(served(SERVING).group(2));
    }

    /** The port of its first front that speaks AMQP. */
    public int amqpPort() throws IOException {
        return Integer.parseInt(served(SERVING_AMQP).group(2));
    }

    /** The port of its first front that speaks HTTP/2. */
    public int http2Port() throws IOException {
        return Integer.parseInt(served(SERVING_HTTP2).group(2));
    }

    /** A new client of its first front, which speaks HTTP/1.1. */
    public FakeClient client() throws IOException {
        return new FakeClient(host(), port());
    }

    /** All that it has printed. */
    public String log() throws IOException {
        return Files.readString(log);
    }

    public Process process() {
        return process;
    }

    /** Seconds of CPU that it has used. */
    public double cpuSeconds() throws IOException {
        String[] parts = Files.readString(Path.of("/proc/" + process.pid() + "/stat"))
                .replaceAll("^.*\\)", "")
                .split(" ");
        return (Long.parseLong(parts[12]) + Long.parseLong(parts[13])) / TICKS;
    }

    /** KiB of its memory that are resident. */
    public long residentKib() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(l -> l.startsWith("VmRSS"))
                .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")))
                .sum();
    }

    /** Asks it to end, and ends it where it does not. */
    public void stop() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(PATIENCE_S, TimeUnit.SECONDS)) {
            close();
        }
    }

    /** Kills it, and returns when it is gone. */
    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
    }
}
