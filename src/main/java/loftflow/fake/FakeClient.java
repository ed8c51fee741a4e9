package loftflow.fake;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import loftflow.protocol.ClientProtocol;
import loftflow.protocol.MessageHeaders;

/**
 * A client that sends messages to a relay over HTTP/1.1 (PROTOCOL, Clients to relays), one at a time on a persistent
 * connection.
 */
public final class FakeClient implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 5000;

    private final String host;
    private final int port;
    private Socket socket;
    private BufferedReader in;

    /** Creates a client of the relay at an address; it connects with the first request. */
    public FakeClient(String host, int port) {
        this.host = host;
        this.port = port;
    }

    /**
     * Sends a message and waits for the response.
     *
     * @param type the request class
     * @param tenant null for none
     * @param key the idempotency key, or null for none
     * @param budgetMs the time until the deadline, in milliseconds
     * @return the status code of the response
     * @throws IOException if the connection ends without a response
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

    /** Returns whether the relay reports that it is ready. */
    public boolean isReady() throws IOException {
        return exchange("GET " + ClientProtocol.READINESS_PATH + " HTTP/1.1\r\nHost: relay\r\n\r\n", new byte[0])
                == 200;
    }

    private int exchange(String head, byte[] body) throws IOException {
        if (socket == null) {
            socket = new Socket(host, port);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        }
        try {
            byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
            byte[] request = new byte[headBytes.length + body.length];
            System.arraycopy(headBytes, 0, request, 0, headBytes.length);
            System.arraycopy(body, 0, request, headBytes.length, body.length);
            socket.getOutputStream().write(request);
            String line = in.readLine();
            if (line == null) {
                throw new IOException("the relay closed the connection without a response");
            }
            boolean isLastResponse = false;
            for (String header = in.readLine(); header != null && !header.isEmpty(); header = in.readLine()) {
                isLastResponse |= header.equalsIgnoreCase("connection: close");
            }
            if (isLastResponse) {
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
