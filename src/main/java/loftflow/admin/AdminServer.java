package loftflow.admin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.Channels;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import loftflow.log.Log;

/** Listens on the admin socket, one request at a time, on a thread of its own. */
public final class AdminServer implements AutoCloseable {
    /** The socket's name in the folder that lasts. */
    public static final String NAME = "admin.sock";

    private static final int LONGEST = 64 << 10;

    /** Carries out requests. */
    public interface Commands {
        /**
         * Carries one out.
         *
         * @param request its members; {@code command} is there
         * @param out takes each line of the answer, without its end
         * @throws IllegalArgumentException where the request makes no sense; its message is the answer
         */
        void carryOut(Map<String, String> request, Consumer<String> out) throws InterruptedException;
    }

    private final Commands commands;
    private final Path file;
    private final ServerSocketChannel listener;

    /** Listens in a folder from now on; whoever may not write there can't connect either. */
    public AdminServer(Path folder, Commands commands) throws IOException {
        this.commands = commands;
        file = folder.resolve(NAME);
        // Guards against the socket of a process that was killed: the name would be taken for good.
        Files.deleteIfExists(file);
        listener = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        listener.bind(UnixDomainSocketAddress.of(file));
        Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-------"));
        Thread thread = new Thread(this::listen, "admin");
        thread.setDaemon(true);
        thread.start();
    }

    private void listen() {
        while (listener.isOpen()) {
            try (SocketChannel peer = listener.accept()) {
                answer(peer);
            } catch (IOException | UncheckedIOException e) {
                if (listener.isOpen()) {
                    Log.line("admin: " + e.getMessage());
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void answer(SocketChannel peer) throws IOException, InterruptedException {
        BufferedReader in = new BufferedReader(
                new InputStreamReader(Channels.newInputStream(peer), StandardCharsets.UTF_8), LONGEST);
        Writer out = new OutputStreamWriter(Channels.newOutputStream(peer), StandardCharsets.UTF_8);
        Consumer<String> lines = line -> {
            try {
                out.write(line + "\n");
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        };
        try {
            commands.carryOut(request(in.readLine()), lines);
        } catch (IllegalArgumentException e) {
            lines.accept(JsonLines.error(e.getMessage()));
        }
        out.flush();
    }

    private static Map<String, String> request(String line) {
        Map<String, String> members = new LinkedHashMap<>();
        try (JsonParser parser = new JsonFactory().createParser(line == null ? "" : line)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new IllegalArgumentException("a request is one line with a JSON object");
            }
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                if (parser.nextToken() != JsonToken.VALUE_STRING) {
                    throw new IllegalArgumentException(name + ": text is needed");
                }
                members.put(name, parser.getText());
            }
        } catch (IOException e) {
            throw new IllegalArgumentException("a request is one line with a JSON object", e);
        }
        if (!members.containsKey("command")) {
            throw new IllegalArgumentException("command is missing");
        }
        return members;
    }

    @Override
    public void close() {
        try {
            listener.close();
            Files.deleteIfExists(file);
        } catch (IOException e) {
            Log.line("admin: the socket can't be closed: " + e.getMessage());
        }
    }
}
