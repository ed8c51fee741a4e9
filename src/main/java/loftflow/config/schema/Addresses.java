package loftflow.config.schema;

/** Addresses in digits with a port, kept as text. */
public final class Addresses {
    private static final int MAX_PORT = 65_535;
    private static final int MAX_BYTE = 255;

    private Addresses() {}

    /**
     * Checks an address.
     *
     * @throws IllegalArgumentException where it is a name, since none are looked up, or no address at all
     */
    static String literal(String text) {
        int colon = text.lastIndexOf(':');
        String host = host(text);
        if (colon < 0
                || !text.substring(colon + 1).matches("\\d{1,5}")
                || Integer.parseInt(text.substring(colon + 1)) > MAX_PORT) {
            throw new IllegalArgumentException(
                    "\"" + text + "\" has no port from 0 to 65535: write it like" + " 127.0.0.1:8080");
        }
        if (host.matches("\\[[0-9a-fA-F:]{2,39}]")) {
            return text;
        }
        if (!host.matches("\\d{1,3}(\\.\\d{1,3}){3}")) {
            throw new IllegalArgumentException("\"" + host + "\" is a name, and a relay looks up none: write the"
                    + " address in digits, like 127.0.0.1:8080");
        }
        for (String part : host.split("\\.")) {
            if (Integer.parseInt(part) > MAX_BYTE) {
                throw new IllegalArgumentException("\"" + host + "\" is no address: " + part + " is above 255");
            }
        }
        return text;
    }

    private static String host(String text) {
        int colon = text.lastIndexOf(':');
        return colon < 0 ? text : text.substring(0, colon);
    }

    /** True where two listeners on these can't both be there; port 0 is never the same twice. */
    public static boolean collide(String a, String b) {
        String port = a.substring(a.lastIndexOf(':') + 1);
        return !port.equals("0")
                && port.equals(b.substring(b.lastIndexOf(':') + 1))
                && (host(a).equals(host(b)) || isAny(host(a)) || isAny(host(b)));
    }

    private static boolean isAny(String host) {
        return host.equals("0.0.0.0") || host.equals("[::]");
    }
}
