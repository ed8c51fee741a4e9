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

/** Serves the admin socket, one request at a time, on a thread of its own. */
public final class AdminServer implements AutoCloseable {
    /** Name of the socket in the state folder. */
    public static final String SOCKET_NAME = "admin.sock";

    private static final int MAX_REQUEST_CHARACTERS = 64 << 10;

    /** Executes requests. Called on the thread of the server. */
    public interface Commands {
        /**
         * Executes a request.
         *
         * @param request its members, among them {@code command}
         * @param out receives each line of the response, without its line end
         * @throws IllegalArgumentException where the request is invalid; its message is the response
         */
        void execute(Map<String, String> request, Consumer<String> out) throws InterruptedException;
    }

    private final Commands commands;
    private final Path file;
    private final ServerSocketChannel listener;

    /** Starts to listen in a folder. Only the user of the relay can connect. */
    public AdminServer(Path folder, Commands commands) throws IOException {
        this.commands = commands;
        file = folder.resolve(SOCKET_NAME);
        // Removes the socket of a process that was killed; binding would fail otherwise.
        Files.deleteIfExists(file);
        listener = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        listener.bind(UnixDomainSocketAddress.of(file));
        Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-------"));
        Thread thread = new Thread(this::acceptConnections, "admin");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() {
        while (listener.isOpen()) {
            try (SocketChannel connection = listener.accept()) {
                serve(connection);
            } catch (IOException | UncheckedIOException e) {
                if (listener.isOpen()) {
                    Log.line("admin: request failed error=\"" + e.getMessage() + "\"");
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void serve(SocketChannel connection) throws IOException, InterruptedException {
        BufferedReader reader = new BufferedReader(
                new InputStreamReader(Channels.newInputStream(connection), StandardCharsets.UTF_8),
                MAX_REQUEST_CHARACTERS);
        Writer writer = new OutputStreamWriter(Channels.newOutputStream(connection), StandardCharsets.UTF_8);
        Consumer<String> lines = line -> {
            try {
                writer.write(line + "\n");
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        };
        try {
            commands.execute(parseRequest(reader.readLine()), lines);
        } catch (IllegalArgumentException e) {
            lines.accept(JsonLines.error(e.getMessage()));
        }
        writer.flush();
    }

    private static Map<String, String> parseRequest(String line) {
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
        if (!members.containsKey(AdminProtocol.COMMAND)) {
            throw new IllegalArgumentException(AdminProtocol.COMMAND + " is missing");
        }
        return members;
    }

    @Override
    public void close() {
        try {
            listener.close();
            Files.deleteIfExists(file);
        } catch (IOException e) {
            Log.line("admin: socket close failed error=\"" + e.getMessage() + "\"");
        }
    }
}
