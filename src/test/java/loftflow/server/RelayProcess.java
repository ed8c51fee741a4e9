package loftflow.server;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loftflow.cli.Main;
import loftflow.engine.Message;
import loftflow.fake.ScriptedPeer;
import loftflow.journal.Journal;

/** A relay in a process of its own, with scripted peers as upstreams and discovery agent. */
public final class RelayProcess implements AutoCloseable {
    private static final Pattern SERVING = Pattern.compile("serving on \\S*?([0-9.]+):(\\d+)");
    private static final Pattern PEAK_RESIDENT = Pattern.compile("VmHWM:\\s*(\\d+) kB");
    private static final int KIB_PER_MIB = 1024;
    private static final Path DEPLOY_FILE = Path.of("deploy/balancer.toml");
    private static final Pattern RUN_COMMAND = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final String JAR_OPTION = "-jar target/loftflow.jar";
    private static final int STATUS_ACCEPTED = 202;
    private static final int STATUS_REJECTED = 503;
    private static final int TIMEOUT_SECONDS = 30;

    /**
     * A response of the relay.
     *
     * @param status the status code, or 0 if the connection ended before a complete head
     * @param head the received part of the head
     */
    record Response(int status, String head) {}

    private final Path folder;
    private ScriptedPeer discovery;
    private final List<String> knownEndpoints = new ArrayList<>();
    private double diskMib = 3;
    private String roundPeriodSeconds = "0.005";
    private String keyWindowSeconds = "5";
    private int maxDescriptors = 1024;
    private int configuredMemoryMib = 192;
    private int configuredDescriptors = 256;
    private int maxOpenMessages = 50;
    private int concurrentCalls = 8;
    private boolean mayHedge = true;
    private boolean usesDeployedCommand;
    private Path warmStartFile;
    private Process process;
    private Path log;
    private int startCount;

    RelayProcess(Path folder, ScriptedPeer discovery) {
        this.folder = folder;
        this.discovery = discovery;
    }

    /**
     * Returns an entry of the endpoint list. Kind {@code one} accepts one message per call, {@code many} accepts four.
     */
    static String target(String uid, int destination, String kind, String state, String address) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + address + "\",\"az\":\"a\",\"model\":\"" + kind
                + "\",\"pod_group\":" + destination + ",\"state\":\"" + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    static String list(int rev, boolean all, String... targets) {
        return "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":[" + String.join(",", targets) + "]}";
    }

    /** Starts a discovery agent that never responds to list requests and acknowledges every completion. */
    static ScriptedPeer discoveryWithoutList() throws IOException {
        return new ScriptedPeer(
                request -> request.line().startsWith("POST /status") ? ScriptedPeer.status(204) : ScriptedPeer.SILENCE);
    }

    RelayProcess withKnownEndpoint(String uid, int destination, String kind, ScriptedPeer host) {
        return withKnownEndpoint(uid, destination, kind, host.address());
    }

    RelayProcess withKnownEndpoint(String uid, int destination, String kind, String address) {
        knownEndpoints.add(target(uid, destination, kind, "in_service", address));
        return this;
    }

    RelayProcess withDiskMib(double mib) {
        diskMib = mib;
        return this;
    }

    /** Sets the time for which the relay collects events before a round. */
    RelayProcess withRoundPeriod(String seconds) {
        roundPeriodSeconds = seconds;
        return this;
    }

    /** Sets the time for which upstreams deduplicate by key. */
    RelayProcess withKeyWindow(String seconds) {
        keyWindowSeconds = seconds;
        return this;
    }

    /** Sets the operating system's limit on file descriptors, which may differ from the configured one. */
    RelayProcess withDescriptorLimit(int max) {
        maxDescriptors = max;
        return this;
    }

    /** Sets the file that configures the warm start. */
    RelayProcess withWarmStartFile(Path file) {
        warmStartFile = file;
        return this;
    }

    /** Sets the limit on open messages. */
    RelayProcess withMaxOpenMessages(int max) {
        maxOpenMessages = max;
        return this;
    }

    /** Sets the limit on concurrent calls. */
    RelayProcess withConcurrentCalls(int max) {
        concurrentCalls = max;
        return this;
    }

    /** Sets whether a message may have two attempts outstanding. */
    RelayProcess withSecondCopies(boolean allowed) {
        mayHedge = allowed;
        return this;
    }

    /** Starts the relay by the {@code run} command of the deploy file, with the given limits in its configuration. */
    RelayProcess withDeployedCommand(int memoryMib, int descriptors) {
        usesDeployedCommand = true;
        configuredMemoryMib = memoryMib;
        configuredDescriptors = descriptors;
        return this;
    }

    /** Returns the largest resident size that the process has had, in MiB. */
    int peakResidentMib() {
        Matcher peak = PEAK_RESIDENT.matcher(read(Path.of("/proc/" + process.pid() + "/status")));
        return peak.find() ? Integer.parseInt(peak.group(1)) / KIB_PER_MIB : -1;
    }

    long processId() {
        return process.pid();
    }

    /** Returns the number of file descriptors that the relay has open. */
    int openDescriptors() {
        return Path.of("/proc/" + process.pid() + "/fd").toFile().list().length;
    }

    Path stateDirectory() {
        return folder.resolve("state");
    }

    private Path configurationFile() {
        return folder.resolve("config.json");
    }

    private void writeConfiguration() throws IOException {
        Files.writeString(
                configurationFile(),
                "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                        + discovery.address() + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
                        + "\"memory_mb\":" + configuredMemoryMib + ",\"sockets\":" + configuredDescriptors
                        + ",\"disk_mb\":" + diskMib + "},\"known\":"
                        + list(1, true, knownEndpoints.toArray(String[]::new)) + ",\"settings\":"
                        + SETTINGS.replace("PERIOD", roundPeriodSeconds)
                                .replace("KEY_WINDOW", keyWindowSeconds)
                                .replace("MAX_OPEN", Integer.toString(maxOpenMessages))
                                .replace("CALL_SLOTS", Integer.toString(concurrentCalls))
                                .replace("SECOND_COPIES", Boolean.toString(mayHedge))
                        + "}");
    }

    /** Changes the discovery address in the configuration file and sends SIGHUP. */
    void moveDiscovery(ScriptedPeer next) throws IOException {
        replaceConfiguration(next);
        sendSighup();
    }

    /** Changes the discovery address in the configuration file without sending a signal. */
    void replaceConfiguration(ScriptedPeer next) throws IOException {
        discovery = next;
        writeConfiguration();
    }

    /** Replaces the content of the configuration file and sends SIGHUP. */
    void corruptConfiguration(String text) throws IOException {
        Files.writeString(configurationFile(), text);
        sendSighup();
    }

    void sendSighup() throws IOException {
        signal("HUP");
    }

    /** Suspends the process, which simulates a lack of CPU; returns once it is suspended. */
    void pause() throws IOException {
        signal("STOP");
        Path state = Path.of("/proc/" + process.pid() + "/stat");
        await(() -> read(state).contains(") T "));
    }

    void resume() throws IOException {
        signal("CONT");
    }

    private void signal(String name) throws IOException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
    }

    RelayProcess start() throws IOException {
        writeConfiguration();
        log = folder.resolve("log" + startCount++);
        ProcessBuilder builder = new ProcessBuilder(usesDeployedCommand ? deployedCommand() : testCommand())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile());
        if (warmStartFile != null) {
            builder.command().addAll(List.of("--memory", warmStartFile.toString()));
        }
        builder.environment().put("EDGE_CONFIG", configurationFile().toString());
        builder.environment().put("EDGE_STATE", stateDirectory().toString());
        process = builder.start();
        await(() -> SERVING.matcher(log()).find());
        return this;
    }

    private List<String> testCommand() {
        return new ArrayList<>(List.of(
                "sh",
                "-c",
                "ulimit -n " + maxDescriptors + " && exec \"$0\" \"$@\"",
                Path.of(System.getProperty("java.home"), "bin/java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-Xmx24m",
                "-XX:+ExitOnOutOfMemoryError",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "serve"));
    }

    /** Returns the deployed command with the classes of this process in place of the jar. */
    private List<String> deployedCommand() throws IOException {
        Matcher run = RUN_COMMAND.matcher(Files.readString(DEPLOY_FILE));
        if (!run.find() || !run.group(1).contains(JAR_OPTION)) {
            throw new IOException("no run command with " + JAR_OPTION + " in " + DEPLOY_FILE);
        }
        String classes = "-cp " + System.getProperty("java.class.path") + " " + Main.class.getName();
        String command =
                run.group(1).replace("\\\"", "\"").replace("\\\\", "\\").replace(JAR_OPTION, classes);
        return new ArrayList<>(List.of("/bin/sh", "-c", "ulimit -n " + configuredDescriptors + " && " + command));
    }

    private static final String SETTINGS =
            """
            {"me":0,"fleet-size":1,"zone":"a","zones":["a"],"kinds":["one","many"],"period-s":PERIOD,
             "accounts":[{"name":"acme","quota-rps":5}],
             "classes":[
              {"name":"safe","repeat":"repeatable","goal-time-s":2,"deadline-s":20,"worth":1},
              {"name":"keyed","repeat":"by_key","key-scope":"zone","dedup-window-s":KEY_WINDOW,"goal-time-s":2,
               "deadline-s":20,"worth":1},
              {"name":"unsafe","repeat":"once","goal-time-s":2,"deadline-s":20,"worth":1},
              {"name":"ordered","repeat":"once","goal-time-s":2,"deadline-s":20,"worth":1,"fifo-by-key":true}],
             "family-info":{"call-slots":CALL_SLOTS,"batch-by-kind":[1,4],"routes-apart":[false,false]},
             "limits":{"max-open":MAX_OPEN,"send-cap":12,"may-cancel":true,"probes":true,"second-copies":SECOND_COPIES,
              "connect-timeout-s":1.5,"conn-idle-s":10},
             "contract":{"drain-grace-s":0.5,"fall-s":2.0,"fall-multiple":2.5,"cold-from":0.2,"warm-up-s":9},
             "stats":{"how":"inline","fields":["x0","x1"]},"fees":{}}""";

    String log() {
        return read(log);
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            return "";
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends SIGKILL and waits for the end of the process. */
    void kill() {
        process.destroyForcibly();
        process.onExit().join();
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    boolean hasEnded() throws InterruptedException {
        return process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Returns where the relay listens. */
    InetSocketAddress address() throws IOException {
        Matcher address = SERVING.matcher(log());
        if (!address.find()) {
            throw new IOException("the relay does not serve: " + log());
        }
        return new InetSocketAddress(address.group(1), Integer.parseInt(address.group(2)));
    }

    Socket connect() throws IOException {
        InetSocketAddress address = address();
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(TIMEOUT_SECONDS * 1000);
        return socket;
    }

    /** Submits a message and returns the status code of the response. */
    int submit(String id, String requestClass, int destination) throws IOException {
        return submit(id, requestClass, destination, 20_000, "hello");
    }

    int submit(String id, String requestClass, int destination, int budgetMillis, String body) throws IOException {
        return exchange(message(id, requestClass, destination, budgetMillis, body))
                .status();
    }

    /** As below, with 20 s for the message. */
    void submitUntilAccepted(String id, String requestClass, int destination) {
        submitUntilAccepted(id, requestClass, destination, 20_000, "hello");
    }

    /** Submits a message and repeats it while it is rejected: a relay with little CPU rejects what it reads late. */
    void submitUntilAccepted(String id, String requestClass, int destination, int budgetMillis, String body) {
        await(() -> {
            try {
                int status = submit(id, requestClass, destination, budgetMillis, body);
                if (status != STATUS_ACCEPTED && status != STATUS_REJECTED) {
                    throw new AssertionError("status " + status);
                }
                return status == STATUS_ACCEPTED;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    static String message(String id, String requestClass, int destination, int budgetMillis, String body) {
        return "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: " + id + "\r\nX-Call-Class: " + requestClass
                + "\r\nX-Caller: acme\r\nX-Budget-Ms: " + budgetMillis + "\r\nIdempotency-Key: key-" + id
                + "\r\nContent-Length: " + body.length() + "\r\nX-Consignee: dest=" + destination
                + "\r\n\r\n" + body;
    }

    /** Sends a request on a connection of its own and reads the head of the response. */
    Response exchange(String request) throws IOException {
        try (Socket socket = connect()) {
            return exchange(socket, request);
        }
    }

    /** Sends a request, which may be empty, and reads the head of the next response. */
    static Response exchange(Socket socket, String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        StringBuilder head = new StringBuilder();
        for (int next = socket.getInputStream().read();
                next >= 0;
                next = socket.getInputStream().read()) {
            head.append((char) next);
            if (head.toString().endsWith("\r\n\r\n")) {
                return new Response(Integer.parseInt(head.substring(9, 12)), head.toString());
            }
        }
        return new Response(0, head.toString());
    }

    /** Returns the open messages in the journal of the running relay, which are read from a copy of its files. */
    List<Message> openJournalMessages() {
        try (var files = Files.list(stateDirectory())) {
            Path copy = Files.createDirectories(folder.resolve("copy"));
            for (Path file : files.toList()) {
                Files.copy(file, copy.resolve(file.getFileName()), StandardCopyOption.REPLACE_EXISTING);
            }
            try (Journal journal = new Journal(copy, 3 << 20)) {
                return journal.openMessages();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    boolean hasNotified(String id, String result) {
        return discovery.requests.stream()
                .anyMatch(r -> r.line().startsWith("POST /status")
                        && r.body().contains("{\"ref\":\"" + id + "\",\"result\":\"" + result + "\""));
    }

    /** Blocks the calling thread, usually an event loop, which simulates a lack of CPU. */
    public static void blockThread(long millis) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() - end < 0) {
            Thread.onSpinWait();
        }
    }

    /** Waits until a condition holds; fails after {@value #TIMEOUT_SECONDS} s. */
    public static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("the condition did not hold within " + TIMEOUT_SECONDS + " s");
            }
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }

    @Override
    public void close() {
        if (process != null) {
            kill();
        }
    }
}
