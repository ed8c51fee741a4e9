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
 * The kernel's state of the remote socket of a loopback connection. Tests use it to wait until data, an end of stream
 * or a reset has arrived there, because a sleep may be too short.
 */
public final class KernelSocketState {
    private static final String CLOSE_WAIT = "08";

    private final String local;
    private final String remote;

    private KernelSocketState(int localPort, int remotePort) {
        local = ":%04X".formatted(localPort);
        remote = ":%04X".formatted(remotePort);
    }

    /** Returns the state of the socket to which a socket is connected. */
    public static KernelSocketState ofPeer(Socket socket) {
        return new KernelSocketState(socket.getPort(), socket.getLocalPort());
    }

    /** Returns the state of a socket itself. */
    public static KernelSocketState of(Socket socket) {
        return new KernelSocketState(socket.getLocalPort(), socket.getPort());
    }

    /** Returns true if the peer's kernel has not acknowledged all bytes that were written. */
    public boolean hasUnacknowledged() {
        return row().map(row -> Long.parseLong(row[4].split(":")[0], 16)).orElse(0L) > 0;
    }

    /** Waits until at least one byte has arrived and is unread. */
    public void awaitUnread() {
        awaitUnread(1);
    }

    /** Waits until at least {@code bytes} bytes have arrived and are unread. */
    public void awaitUnread(int bytes) {
        await(() -> unreadBytes() >= bytes);
    }

    /** Returns true if at least one byte has arrived and is unread. */
    public boolean hasUnread() {
        return unreadBytes() > 0;
    }

    private long unreadBytes() {
        return row().map(row -> Long.parseLong(row[4].split(":")[1], 16)).orElse(0L);
    }

    /** Waits until the end of stream of the local socket has arrived. */
    public void awaitEndOfStream() {
        await(() -> row().filter(row -> row[3].equals(CLOSE_WAIT)).isPresent());
    }

    /** Waits until a reset has arrived. */
    public void awaitReset() {
        await(() -> row().isEmpty());
    }

    /**
     * Returns the columns of the socket in {@code /proc/net/tcp}: number, local address, remote address, state, bytes
     * queued for sending and reading, and others; empty if the socket is closed.
     */
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
