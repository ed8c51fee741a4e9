package loftflow.server;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import loftflow.fake.ScriptedPeer;

/**
 * A host that records when each call came and when it was off the wire: answered, or its connection closed by the
 * relay. While it hangs it goes on reading, and answers nothing; then it answers the calls whose connection is open.
 */
final class RecordingHost implements AutoCloseable {
    private static final int ANSWER_MILLIS = 150;
    private static final Pattern SINGLE_ID = Pattern.compile("(?im)^x-call-id: *(\\S+)");
    private static final Pattern BATCH_ID = Pattern.compile("\"id\":\"([^\"]+)\"");
    private static final Pattern LENGTH = Pattern.compile("(?im)^content-length: *(\\d+)");

    /** A call with its messages; times are by {@link System#nanoTime}. */
    final class Call {
        final List<String> ids;
        final long startNanos = System.nanoTime();
        private final Socket socket;
        private final boolean isBatch;
        private volatile long endNanos;
        private volatile boolean isAnswered;

        private Call(List<String> ids, boolean isBatch, Socket socket) {
            this.ids = ids;
            this.isBatch = isBatch;
            this.socket = socket;
        }

        boolean isAnswered() {
            return isAnswered;
        }

        /** Returns whether the call may still run at this host. */
        boolean isOutstanding() {
            return endNanos == 0;
        }

        private synchronized void end() {
            endNanos = endNanos == 0 ? System.nanoTime() : endNanos;
        }

        private synchronized void answer() {
            if (!isOutstanding()) {
                return;
            }
            String states = ids.stream()
                    .map(id -> "{\"id\":\"" + id + "\",\"state\":\"done\"}")
                    .collect(Collectors.joining(",", "[", "]"));
            String response = isBatch ? ScriptedPeer.answer(200, states) : ScriptedPeer.status(200);
            try {
                socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                isAnswered = true;
            } catch (IOException e) {
                // The relay has closed the connection.
            }
            end();
        }

        @Override
        public String toString() {
            return ids + (isAnswered ? " answered" : isOutstanding() ? " outstanding" : " closed");
        }
    }

    final List<Call> calls = new CopyOnWriteArrayList<>();
    private final ServerSocket listener = ScriptedPeer.listen(0);
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private volatile boolean isHanging;

    RecordingHost() throws IOException {
        daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    void hang() {
        isHanging = true;
    }

    void resume() {
        isHanging = false;
        calls.forEach(Call::answer);
    }

    /** Returns the ids of all messages that it was sent. */
    List<String> receivedIds() {
        return calls.stream().flatMap(call -> call.ids.stream()).toList();
    }

    /** Returns whether a call with the message was answered. */
    boolean hasAnswered(String id) {
        return calls.stream().anyMatch(call -> call.isAnswered && call.ids.contains(id));
    }

    /**
     * Returns the messages that a host was sent while an earlier call with them was outstanding at any of the hosts.
     *
     * @param toleranceMillis by how much the end of a call may be seen after the start of the next one, which has
     *     another connection
     */
    static List<String> secondCopies(long toleranceMillis, List<RecordingHost> hosts) {
        List<Call> all = hosts.stream().flatMap(host -> host.calls.stream()).toList();
        List<String> copies = new ArrayList<>();
        for (Call later : all) {
            for (Call earlier : all) {
                boolean isEarlier = earlier != later && earlier.startNanos - later.startNanos < 0;
                long toleratedNanos = TimeUnit.MILLISECONDS.toNanos(toleranceMillis);
                boolean wasOutstanding =
                        earlier.isOutstanding() || earlier.endNanos - later.startNanos > toleratedNanos;
                if (isEarlier && wasOutstanding) {
                    later.ids.stream().filter(earlier.ids::contains).forEach(copies::add);
                }
            }
        }
        return copies;
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
                sockets.add(socket);
                daemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // This host has been closed.
        }
    }

    private void serve(Socket socket) {
        Call last = null;
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String head = readHead(in); !head.isEmpty(); head = readHead(in)) {
                String body = new String(in.readNBytes(length(head)), StandardCharsets.ISO_8859_1);
                last = receive(head, body, socket);
            }
        } catch (IOException e) {
            // The relay has ended the connection.
        } finally {
            if (last != null) {
                last.end();
            }
        }
    }

    private Call receive(String head, String body, Socket socket) {
        boolean isBatch = head.startsWith("POST /receive-many");
        List<String> ids = isBatch ? groups(BATCH_ID, body) : groups(SINGLE_ID, head);
        Call call = new Call(ids, isBatch, socket);
        calls.add(call);
        if (!isHanging) {
            timer.schedule(call::answer, ANSWER_MILLIS, TimeUnit.MILLISECONDS);
        }
        return call;
    }

    private static List<String> groups(Pattern pattern, String text) {
        return pattern.matcher(text)
                .results()
                .map((MatchResult id) -> id.group(1))
                .toList();
    }

    private static int length(String head) {
        List<String> length = groups(LENGTH, head);
        return length.isEmpty() ? 0 : Integer.parseInt(length.get(0));
    }

    /** Returns the head of the next request; empty at the end of the stream. */
    private static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            head.write(next);
            if (next == '\n' && head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
                return head.toString(StandardCharsets.ISO_8859_1);
            }
        }
        return "";
    }

    @Override
    public void close() throws IOException {
        timer.shutdownNow();
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
