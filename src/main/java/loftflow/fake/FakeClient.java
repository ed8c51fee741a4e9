package loftflow.fake;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import loftflow.protocol.ClientProtocol;
import loftflow.protocol.MessageHeaders;

/** A program that hands messages in to a relay (PROTOCOL, Clients to relays), one at a time on a kept connection. */
public final class FakeClient implements AutoCloseable {
    private static final int PATIENCE_MS = 5000;

    private final String host;
    private final int port;
    private Socket socket;
    private BufferedReader in;

    /** A client of the relay at an address. */
    public FakeClient(String host, int port) {
        this.host = host;
        this.port = port;
    }

    /**
     * Hands a message in.
     *
     * @param key null for none
     * @return the status of the answer
     * @throws IOException where the connection ends with no answer
     */
    public int handIn(String id, String type, String tenant, String key, int destination, long budgetMs, String body)
            throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return exchange(
                "POST /api HTTP/1.1\r\nHost: relay\r\n" + MessageHeaders.MESSAGE_ID + ": " + id + "\r\n"
                        + MessageHeaders.REQUEST_CLASS + ": " + type + "\r\n"
                        + (tenant == null ? "" : MessageHeaders.TENANT + ": " + tenant + "\r\n")
                        + MessageHeaders.TIMEOUT_MILLIS + ": "
                        + budgetMs + "\r\n" + (key == null ? "" : MessageHeaders.IDEMPOTENCY_KEY + ": " + key + "\r\n")
                        + "Content-Length: " + bytes.length + "\r\n" + MessageHeaders.DESTINATION + ": "
                        + ClientProtocol.DESTINATION_FIELD
                        + destination
                        + "\r\n\r\n",
                bytes);
    }

    /** True where the relay says that it is ready. */
    public boolean isReady() throws IOException {
        return exchange("GET " + ClientProtocol.READINESS_PATH + " HTTP/1.1\r\nHost: relay\r\n\r\n", new byte[0])
                == 200;
    }

    private int exchange(String head, byte[] body) throws IOException {
        if (socket == null) {
            socket = new Socket(host, port);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(PATIENCE_MS);
            in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        }
        try {
            byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = new byte[start.length + body.length];
            System.arraycopy(start, 0, all, 0, start.length);
            System.arraycopy(body, 0, all, start.length, body.length);
            socket.getOutputStream().write(all);
            String line = in.readLine();
            if (line == null) {
                throw new IOException("the connection ended with no answer");
            }
            boolean last = false;
            for (String header = in.readLine(); header != null && !header.isEmpty(); header = in.readLine()) {
                last |= header.equalsIgnoreCase("connection: close");
            }
            if (last) {
                close();
            }
            return Integer.parseInt(line.split(" ")[1]);
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    @Override
    public void close() throws IOException {
        if (socket != null) {
            socket.close();
            socket = null;
        }
    }
}
