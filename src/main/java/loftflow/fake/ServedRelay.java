package loftflow.fake;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A relay in a separate process, with the class path of this process. */
public final class ServedRelay implements AutoCloseable {
    private static final Pattern SERVING = Pattern.compile("serving on \\S*?([0-9.]+):(\\d+)");
    private static final Pattern SERVING_AMQP = Pattern.compile("serving AMQP on \\S*?([0-9.]+):(\\d+)");
    private static final Pattern SERVING_HTTP2 = Pattern.compile("serving HTTP/2 on \\S*?([0-9.]+):(\\d+)");
    private static final Pattern ANY = Pattern.compile("serving (AMQP |HTTP/2 )?on |amqp: consuming queue");
    private static final String MAIN = "loftflow.cli.Main";
    private static final int TIMEOUT_SECONDS = 30;
    private static final int POLL_MILLIS = 20;
    private static final double TICKS_PER_SECOND = 100;

    /**
     * The build of the relay and the CPU core to run it on.
     *
     * @param build a jar or class folder that precedes the class path of this process, or null for none
     * @param core the CPU core, or a negative number for any
     * @param environment variables in addition to those of this process
     */
    public record Program(Path build, int core, Map<String, String> environment) {
        /** The build of this process, on any core. */
        public static final Program OWN = new Program(null, -1);

        /** Creates a program with the environment of this process. */
        public Program(Path build, int core) {
            this(build, core, Map.of());
        }

        /** Returns this program with other variables in addition to those of this process. */
        public Program withEnvironment(Map<String, String> variables) {
            return new Program(build, core, variables);
        }

        /** Returns the start of the command line, up to the class path. */
        private List<String> commandLine() {
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

    /** Relays to be killed when this JVM shuts down, so that they do not outlive it. */
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
     * Starts a relay and returns before it serves.
     *
     * @param file the relay file
     * @param log file that receives the output of the process
     * @param options JVM options
     */
    public static ServedRelay start(Path file, Path log, String... options) throws IOException {
        return start(Program.OWN, List.of(options), serving(file), log);
    }

    /** Returns the main class and arguments with which a relay serves by a relay file. */
    public static List<String> serving(Path file) {
        return List.of(MAIN, "serve", "--config", file.toString());
    }

    /**
     * Starts a relay of a given build on a given core, or another program that logs that it serves as a relay does.
     *
     * @param options JVM options
     * @param arguments main class and its arguments
     * @param log file that receives the output of the process
     */
    public static ServedRelay start(Program program, List<String> options, List<String> arguments, Path log)
            throws IOException {
        List<String> line = program.commandLine();
        line.addAll(options);
        line.addAll(arguments);
        ProcessBuilder builder =
                new ProcessBuilder(line).redirectErrorStream(true).redirectOutput(log.toFile());
        // A relay rejects a state folder inside $TMPDIR, because its files may be removed; that of a test may lie
        // there.
        builder.environment().remove("TMPDIR");
        builder.environment().putAll(program.environment());
        return new ServedRelay(builder.start(), log);
    }

    /**
     * Waits until the relay serves on a listener.
     *
     * @throws IOException with the output of the process, if it ended or did not serve within
     *     {@value #TIMEOUT_SECONDS} s
     */
    public ServedRelay awaitServing() throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!ANY.matcher(log()).find()) {
            if (System.nanoTime() > end || !process.isAlive()) {
                throw new IOException("the relay does not serve: " + log().strip());
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
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

    /** Returns the address of the first HTTP/1.1 listener. */
    public String host() throws IOException {
        return served(SERVING).group(1);
    }

    /** Returns the port of the first HTTP/1.1 listener. */
    public int port() throws IOException {
        return Integer.parseInt(served(SERVING).group(2));
    }

    /** Returns the port of the first AMQP listener. */
    public int amqpPort() throws IOException {
        return Integer.parseInt(served(SERVING_AMQP).group(2));
    }

    /** Returns the port of the first HTTP/2 listener. */
    public int http2Port() throws IOException {
        return Integer.parseInt(served(SERVING_HTTP2).group(2));
    }

    /** Returns a new client of the first HTTP/1.1 listener. */
    public FakeClient client() throws IOException {
        return new FakeClient(host(), port());
    }

    /** Returns the output of the process so far. */
    public String log() throws IOException {
        return Files.readString(log);
    }

    public Process process() {
        return process;
    }

    /** Returns the CPU time that the process has used, in seconds. */
    public double cpuSeconds() throws IOException {
        String[] parts = Files.readString(Path.of("/proc/" + process.pid() + "/stat"))
                .replaceAll("^.*\\)", "")
                .split(" ");
        return (Long.parseLong(parts[12]) + Long.parseLong(parts[13])) / TICKS_PER_SECOND;
    }

    /** Returns the resident memory of the process in KiB. */
    public long residentKib() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(l -> l.startsWith("VmRSS"))
                .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")))
                .sum();
    }

    /** Terminates the process, and kills it if it has not ended within {@value #TIMEOUT_SECONDS} s. */
    public void stop() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            close();
        }
    }

    /** Kills the process and waits until it has ended. */
    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
    }
}
