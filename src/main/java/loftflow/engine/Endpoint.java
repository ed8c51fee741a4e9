package loftflow.engine;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import loftflow.policy.api.EndpointEntry;

/** An entry of an endpoint list and the address at which this relay reaches it. */
public record Endpoint(EndpointEntry entry, InetSocketAddress address) {

    /**
     * Parses a numeric address with a port, such as {@code 127.0.0.1:8080} or {@code [::1]:8080}; host names are not
     * resolved.
     *
     * @throws IllegalArgumentException if the text is not a numeric address with a port
     */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:]+]")) {
            throw new IllegalArgumentException("not a numeric address with a port: " + text);
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return new InetSocketAddress(InetAddress.getByName(host), port);
        } catch (NumberFormatException | UnknownHostException e) {
            throw new IllegalArgumentException("not a numeric address with a port: " + text, e);
        }
    }
}
