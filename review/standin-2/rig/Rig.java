package rig;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins for the clients, hosts and the platform's agent of PROTOCOL-loftflow.md, and a relay that is started by the
 * command `run` of the deploy file. Everything listens on 127.0.0.1 at free ports; state is kept in a temporary folder
 * that close() removes. Used by the scripts review/6 to review/10.
 */
public final class Rig implements AutoCloseable {
    private static final long START_NANOS = System.nanoTime();

    public final Path folder;
    private final List<AutoCloseable> open = new ArrayList<>();
    private final List<String> record = new CopyOnWriteArrayList<>();
    private final Path recordFile;
    public final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, Rig::daemon);
    public final ExecutorService pool = Executors.newCachedThreadPool(Rig::daemon);

    public Rig(Path recordFile) throws IOException {
        this.recordFile = recordFile;
        folder = Files.createTempDirectory("loftflow-review-");
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    /** Returns whether the disruption is to be played. */
    public static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Returns the milliseconds since this process started, the time of all records. */
    public static long now() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    public static void sleep(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis));
    }

    public void log(String line) {
        record.add(String.format(Locale.ROOT, "%7d %s", now(), line));
    }

    public <T extends AutoCloseable> T add(T part) {
        open.add(part);
        return part;
    }

    @Override
    public void close() throws Exception {
        for (int i = open.size() - 1; i >= 0; i--) {
            open.get(i).close();
        }
        timer.shutdownNow();
        pool.shutdownNow();
        Files.write(recordFile, record);
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }

    /** A case: plays a day and returns what broke the rule. */
    public interface Day {
        List<String> play(Rig rig) throws Exception;
    }

    /** Plays a case and ends this process: with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
    public static void run(String recordFile, Day day) {
        int code = 2;
        try {
            List<String> broken;
            try (Rig rig = new Rig(Path.of(recordFile))) {
                broken = day.play(rig);
                broken.forEach(line -> rig.log("BROKEN " + line));
                rig.log(broken.isEmpty() ? "the rule held" : "the rule was broken " + broken.size() + " times");
            }
            broken.forEach(System.out::println);
            System.out.println(broken.isEmpty() ? "the rule held" : "the rule was broken");
            code = broken.isEmpty() ? 0 : 1;
        } catch (Throwable e) {
            e.printStackTrace(System.out);
        }
        System.exit(code);
    }

    // ---- HTTP/1.1, as far as the protocol needs it

    /** The head and body of a request or response. */
    public static final class Http {
        public String first;
        public final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        public byte[] body = new byte[0];

        public int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        public String path() {
            return first.split(" ")[1];
        }
    }

    /** Reads a message; returns null at the end of the stream. */
    static Http read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Http http = new Http();
        http.first = first;
        for (String next = line(in); next != null && !next.isEmpty(); next = line(in)) {
            int colon = next.indexOf(':');
            http.headers.put(next.substring(0, colon).strip(), next.substring(colon + 1).strip());
        }
        http.body = in.readNBytes(Integer.parseInt(http.headers.getOrDefault("Content-Length", "0")));
        return http;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                bytes.write(next);
            }
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    static byte[] response(int status, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " x\r\nContent-Length: " + body.length + "\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        byte[] headBytes = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        return all;
    }

    /** A listening socket with a thread for each connection. */
    abstract static class Server implements AutoCloseable {
        final ServerSocket socket;
        final Set<Socket> connections = ConcurrentHashMap.newKeySet();

        Server(Rig rig) throws IOException {
            socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            rig.pool.execute(() -> {
                while (!socket.isClosed()) {
                    try {
                        Socket accepted = socket.accept();
                        accepted.setTcpNoDelay(true);
                        connections.add(accepted);
                        rig.pool.execute(() -> {
                            try {
                                serve(accepted);
                            } catch (IOException | RuntimeException e) {
                                // The peer has left, or the server is closed.
                            } finally {
                                connections.remove(accepted);
                                closeQuietly(accepted);
                            }
                        });
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        abstract void serve(Socket connection) throws IOException;

        public String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            socket.close();
            connections.forEach(Rig::closeQuietly);
        }
    }

    static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing is left to do.
        }
    }

    // ---- the platform's agent

    /** A notice of a message that ended without delivery. */
    public record Notice(String id, String result, long atMillis) {}

    /** The agent of the platform: the list of hosts, a watch for changes, and notices. */
    public static final class Agent extends Server {
        private static final Pattern NOTICE = Pattern.compile("\"ref\":\"([^\"]*)\",\"result\":\"([^\"]*)\"");
        private final Rig rig;
        private final Map<String, String> targets = new LinkedHashMap<>();
        private final Map<String, Integer> changedAt = new LinkedHashMap<>();
        private int rev = 1;
        /** While true it answers no request for the list, as discovery is down. */
        public volatile boolean isSilent;
        public final List<Notice> notices = new CopyOnWriteArrayList<>();

        public Agent(Rig rig) throws IOException {
            super(rig);
            this.rig = rig;
        }

        public static String entry(String uid, int dest, String kind, String zone, String state, String address) {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + address + "\",\"az\":\"" + zone + "\",\"model\":\""
                    + kind + "\",\"pod_group\":" + dest + ",\"state\":\"" + state
                    + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
        }

        /** Adds or changes an entry of the list. */
        public synchronized void put(String uid, int dest, String kind, String zone, String state, String address) {
            rev++;
            targets.put(uid, entry(uid, dest, kind, zone, state, address));
            changedAt.put(uid, rev);
            notifyAll();
        }

        /** Takes over the list of another agent, with later versions. */
        public synchronized void copy(Agent other) {
            synchronized (other) {
                targets.putAll(other.targets);
                rev = other.rev + 1;
                targets.keySet().forEach(uid -> changedAt.put(uid, rev));
            }
        }

        /** Takes no new connections; the open ones stay. */
        public void stopAccepting() throws IOException {
            socket.close();
        }

        /** Returns the whole list, as the member `known` of a relay's configuration also has it. */
        public synchronized String list() {
            return "{\"rev\":" + rev + ",\"all\":true,\"targets\":[" + String.join(",", targets.values()) + "]}";
        }

        private synchronized String watch(int after, long waitMillis) {
            long end = System.nanoTime() + waitMillis * 1_000_000;
            try {
                for (long left = waitMillis; rev <= after && left > 0; ) {
                    wait(left);
                    left = (end - System.nanoTime()) / 1_000_000;
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            List<String> changed = new ArrayList<>();
            changedAt.forEach((uid, at) -> {
                if (at > after) {
                    changed.add(targets.get(uid));
                }
            });
            return "{\"rev\":" + rev + ",\"all\":false,\"targets\":[" + String.join(",", changed) + "]}";
        }

        @Override
        void serve(Socket connection) throws IOException {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            for (Http request = read(in); request != null; request = read(in)) {
                if (request.first.startsWith("POST /status")) {
                    Matcher notice = NOTICE.matcher(new String(request.body, StandardCharsets.UTF_8));
                    while (notice.find()) {
                        notices.add(new Notice(notice.group(1), notice.group(2), now()));
                        rig.log("notice " + notice.group(1) + " " + notice.group(2));
                    }
                    out.write(response(204, Map.of(), new byte[0]));
                } else if (isSilent) {
                    continue;
                } else {
                    Matcher watch = Pattern.compile("after=(\\d+)&wait_ms=(\\d+)").matcher(request.path());
                    String list = watch.find()
                            ? watch(Integer.parseInt(watch.group(1)), Long.parseLong(watch.group(2)))
                            : list();
                    if (isSilent) {
                        continue;
                    }
                    out.write(response(200, Map.of(), list.getBytes(StandardCharsets.UTF_8)));
                }
                out.flush();
            }
        }
    }

    // ---- hosts

    /** A call that has come to a host: its last byte has been read. */
    public static final class Call {
        private static final Pattern ENTRY =
                Pattern.compile("\\{\"id\":\"([^\"]*)\"(?:,\"key\":\"([^\"]*)\")?,\"body\":\"([^\"]*)\"}");
        public final Host host;
        public final Http request;
        public final long atMillis = now();
        /** The ids of its messages; empty for a probe. */
        public final List<String> ids = new ArrayList<>();
        public final Map<String, String> keys = new LinkedHashMap<>();
        public final boolean isBatch;
        private final OutputStream out;
        private final Socket connection;
        /** When it was answered; 0 while it is not. */
        public volatile long answeredMillis;
        /** When its connection was seen to end; 0 while it is open. */
        public volatile long closedMillis;

        Call(Host host, Http request, Socket connection) throws IOException {
            this.host = host;
            this.request = request;
            this.connection = connection;
            out = connection.getOutputStream();
            isBatch = request.path().equals("/receive-many");
            if (isBatch) {
                Matcher entry = ENTRY.matcher(new String(request.body, StandardCharsets.UTF_8));
                while (entry.find()) {
                    ids.add(entry.group(1));
                    keys.put(entry.group(1), entry.group(2));
                }
            } else if (request.path().equals("/receive")) {
                String id = request.headers.get("X-Call-Id");
                ids.add(id);
                keys.put(id, request.headers.get("Idempotency-Key"));
            }
        }

        /** Returns whether it came on the same connection as another call. */
        public boolean isOnConnectionOf(Call other) {
            return connection == other.connection;
        }

        /** Returns whether it is out: neither answered nor given up by a close of its connection. */
        public boolean isOut() {
            return answeredMillis == 0 && closedMillis == 0;
        }

        /** Answers with a status; 200 reports every message of a batch as done. */
        public void answer(int status, Map<String, String> headers) {
            StringBuilder states = new StringBuilder();
            if (isBatch && status == 200) {
                ids.forEach(id -> states.append(states.isEmpty() ? "[" : ",")
                        .append("{\"id\":\"").append(id).append("\",\"state\":\"done\"}"));
                states.append("]");
            }
            answeredMillis = now();
            try {
                synchronized (out) {
                    out.write(response(status, headers, states.toString().getBytes(StandardCharsets.UTF_8)));
                    out.flush();
                }
                host.rig.log("answer " + host.uid + " " + ids + " " + status);
            } catch (IOException e) {
                host.rig.log("answer " + host.uid + " " + ids + " not written");
            }
        }

        public void answer(int status) {
            answer(status, Map.of());
        }

        /** Writes bytes that are no answer, or more than one. */
        public void write(String bytes) {
            try {
                out.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            } catch (IOException e) {
                host.rig.log("bytes to " + ids + " not written");
            }
        }

        /** Resets its connection. */
        public void reset() {
            try {
                connection.setSoLinger(true, 0);
            } catch (IOException e) {
                // It is closed already.
            }
            closeQuietly(connection);
        }
    }

    /** Receives the calls of a host, on the thread of their connection, which must not be blocked. */
    public interface Behaviour {
        void onCall(Call call);
    }

    /** A host: keeps its connections open, and reads on while a call is out, so that it sees its connection end. */
    public static final class Host extends Server {
        private final Rig rig;
        public final String uid;
        public volatile Behaviour behaviour;
        public final List<Call> calls = new CopyOnWriteArrayList<>();

        public Host(Rig rig, String uid, Behaviour behaviour) throws IOException {
            super(rig);
            this.rig = rig;
            this.uid = uid;
            this.behaviour = behaviour;
        }

        @Override
        void serve(Socket connection) throws IOException {
            Call call = null;
            try {
                InputStream in = new BufferedInputStream(connection.getInputStream());
                for (Http request = read(in); request != null; request = read(in)) {
                    call = new Call(this, request, connection);
                    if (!call.ids.isEmpty()) {
                        calls.add(call);
                    }
                    rig.log("call " + uid + " " + (call.ids.isEmpty() ? request.path() : call.ids));
                    behaviour.onCall(call);
                }
            } finally {
                if (call != null && call.isOut()) {
                    call.closedMillis = now();
                    rig.log("gave-up " + uid + " " + call.ids);
                }
            }
        }
    }

    // ---- clients

    /** A message as a client handed it in, and the answer. */
    public static final class Sent {
        public final String id;
        public final String requestClass;
        public final long atMillis;
        public final long budgetMillis;
        /** The status of the answer; 0 for none. */
        public volatile int status;
        public volatile long answeredMillis;

        Sent(String id, String requestClass, long budgetMillis) {
            this.id = id;
            this.requestClass = requestClass;
            this.budgetMillis = budgetMillis;
            atMillis = now();
        }

        public boolean isTaken() {
            return status == 200 || status == 202;
        }
    }

    /** Hands in one message on a connection of its own, and waits 400 ms for the answer. */
    public Sent send(
            String relay, String path, String id, String requestClass, String tenant, int dest, long budgetMillis,
            String key, byte[] body) {
        Sent sent = new Sent(id, requestClass, budgetMillis);
        log("send " + id + " " + requestClass + " dest=" + dest + (path.equals("/api") ? "" : " " + path));
        int port = Integer.parseInt(relay.substring(relay.lastIndexOf(':') + 1));
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 400);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(400);
            String head = "POST " + path + " HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: " + id + "\r\nX-Call-Class: "
                    + requestClass + "\r\nX-Caller: " + tenant + "\r\nX-Budget-Ms: " + budgetMillis
                    + (key == null ? "" : "\r\nIdempotency-Key: " + key) + "\r\nContent-Length: " + body.length
                    + "\r\nX-Consignee: dest=" + dest + "\r\n\r\n";
            byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = new byte[headBytes.length + body.length];
            System.arraycopy(headBytes, 0, all, 0, headBytes.length);
            System.arraycopy(body, 0, all, headBytes.length, body.length);
            socket.getOutputStream().write(all);
            Http answer = read(new BufferedInputStream(socket.getInputStream()));
            sent.status = answer == null ? 0 : answer.status();
        } catch (IOException e) {
            sent.status = 0;
        }
        sent.answeredMillis = now();
        log("heard " + id + " " + sent.status);
        return sent;
    }

    // ---- the relay

    /** A relay that is started by the command `run` of the deploy file; its address stays the same over restarts. */
    public static final class Relay implements AutoCloseable {
        private final Rig rig;
        private final Path config;
        private final Path state;
        private final String run;
        /** What is added to the command, such as an option of serve; empty for none. */
        public String options = "";
        private final String name;
        private final String settings;
        private final String limits;
        private Process process;
        private int starts;
        public final String address;

        /**
         * @param settings the settings object
         * @param limits the object `limits` of the configuration
         */
        public Relay(Rig rig, String name, Agent agent, String settings, String limits) throws IOException {
            this.rig = rig;
            config = rig.folder.resolve(name + ".json");
            state = Files.createDirectory(rig.folder.resolve(name + "-state"));
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                address = "127.0.0.1:" + free.getLocalPort();
            }
            run = deployCommand("run");
            this.name = name;
            this.settings = settings;
            this.limits = limits;
            configure(agent);
        }

        /** Replaces the configuration by one that names an agent as discovery. */
        public void configure(Agent agent) throws IOException {
            Files.writeString(
                    config,
                    "{\"name\":\"" + name + "\",\"listen\":\"" + address + "\",\"discovery\":\"" + agent.address()
                            + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":" + limits + ",\"known\":" + agent.list()
                            + ",\"settings\":" + settings + "}");
        }

        private static String deployCommand(String key) throws IOException {
            Matcher command = Pattern.compile("(?m)^" + key + " = \"(.*)\"$")
                    .matcher(Files.readString(Path.of("deploy/balancer.toml")));
            if (!command.find()) {
                throw new IOException("the deploy file has no " + key);
            }
            return command.group(1);
        }

        /** Starts it, and returns once it answers /-/ready with 200. */
        public void start() throws IOException, InterruptedException {
            Path temporary = Files.createDirectory(rig.folder.resolve("tmp-" + config.getFileName() + starts++));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run + options);
            builder.environment().put("EDGE_CONFIG", config.toString());
            builder.environment().put("EDGE_STATE", state.toString());
            builder.environment().put("TMPDIR", temporary.toString());
            Path log = rig.folder.resolve("log-" + config.getFileName() + starts);
            builder.redirectErrorStream(true).redirectOutput(log.toFile());
            process = builder.start();
            rig.log("relay started");
            long end = now() + 30_000;
            while (!isReady()) {
                if (now() > end || !process.isAlive()) {
                    throw new IOException("the relay is not ready: " + Files.readString(log));
                }
                sleep(20);
            }
            rig.log("relay ready");
        }

        private boolean isReady() {
            int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout(1000);
                socket.getOutputStream().write("GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n".getBytes());
                Http answer = read(new BufferedInputStream(socket.getInputStream()));
                return answer != null && answer.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        public boolean isAlive() {
            return process.isAlive();
        }

        /** Sends a signal, such as TERM, HUP, STOP or CONT. */
        public void signal(String name) throws IOException, InterruptedException {
            rig.log("relay SIG" + name);
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        /** Ends it with SIGKILL. */
        public void kill() throws InterruptedException {
            rig.log("relay SIGKILL");
            process.destroyForcibly();
            process.waitFor(10, TimeUnit.SECONDS);
        }

        /** Replaces the configuration, in which discovery moves to another agent, and sends SIGHUP. */
        public void move(Agent agent) throws IOException, InterruptedException {
            configure(agent);
            signal("HUP");
        }

        /** Returns the process id. */
        public long pid() {
            return process.pid();
        }

        /** Prints the log lines of all starts. */
        public String logs() throws IOException {
            StringBuilder all = new StringBuilder();
            for (int i = 1; i <= starts; i++) {
                all.append(Files.readString(rig.folder.resolve("log-" + config.getFileName() + i)));
            }
            return all.toString();
        }

        @Override
        public void close() throws Exception {
            if (process != null) {
                kill();
                for (String line : logs().split("\n")) {
                    rig.record.add("    log " + line);
                }
            }
        }
    }

    // ---- settings

    /** The example of WIRE-loftflow.md, with some members replaced: pairs of a text and its replacement. */
    public static String settings(String... replacements) {
        String settings = "{\"accounts\":[{\"name\":\"grain-desk\",\"portion\":0.54,\"quota-rps\":21.0},"
                + "{\"name\":\"potash-desk\",\"portion\":0.28,\"quota-rps\":11.0},"
                + "{\"name\":\"lumber-desk\",\"portion\":0.18,\"quota-rps\":7.0}],\"callers\":{\"marks-retry\":false},"
                + "\"classes\":[{\"deadline-s\":5.0,\"dedup-window-s\":5.0,\"goal-time-s\":1.5,\"key-scope\":\"all\","
                + "\"late-worth\":0.1,\"name\":\"status-update\",\"repeat\":\"repeatable\",\"stream\":false,"
                + "\"worth\":1.0},{\"deadline-s\":28.0,\"dedup-window-s\":7.5,\"goal-time-s\":2.0,"
                + "\"key-scope\":\"zone\",\"late-worth\":0.5,\"name\":\"car-order\",\"repeat\":\"by_key\","
                + "\"stream\":false,\"worth\":2.0},{\"deadline-s\":20.0,\"dedup-window-s\":5.0,\"goal-time-s\":3.0,"
                + "\"key-scope\":\"all\",\"late-worth\":0.3,\"name\":\"settlement\",\"repeat\":\"once\","
                + "\"stream\":false,\"worth\":5.0}],\"contract\":{\"answer-slack-s\":0.02,\"cold-from\":0.14,"
                + "\"drain-grace-s\":0.5,\"fall-multiple\":2.5,\"fall-s\":2.0,\"must-ask-in-s\":10.0,\"warm-up-s\":9.7},"
                + "\"family\":\"deliver\",\"family-info\":{\"batch-by-kind\":[5,1,1],\"call-slots\":11,"
                + "\"fades\":\"even\",\"routes-apart\":[false,true,false],\"toll\":[0.0,0.0,0.0],"
                + "\"turned-away-price\":0.0},\"fees\":{\"connection\":0.0,\"cross-zone\":0.01,\"handshake\":0.06,"
                + "\"late-fail\":0.02,\"moves\":0.0,\"origin\":0.0,\"peer\":0.0,\"probe\":0.01,\"registry-mode\":0.0,"
                + "\"waste\":0.05},\"fleet-size\":3,\"kinds\":[\"railways\",\"elevators\",\"short-lines\"],"
                + "\"limits\":{\"conn-idle-s\":10.0,\"connect-timeout-s\":1.5,\"cpu-us-per-request\":0.0,"
                + "\"cpu-us-per-s\":50000,\"max-open\":155,\"max-retry-after-s\":3.0,\"max-streams\":8,"
                + "\"may-cancel\":true,\"peers\":false,\"probes\":true,\"retry-after\":false,\"second-copies\":true,"
                + "\"send-cap\":12},\"me\":0,\"over-share-worth\":0.1,\"period-s\":0.005,"
                + "\"registry-mode\":\"automatic\",\"scoring-mix\":{\"whole\":0.4,\"worst-class\":0.2,"
                + "\"worst-tenant\":0.1,\"worst-window\":0.3},\"stats\":{\"fields\":[\"x0\",\"x1\"],\"how\":\"inline\"},"
                + "\"tier\":0,\"tiers\":[\"partners\"],\"weight-source\":\"off\",\"worth-by\":\"request\","
                + "\"zone\":\"annex\",\"zones\":[\"main-building\",\"annex\",\"yard-office\"]}";
        for (int i = 0; i < replacements.length; i += 2) {
            if (!settings.contains(replacements[i])) {
                throw new IllegalArgumentException("not in the settings: " + replacements[i]);
            }
            settings = settings.replace(replacements[i], replacements[i + 1]);
        }
        return settings;
    }

    public static final String LIMITS = "{\"cores\":1.0,\"memory_mb\":128,\"sockets\":256,\"disk_mb\":3}";
}
