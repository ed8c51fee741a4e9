package rig;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
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
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What all cases share: the record, the relay's process and the stand-ins for platform, hosts and clients. */
public final class Rig {
    /** Exit codes of a case. */
    public static final int HELD = 0;

    public static final int BROKEN = 1;
    public static final int NOT_RUN = 2;

    private static final long START = System.nanoTime();
    /** A case ends after this time, whatever it waits for. */
    private static final long MAX_MILLIS = 115_000;

    private static final List<Relay> RELAYS = new CopyOnWriteArrayList<>();

    private Rig() {}

    /** Returns the milliseconds since the start of the case. */
    public static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START);
    }

    public static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    public static void sleepUntil(long millis) {
        sleep(millis - now());
    }

    public static Thread daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** The record of a run: one line an event, with the time in milliseconds since the start. */
    public static final class Record implements Closeable {
        private final PrintWriter out;

        public Record(Path file) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
        }

        public synchronized void line(String text) {
            out.printf(Locale.ROOT, "%7d %s%n", now(), text);
            out.flush();
        }

        @Override
        public void close() {
            out.close();
        }
    }

    /** A request that was read from a socket; header names are in lower case, times in milliseconds of the case. */
    public record Request(String line, Map<String, String> headers, byte[] body, long firstByteAt, long lastByteAt) {
        public String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    /** Reads the next request or response head and body; null at the end of the stream. */
    static Request read(InputStream in) throws IOException {
        int first = in.read();
        if (first < 0) {
            return null;
        }
        long firstByteAt = now();
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        head.write(first);
        int matched = 0;
        byte[] end = {'\r', '\n', '\r', '\n'};
        while (matched < end.length) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.write(next);
            matched = next == end[matched] ? matched + 1 : next == '\r' ? 1 : 0;
        }
        String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(
                    lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).strip());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Request(lines[0], headers, body, firstByteAt, now());
    }

    /** Returns a response with a status, a body and headers such as {@code "X: y"}. */
    public static String response(int status, String body, String... headers) {
        StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        for (String header : headers) {
            text.append(header).append("\r\n");
        }
        return text + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** An HTTP/1.1 server on a loopback port with a thread a connection. */
    public static final class Server implements Closeable {
        /** Answers a request by writing to the socket; returns false to close the connection. */
        public interface Handler {
            boolean handle(Request request, Socket socket) throws IOException;
        }

        private final ServerSocket listener;
        private final Handler handler;
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();

        public Server(int port, Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 200);
            daemon(this::accept);
        }

        public int port() {
            return listener.getLocalPort();
        }

        public String address() {
            return "127.0.0.1:" + port();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    daemon(() -> serve(socket));
                }
            } catch (IOException e) {
                // Closed.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Request request = read(in); request != null; request = read(in)) {
                    if (!handler.handle(request, socket)) {
                        return;
                    }
                }
            } catch (IOException e) {
                // The other side, or close(), has ended the connection.
            } finally {
                sockets.remove(socket);
            }
        }

        /** Ends the process that this stands for: it listens no more and its connections end. */
        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** The platform's agent: the list of hosts with a watch, and the notices. */
    public static final class Agent implements Closeable {
        public record Notice(String ref, String result, long at) {}

        private record Entry(String json, String state, long revision) {}

        private static final Pattern WATCH = Pattern.compile("after=(\\d+)&wait_ms=(\\d+)");
        private static final Pattern NOTICE = Pattern.compile("\"ref\":\"([^\"]*)\",\"result\":\"([a-z]*)\"");

        private final Record record;
        private final Server server;
        private final Map<String, Entry> entries = new LinkedHashMap<>();
        private final Map<Long, Long> writtenAt = new ConcurrentHashMap<>();
        private long revision = 40;
        /** How long the answer to a request for the list takes beyond the time that it asks to wait. */
        public volatile long delayMillis;
        /** Whether discovery is down: the agent is silent but for notices. */
        public volatile boolean isDown;

        public final Map<String, Notice> notices = new ConcurrentHashMap<>();
        public volatile long listRequests;

        public Agent(Record record) throws IOException {
            this.record = record;
            server = new Server(0, this::handle);
        }

        public String address() {
            return server.address();
        }

        /** Adds or changes a host and returns the revision of the list. */
        public synchronized long put(
                String uid, String address, String zone, String kind, int destination, String state) {
            revision++;
            String json = "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + address + "\",\"az\":\"" + zone
                    + "\",\"model\":\"" + kind + "\",\"pod_group\":" + destination + ",\"state\":\"" + state
                    + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
            entries.put(uid, new Entry(json, state, revision));
            record.line("discovery rev=" + revision + " uid=" + uid + " dest=" + destination + " endpoint=" + address
                    + " state=" + state);
            notifyAll();
            return revision;
        }

        /** Returns the whole list as discovery writes it. */
        public synchronized String fullList() {
            return list(true, -1);
        }

        private String list(boolean all, long after) {
            List<String> listed = new ArrayList<>();
            entries.forEach((uid, entry) -> {
                boolean isGone = entry.state().equals("terminated");
                if (all ? !isGone : entry.revision() > after) {
                    listed.add(entry.json());
                }
            });
            return "{\"rev\":" + revision + ",\"all\":" + all + ",\"targets\":[" + String.join(",", listed) + "]}";
        }

        /** Returns when a list with this revision or a later one was first written whole; -1 if it was not. */
        public long toldAt(long wanted) {
            return writtenAt.entrySet().stream()
                    .filter(written -> written.getKey() >= wanted)
                    .mapToLong(Map.Entry::getValue)
                    .min()
                    .orElse(-1);
        }

        private boolean handle(Request request, Socket socket) throws IOException {
            if (request.line().startsWith("POST /status ")) {
                Matcher each = NOTICE.matcher(new String(request.body(), StandardCharsets.UTF_8));
                while (each.find()) {
                    Notice notice = new Notice(each.group(1), each.group(2), now());
                    if (notices.putIfAbsent(notice.ref(), notice) == null) {
                        record.line("notice ref=" + notice.ref() + " result=" + notice.result());
                    }
                }
                write(socket, response(204, ""));
                return true;
            }
            if (!request.line().startsWith("GET /api/targets")) {
                write(socket, response(404, ""));
                return true;
            }
            listRequests++;
            if (isDown) {
                sleep(60_000);
                return false;
            }
            Matcher watch = WATCH.matcher(request.line());
            String body;
            long written;
            synchronized (this) {
                boolean isWatch = watch.find();
                long after = isWatch ? Long.parseLong(watch.group(1)) : -1;
                long end = now() + (isWatch ? Math.min(60_000, Long.parseLong(watch.group(2))) : 0);
                while (isWatch && revision <= after && now() < end) {
                    try {
                        wait(Math.max(1, end - now()));
                    } catch (InterruptedException e) {
                        return false;
                    }
                }
                body = isWatch ? list(false, after) : list(true, -1);
                written = revision;
            }
            sleep(delayMillis);
            if (isDown) {
                sleep(60_000);
                return false;
            }
            write(socket, response(200, body, "Content-Type: application/json"));
            writtenAt.putIfAbsent(written, now());
            return true;
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /** One relay, started by the command {@code run} of the deploy file. */
    public static final class Relay implements Closeable {
        private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

        private final Record record;
        private final Path folder;
        private final String name;
        private final String settings;
        public final String listen;
        private final Path root;
        private volatile Process process;
        private int starts;

        public Relay(Record record, Path root, Path folder, String name, String settings) throws IOException {
            this.record = record;
            this.root = root;
            this.folder = folder;
            this.name = name;
            this.settings = settings;
            listen = "127.0.0.1:" + freePort();
            Files.createDirectories(folder.resolve("state"));
            RELAYS.add(this);
        }

        private static int freePort() throws IOException {
            try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                return probe.getLocalPort();
            }
        }

        /** Writes the configuration file of the platform. */
        public void configure(String discovery, String knownList) throws IOException {
            Files.writeString(
                    folder.resolve("config.json"),
                    "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery
                            + "\",\"seed\":\"8c1f30d27a5be96" + starts + "\",\"limits\":{\"cores\":1.0,"
                            + "\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3},\"known\":" + knownList
                            + ",\"settings\":" + settings + "}");
        }

        /** Starts the process and waits until it is ready; returns false if it is not within 30 s. */
        public boolean start(String discovery) throws IOException {
            Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/balancer.toml")));
            if (!run.find()) {
                throw new IOException("the deploy file has no command run");
            }
            Path temporary = Files.createDirectories(folder.resolve("tmp" + starts));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1))
                    .directory(root.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(folder.resolve("log" + starts++).toFile());
            builder.environment().put("EDGE_NAME", name);
            builder.environment().put("EDGE_LISTEN", listen);
            builder.environment().put("EDGE_DISCOVERY", discovery);
            builder.environment().put("EDGE_STATE", folder.resolve("state").toString());
            builder.environment().put("EDGE_CONFIG", folder.resolve("config.json").toString());
            builder.environment().put("TMPDIR", temporary.toString());
            process = builder.start();
            record.line(name + " started pid=" + process.pid());
            long end = now() + 30_000;
            while (now() < end && process.isAlive()) {
                if (get("/-/ready") == 200) {
                    record.line(name + " ready");
                    return true;
                }
                sleep(20);
            }
            record.line(name + " is not ready");
            return false;
        }

        private int get(String path) {
            try (Socket socket = connect()) {
                socket.setSoTimeout(400);
                write(socket, "GET " + path + " HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n");
                Request answer = read(new BufferedInputStream(socket.getInputStream()));
                return answer == null ? 0 : Integer.parseInt(answer.line().split(" ")[1]);
            } catch (IOException e) {
                return 0;
            }
        }

        public Socket connect() throws IOException {
            String[] parts = listen.split(":");
            Socket socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 400);
            return socket;
        }

        public boolean isAlive() {
            return process != null && process.isAlive();
        }

        /** Sends SIGKILL and waits for the end. */
        public void kill() {
            Process running = process;
            if (running != null && running.isAlive()) {
                running.destroyForcibly();
                try {
                    running.waitFor();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }

        /** Sends SIGKILL as the platform does at a restart. */
        public void killForRestart() {
            record.line(name + " SIGKILL");
            kill();
        }

        /** Copies the relay's log into the record. */
        public void recordLogs() throws IOException {
            for (int i = 0; i < starts; i++) {
                for (String line : Files.readAllLines(folder.resolve("log" + i))) {
                    record.line("log of " + name + " start " + i + ": " + line);
                }
            }
        }

        @Override
        public void close() {
            kill();
        }
    }

    /** A message as a client handed it in. */
    public record Sent(String id, String requestClass, int destination, long at, long budgetMillis, int status) {}

    /** A client program beside its relay, with connections that are kept. */
    public static final class Client {
        private final Record record;
        private final Relay relay;
        private final List<Socket> idle = new ArrayList<>();
        private int count;
        public final List<Sent> sent = new CopyOnWriteArrayList<>();

        public Client(Record record, Relay relay) {
            this.record = record;
            this.relay = relay;
        }

        /** Hands a message in and returns it with the relay's answer; status 0 is none within 400 ms. */
        public Sent send(String requestClass, int destination, long budgetMillis) {
            String id;
            Socket socket = null;
            synchronized (idle) {
                id = String.format(Locale.ROOT, "%s-%05d", requestClass.substring(0, 3), ++count);
                if (!idle.isEmpty()) {
                    socket = idle.remove(idle.size() - 1);
                }
            }
            long at = now();
            int status = 0;
            try {
                if (socket == null) {
                    socket = relay.connect();
                }
                socket.setSoTimeout(400);
                String body = "message " + id;
                write(
                        socket,
                        "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: " + id + "\r\nX-Call-Class: " + requestClass
                                + "\r\nX-Caller: grain-desk\r\nX-Budget-Ms: " + budgetMillis
                                + "\r\nIdempotency-Key: key-" + id + "\r\nContent-Length: " + body.length()
                                + "\r\nX-Consignee: dest=" + destination + "\r\n\r\n" + body);
                Request answer = read(socket.getInputStream());
                if (answer == null) {
                    socket.close();
                } else {
                    status = Integer.parseInt(answer.line().split(" ")[1]);
                    if (answer.header("connection").equalsIgnoreCase("close")) {
                        socket.close();
                    } else {
                        synchronized (idle) {
                            idle.add(socket);
                        }
                    }
                }
            } catch (IOException e) {
                close(socket);
            }
            Sent message = new Sent(id, requestClass, destination, at, budgetMillis, status);
            sent.add(message);
            record.line("client sent id=" + id + " class=" + requestClass + " dest=" + destination + " budget="
                    + budgetMillis + " answer=" + status);
            return message;
        }

        private static void close(Socket socket) {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException e) {
                // Nothing is lost with it.
            }
        }

        /** Forgets the connections, which a restart of the relay has ended. */
        public void forgetConnections() {
            synchronized (idle) {
                idle.forEach(Client::close);
                idle.clear();
            }
        }
    }

    /** A call that a host received. */
    public record Call(String host, String path, List<String> ids, long firstByteAt, long lastByteAt) {}

    /** A host that answers calls with one message or several, and probes. */
    public static final class Host implements Closeable {
        private static final Pattern ID = Pattern.compile("\"id\":\"([^\"]*)\"");

        public final String uid;
        public final List<Call> calls;
        private final Record record;
        private final Server server;
        /** How long a call takes. */
        public volatile long serviceMillis = 250;
        /** Whether the host hangs: it reads, and answers nothing. */
        public volatile boolean hangs;
        /** What is done when a probe has come. */
        public volatile Runnable onProbe = () -> {};
        /** Decides on calls; null from it means that the call is served. */
        public volatile Function<Call, String> decide = call -> null;

        private final Object lock = new Object();

        public Host(Record record, String uid, int port, List<Call> calls) throws IOException {
            this.record = record;
            this.uid = uid;
            this.calls = calls;
            server = new Server(port, this::handle);
        }

        public String address() {
            return server.address();
        }

        public int port() {
            return server.port();
        }

        private boolean handle(Request request, Socket socket) throws IOException {
            String path = request.line().split(" ")[1];
            List<String> ids = new ArrayList<>();
            if (path.equals("/receive")) {
                ids.add(request.header("x-call-id"));
            } else if (path.equals("/receive-many")) {
                Matcher each = ID.matcher(new String(request.body(), StandardCharsets.UTF_8));
                while (each.find()) {
                    ids.add(each.group(1));
                }
            }
            Call call = new Call(uid, path, ids, request.firstByteAt(), request.lastByteAt());
            calls.add(call);
            record.line("host " + uid + " got " + path + " ids=" + ids + (hangs ? " (hangs)" : ""));
            if (ids.isEmpty()) {
                onProbe.run();
            }
            String decided = decide.apply(call);
            if (decided == null) {
                sleep(ids.isEmpty() ? 10 : serviceMillis);
            }
            awaitWhileHanging();
            String answer = decided != null ? decided : served(path, ids);
            write(socket, answer);
            record.line("host " + uid + " answered " + answer.substring(9, 12) + " ids=" + ids);
            return true;
        }

        private void awaitWhileHanging() throws IOException {
            while (hangs) {
                sleep(20);
            }
        }

        private static String served(String path, List<String> ids) {
            String report = report();
            if (path.equals("/receive-many")) {
                List<String> states = new ArrayList<>();
                ids.forEach(id -> states.add("{\"id\":\"" + id + "\",\"state\":\"done\"}"));
                return response(200, "[" + String.join(",", states) + "]", "X-Load-Report: " + report);
            }
            return ids.isEmpty() ? response(200, report) : response(200, "", "X-Load-Report: " + report);
        }

        /** Returns the report that every answer carries, which is refreshed every 120 ms and a little noisy. */
        private static String report() {
            double left = 0.7 + 0.2 * new Random(now() / 120 * 0x9E3779B97F4A7C15L).nextDouble();
            return String.format(Locale.ROOT, "TEXT x0=%.4f, x1=12", left);
        }

        /** Ends the host's process. */
        @Override
        public void close() throws IOException {
            record.line("host " + uid + " ends");
            server.close();
        }
    }

    /** Deletes a folder and everything in it. */
    public static void delete(Path folder) throws IOException {
        try (var files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /** Returns whether the case is to play its disruption. */
    public static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** The settings of the users' wire page, for a deployment with one relay. */
    public static final String SETTINGS =
            "{\"accounts\":[{\"name\":\"grain-desk\",\"portion\":0.54,\"quota-rps\":21.0},"
                    + "{\"name\":\"potash-desk\",\"portion\":0.28,\"quota-rps\":11.0},"
                    + "{\"name\":\"lumber-desk\",\"portion\":0.18,\"quota-rps\":7.0}],"
                    + "\"callers\":{\"marks-retry\":false},"
                    + "\"classes\":[{\"deadline-s\":5.0,\"dedup-window-s\":5.0,\"goal-time-s\":1.5,\"key-scope\":\"all\","
                    + "\"late-worth\":0.1,\"name\":\"status-update\",\"repeat\":\"repeatable\",\"stream\":false,"
                    + "\"worth\":1.0},{\"deadline-s\":28.0,\"dedup-window-s\":7.5,\"goal-time-s\":2.0,"
                    + "\"key-scope\":\"zone\",\"late-worth\":0.5,\"name\":\"car-order\",\"repeat\":\"by_key\","
                    + "\"stream\":false,\"worth\":2.0},{\"deadline-s\":20.0,\"dedup-window-s\":5.0,"
                    + "\"goal-time-s\":3.0,\"key-scope\":\"all\",\"late-worth\":0.3,\"name\":\"settlement\","
                    + "\"repeat\":\"once\",\"stream\":false,\"worth\":5.0}],"
                    + "\"contract\":{\"answer-slack-s\":0.02,\"cold-from\":0.14,\"drain-grace-s\":0.5,"
                    + "\"fall-multiple\":2.5,\"fall-s\":2.0,\"must-ask-in-s\":10.0,\"warm-up-s\":9.7},"
                    + "\"family\":\"deliver\",\"family-info\":{\"batch-by-kind\":[5,1,1],\"call-slots\":11,"
                    + "\"fades\":\"even\",\"routes-apart\":[false,true,false],\"toll\":[0.0,0.0,0.0],"
                    + "\"turned-away-price\":0.0},"
                    + "\"fees\":{\"connection\":0.0,\"cross-zone\":0.01,\"handshake\":0.06,\"late-fail\":0.02,"
                    + "\"moves\":0.0,\"origin\":0.0,\"peer\":0.0,\"probe\":0.01,\"registry-mode\":0.0,\"waste\":0.05},"
                    + "\"fleet-size\":1,\"kinds\":[\"railways\",\"elevators\",\"short-lines\"],"
                    + "\"limits\":{\"conn-idle-s\":10.0,\"connect-timeout-s\":1.5,\"cpu-us-per-request\":0.0,"
                    + "\"cpu-us-per-s\":50000,\"max-open\":155,\"max-retry-after-s\":3.0,\"max-streams\":8,"
                    + "\"may-cancel\":true,\"peers\":false,\"probes\":true,\"retry-after\":false,"
                    + "\"second-copies\":true,\"send-cap\":12},"
                    + "\"me\":0,\"over-share-worth\":0.1,\"period-s\":0.005,\"registry-mode\":\"automatic\","
                    + "\"stats\":{\"fields\":[\"x0\",\"x1\"],\"how\":\"inline\"},\"tier\":0,"
                    + "\"tiers\":[\"partners\"],\"weight-source\":\"off\",\"worth-by\":\"request\","
                    + "\"zone\":\"annex\",\"zones\":[\"main-building\",\"annex\",\"yard-office\"]}";

    /** Runs a case with its record and a temporary folder, and ends the process with the case's result. */
    public static void main(Case body) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> RELAYS.forEach(Relay::kill)));
        daemon(() -> {
            sleep(MAX_MILLIS);
            System.err.println("the case took too long");
            System.exit(NOT_RUN);
        });
        System.exit(play(body));
    }

    private static int play(Case body) {
        int result = NOT_RUN;
        try (Record record = new Record(Path.of(System.getenv("CASE"), "record.txt"))) {
            record.line("trouble=" + hasTrouble());
            Path folder = Files.createTempDirectory("review");
            try {
                result = body.run(record, Path.of("").toAbsolutePath(), folder);
            } catch (IOException | RuntimeException | Error e) {
                record.line("the case could not run: " + e);
            }
            RELAYS.forEach(Relay::kill);
            for (Relay relay : RELAYS) {
                relay.recordLogs();
            }
            delete(folder);
            record.line("result " + result);
        } catch (IOException | RuntimeException e) {
            System.err.println(e);
        }
        return result;
    }

    /** A case; returns its exit code. */
    public interface Case {
        int run(Record record, Path root, Path folder) throws IOException;
    }
}
