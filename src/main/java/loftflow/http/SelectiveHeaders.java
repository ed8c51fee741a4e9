package loftflow.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.util.AsciiString;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * The fields of a head or of trailers. Fields that no protocol of the relay uses are validated and not stored, as a
 * stored field takes many times the bytes that the peer has sent. Not thread-safe.
 */
public final class SelectiveHeaders extends DefaultHttpHeaders {
    /** The objects of a stored field beside its characters. */
    private static final int FIELD_OVERHEAD_BYTES = 112;
    /** A second field with the same name shows that the name is repeated; further ones show nothing more. */
    private static final int MAX_FIELDS_PER_NAME = 2;

    private static final DefaultHttpHeadersFactory VALIDATION = DefaultHttpHeadersFactory.headersFactory();
    /** Fields that determine the framing of a message, or what becomes of its connection. */
    private static final List<AsciiString> CONNECTION_FIELDS = List.of(
            HttpHeaderNames.CONTENT_LENGTH,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.CONNECTION,
            HttpHeaderNames.EXPECT,
            HttpHeaderNames.UPGRADE);

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** Creates the headers of messages. */
    public static final class Factory implements HttpHeadersFactory {
        private final AsciiString[] names;
        private final boolean isHashed;

        private Factory(AsciiString[] names, boolean isHashed) {
            this.names = names;
            this.isHashed = isHashed;
        }

        /**
         * Creates a factory of heads, which store the fields of the connection and those with the given names.
         *
         * @param isHashed whether {@link SelectiveHeaders#fieldsHash} is to be computed
         */
        public static Factory ofMessages(Collection<? extends CharSequence> names, boolean isHashed) {
            List<AsciiString> all = new ArrayList<>(CONNECTION_FIELDS);
            names.forEach(name -> all.add(AsciiString.of(name)));
            return new Factory(all.toArray(AsciiString[]::new), isHashed);
        }

        /** Creates a factory of trailers, of which none is stored. */
        public static Factory ofTrailers() {
            return new Factory(new AsciiString[0], false);
        }

        @Override
        public HttpHeaders newHeaders() {
            return new SelectiveHeaders(names, isHashed);
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return newHeaders();
        }
    }

    private final AsciiString[] names;
    private final boolean isHashed;
    private int storedBytes;
    private long fieldsHash = FNV_OFFSET_BASIS;

    private SelectiveHeaders(AsciiString[] names, boolean isHashed) {
        this.names = names;
        this.isHashed = isHashed;
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        CharSequence text = value.toString();
        if (isHashed) {
            addToHash(name);
            addToHash(text);
        }
        if (isStored(name)) {
            storedBytes += FIELD_OVERHEAD_BYTES + name.length() + text.length();
            return super.add(name, value);
        }
        VALIDATION.getNameValidator().validateName(name);
        VALIDATION.getValueValidator().validate(text);
        return this;
    }

    private boolean isStored(CharSequence name) {
        for (AsciiString known : names) {
            if (known.contentEqualsIgnoreCase(name)) {
                return !contains(known) || getAll(known).size() < MAX_FIELDS_PER_NAME;
            }
        }
        return false;
    }

    private void addToHash(CharSequence text) {
        for (int i = 0; i < text.length(); i++) {
            fieldsHash = (fieldsHash ^ text.charAt(i)) * FNV_PRIME;
        }
        // Separates this text from the next one.
        fieldsHash = (fieldsHash ^ '\n') * FNV_PRIME;
    }

    /** Returns the heap memory of the stored fields, in bytes. */
    public int storedBytes() {
        return storedBytes;
    }

    /** Returns a hash of all fields in their order, also of those that are not stored. */
    public long fieldsHash() {
        return fieldsHash;
    }
}
