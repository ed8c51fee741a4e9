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

/** Serves the admin socket on its own thread, one request at a time. */
public final class AdminServer implements AutoCloseable {
    /** Name of the socket in the state folder. */
    public static final String SOCKET_NAME = "admin.sock";

    private static final int MAX_REQUEST_CHARACTERS = 64 << 10;

    /** Executes requests. Called on the server thread. */
    public interface Commands {
        /**
         * Executes a request.
         *
         * @param request the members of the request, including {@code command}
         * @param out receives each line of the response, without a line terminator
         * @throws IllegalArgumentException if the request is invalid or can't be executed; the message is sent to the
         *     client as an error
         */
        void execute(Map<String, String> request, Consumer<String> out) throws InterruptedException;
    }

    private final Commands commands;
    private final Path socketFile;
    private final ServerSocketChannel listener;

    /**
     * Starts to listen on a socket in the state folder, to which only the user of the relay process can connect.
     *
     * @throws IOException if the socket can't be bound
     */
    public AdminServer(Path stateFolder, Commands commands) throws IOException {
        this.commands = commands;
        socketFile = stateFolder.resolve(SOCKET_NAME);
        // A process that was killed leaves its socket behind, and binding would fail.
        Files.deleteIfExists(socketFile);
        listener = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        listener.bind(UnixDomainSocketAddress.of(socketFile));
        Files.setPosixFilePermissions(socketFile, PosixFilePermissions.fromString("rw-------"));
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
        Consumer<String> out = line -> {
            try {
                writer.write(line + "\n");
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        };
        try {
            commands.execute(parseRequest(reader.readLine()), out);
        } catch (IllegalArgumentException e) {
            out.accept(JsonLines.error(e.getMessage()));
        }
        writer.flush();
    }

    private static Map<String, String> parseRequest(String line) {
        Map<String, String> members = new LinkedHashMap<>();
        try (JsonParser parser = new JsonFactory().createParser(line == null ? "" : line)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new IllegalArgumentException("a request must be a JSON object on a single line");
            }
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                if (parser.nextToken() != JsonToken.VALUE_STRING) {
                    throw new IllegalArgumentException(name + ": a string is needed");
                }
                members.put(name, parser.getText());
            }
        } catch (IOException e) {
            throw new IllegalArgumentException("a request must be a JSON object on a single line", e);
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
            Files.deleteIfExists(socketFile);
        } catch (IOException e) {
            Log.line("admin: socket close failed error=\"" + e.getMessage() + "\"");
        }
    }
}
