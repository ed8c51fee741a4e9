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

/** Sends requests to the admin socket of a running relay. */
public final class AdminClient {
    private AdminClient() {}

    /**
     * Sends a request and passes each line of the response to a consumer.
     *
     * @param stateFolder the state folder of the relay
     * @return false if no relay listens on the socket in the folder
     * @throws IOException if the connection fails after it was established
     */
    public static boolean request(Path stateFolder, Map<String, String> request, Consumer<String> responseLines)
            throws IOException {
        SocketChannel channel;
        try {
            channel = SocketChannel.open(UnixDomainSocketAddress.of(stateFolder.resolve(AdminServer.SOCKET_NAME)));
        } catch (IOException e) {
            return false;
        }
        try (channel) {
            byte[] requestLine = (JsonLines.object(request) + "\n").getBytes(StandardCharsets.UTF_8);
            Channels.newOutputStream(channel).write(requestLine);
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(Channels.newInputStream(channel), StandardCharsets.UTF_8));
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                responseLines.accept(line);
            }
        }
        return true;
    }
}
