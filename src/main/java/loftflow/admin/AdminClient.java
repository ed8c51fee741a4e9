package loftflow.admin;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.Consumer;

/** Asks a running relay over its admin socket. */
public final class AdminClient {
    private AdminClient() {}

    /**
     * Sends a request and hands on each line of the answer.
     *
     * @return false where no relay listens there
     * @throws IOException where the connection breaks on the way
     */
    public static boolean ask(Path folder, Map<String, String> request, Consumer<String> lines) throws IOException {
        SocketChannel channel;
        try {
            channel = SocketChannel.open(UnixDomainSocketAddress.of(folder.resolve(AdminServer.NAME)));
        } catch (IOException e) {
            return false;
        }
        try (channel) {
            Channels.newOutputStream(channel)
                    .write((JsonLines.object(request) + "\n").getBytes(StandardCharsets.UTF_8));
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(Channels.newInputStream(channel), StandardCharsets.UTF_8));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                lines.accept(line);
            }
        }
        return true;
    }
}
