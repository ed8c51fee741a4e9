package loftflow.server;

import static loftflow.server.RelayProcess.await;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * What the system holds of the far side of a loopback connection: for tests that need to know that something has come
 * there and
 * is not read, where a span to wait for would only hope that it has.
 */
public final class KernelSocketState {
    private static final String CLOSE_WAIT = "08";

    private final String local;
    private final String remote;

    private KernelSocketState(int localPort, int remotePort) {
        local = ":%04X".formatted(localPort);
        remote = ":%04X".formatted(remotePort);
    }

    /** The other side of a socket that is connected. */
    public static KernelSocketState beyond(Socket socket) {
        return new KernelSocketState(socket.getPort(), socket.getLocalPort());
    }

    /** Waits until bytes lie unread. */
    public void awaitUnread() {
        awaitUnread(1);
    }

    /** Waits until so many bytes lie unread. */
    public void awaitUnread(int bytes) {
        await(() -> unread() >= bytes);
    }

    /** True where bytes lie unread. */
    public boolean holdsUnread() {
        return unread() > 0;
    }

    private long unread() {
        return row().map(row -> Long.parseLong(row[4].split(":")[1], 16)).orElse(0L);
    }

    /** Waits until the end of what the near side sends has come. */
    public void awaitEnd() {
        await(() -> row().filter(row -> row[3].equals(CLOSE_WAIT)).isPresent());
    }

    /** Waits until a reset has come. */
    public void awaitReset() {
        await(() -> row().isEmpty());
    }

    /** Number, local address, remote address, state, what is queued to send and to read, and more. */
    private Optional<String[]> row() {
        return Stream.of("tcp", "tcp6")
                .flatMap(name -> lines(Path.of("/proc/net", name)).stream())
                .map(line -> line.strip().split("\\s+"))
                .filter(row -> row[1].endsWith(local) && row[2].endsWith(remote))
                .findFirst();
    }

    private static List<String> lines(Path table) {
        try {
            return Files.exists(table) ? Files.readAllLines(table) : List.of();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
