package loftflow.fake;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * A peer on a loopback port that speaks just enough HTTP/1.1 to stand in for a host or discovery: it keeps every
 * request and answers each as it is told, or breaks off, or says nothing. One thread a connection.
 */
public final class ScriptedPeer implements AutoCloseable {
    private static final int PATIENCE_S = 10;
    private static final int BACKLOG = 50;

    /** In place of an answer: the connection closes, or nothing comes at all. */
    public static final String CLOSE = "close";

    public static final String SILENCE = "silence";

    /** A request as it came; the names of headers are in lower case. */
    public record Request(String line, Map<String, String> headers, String body, long at) {
        /** The message that the request is for, or null. */
        public String id() {
            return headers.get("x-call-id");
        }
    }

    /** Every request so far, in the order in which they came whole. */
    public final List<Request> requests = new CopyOnWriteArrayList<>();
    /** Every connection so far. */
    public final List<Socket> connections = new CopyOnWriteArrayList<>();

    private final ServerSocket listener;
    private volatile Function<Request, String> answers;

    /** A peer on any free port. */
    public ScriptedPeer(Function<Request, String> answers) throws IOException {
        this(0, answers);
    }

    /** A peer on a port of its own, or on any where that is 0. */
    public ScriptedPeer(int port, Function<Request, String> answers) throws IOException {
        this.answers = answers;
        listener = listen(port);
        daemon(this::accept);
    }

    /**
     * Listens on a loopback port, or on any where that is 0; waits where one that was closed just now still holds it.
     */
    public static ServerSocket listen(int port) throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (true) {
            try {
                return new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
            } catch (BindException e) {
                if (System.nanoTime() > end) {
                    throw e;
                }
                Thread.onSpinWait();
            }
        }
    }

    /** A peer that gives one answer to everything. */
    public static ScriptedPeer always(String answer) throws IOException {
        return new ScriptedPeer(request -> answer);
    }

    /** An answer with a status, headers such as {@code "X: y"} and no body. */
    public static String status(int code, String... headers) {
        return answer(code, "", headers);
    }

    /** An answer with a status, a body in ISO 8859-1 and headers. */
    public static String answer(int code, String body, String... headers) {
        StringBuilder text = new StringBuilder("HTTP/1.1 " + code + " X\r\n");
        for (String header : headers) {
            text.append(header).append("\r\n");
        }
        return text + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Answers otherwise from now on. */
    public void answer(Function<Request, String> next) {
        answers = next;
    }

    /** Its address, such as {@code 127.0.0.1:4711}. */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    public int port() {
        return listener.getLocalPort();
    }

    /** How many requests had a first line that begins so. */
    public long count(String start) {
        return requests.stream().filter(r -> r.line().startsWith(start)).count();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }

    private static void daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                connections.add(socket);
                daemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // This peer has been closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Request request = read(in); request != null; request = read(in)) {
                requests.add(request);
                String answer = answers.apply(request);
                if (answer.equals(CLOSE)) {
                    return;
                }
                if (!answer.equals(SILENCE)) {
                    socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                }
            }
        } catch (IOException e) {
            // The other side, or close(), has ended the connection.
        }
    }

    private static Request read(InputStream in) throws IOException {
        String line = line(in);
        if (line.isEmpty()) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String header = line(in); !header.isEmpty(); header = line(in)) {
            String[] halves = header.split(": ?", 2);
            headers.put(halves[0].toLowerCase(Locale.ROOT), halves[1]);
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        String body = new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
        return new Request(line, headers, body, System.nanoTime());
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
            bytes.write(next);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1).strip();
    }
}
