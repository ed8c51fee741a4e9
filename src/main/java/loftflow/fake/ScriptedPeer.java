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
 * A minimal HTTP/1.1 server on a loopback port that stands in for a host or discovery. Records every request, and
 * answers it by a function, closes the connection, or sends no response. Uses one thread per connection.
 */
public final class ScriptedPeer implements AutoCloseable {
    private static final int BIND_TIMEOUT_SECONDS = 10;
    private static final int BACKLOG = 50;

    /** Returned instead of a response to close the connection. */
    public static final String CLOSE = "close";

    /** Returned instead of a response to send nothing and keep the connection open. */
    public static final String SILENCE = "silence";

    /** A received request; header names are in lower case, and {@code at} is by {@link System#nanoTime}. */
    public record Request(String line, Map<String, String> headers, String body, long at) {
        /** Returns the message id of the request, or null. */
        public String id() {
            return headers.get("x-call-id");
        }
    }

    /** All requests so far, in the order in which they were received whole. */
    public final List<Request> requests = new CopyOnWriteArrayList<>();
    /** All connections so far, also closed ones. */
    public final List<Socket> connections = new CopyOnWriteArrayList<>();

    private final ServerSocket listener;
    private volatile Function<Request, String> answers;

    /** Starts a peer on a free port. */
    public ScriptedPeer(Function<Request, String> answers) throws IOException {
        this(0, answers);
    }

    /** Starts a peer on a port, or on a free one if the port is 0. */
    public ScriptedPeer(int port, Function<Request, String> answers) throws IOException {
        this.answers = answers;
        listener = listen(port);
        daemon(this::accept);
    }

    /**
     * Listens on a loopback port, or on a free one if the port is 0. Retries for {@value #BIND_TIMEOUT_SECONDS} s while
     * the port is in use, because a socket that has just been closed may still hold it.
     */
    public static ServerSocket listen(int port) throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(BIND_TIMEOUT_SECONDS);
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

    /** Starts a peer that sends the same response to every request. */
    public static ScriptedPeer always(String answer) throws IOException {
        return new ScriptedPeer(request -> answer);
    }

    /** Returns a response with a status, headers such as {@code "X: y"} and no body. */
    public static String status(int code, String... headers) {
        return answer(code, "", headers);
    }

    /** Returns a response with a status, a body in ISO 8859-1 and headers. */
    public static String answer(int code, String body, String... headers) {
        StringBuilder text = new StringBuilder("HTTP/1.1 " + code + " X\r\n");
        for (String header : headers) {
            text.append(header).append("\r\n");
        }
        return text + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Replaces the function that computes the responses. */
    public void answer(Function<Request, String> next) {
        answers = next;
    }

    /** Returns the address, such as {@code 127.0.0.1:4711}. */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    public int port() {
        return listener.getLocalPort();
    }

    /** Returns the number of requests whose request line begins with a text. */
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
            String[] parts = header.split(": ?", 2);
            headers.put(parts[0].toLowerCase(Locale.ROOT), parts[1]);
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
