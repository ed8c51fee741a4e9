package loftflow.config.file;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** Reads a file that operators wrote; an error says in one line why it can't be read. */
public final class SourceFile {
    /** Far above any configuration, so that a file of another kind is not read whole. */
    static final int MAX_BYTES = 1 << 20;

    private SourceFile() {}

    /** A file that can't be read at all; the message is for operators and names the file. */
    public static final class UnreadableException extends Exception {
        private static final long serialVersionUID = 1L;

        UnreadableException(Path file, String why) {
            super(file + ": " + why);
        }
    }

    /** The bytes of a regular file of 1 MiB at the most. */
    public static byte[] readBytes(Path file) throws UnreadableException {
        try {
            if (Files.isDirectory(file)) {
                throw new UnreadableException(file, "is a folder, not a file");
            }
            // Reading a pipe or a device may never end.
            if (Files.exists(file) && !Files.isRegularFile(file)) {
                throw new UnreadableException(file, "is no regular file");
            }
            try (InputStream in = Files.newInputStream(file)) {
                byte[] bytes = in.readNBytes(MAX_BYTES + 1);
                if (bytes.length > MAX_BYTES) {
                    throw new UnreadableException(file, "is larger than 1 MiB, which no configuration is");
                }
                return bytes;
            }
        } catch (NoSuchFileException e) {
            throw new UnreadableException(file, "does not exist");
        } catch (IOException e) {
            throw new UnreadableException(file, "can't be read: " + e.getMessage());
        }
    }

    /** The text of a file in UTF-8 that holds something. */
    public static String readText(Path file) throws UnreadableException {
        byte[] bytes = readBytes(file);
        try {
            String text = StandardCharsets.UTF_8
                    .newDecoder()
                    .onMalformedInput(CodingErrorAction.REPORT)
                    .onUnmappableCharacter(CodingErrorAction.REPORT)
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
            if (text.startsWith("\uFEFF")) {
                throw new UnreadableException(file, "begins with a byte-order mark: save it as UTF-8 without one");
            }
            if (text.indexOf('\0') >= 0) {
                throw new UnreadableException(file, "holds NUL bytes: it is no text");
            }
            if (text.isBlank()) {
                throw new UnreadableException(file, "is empty");
            }
            return text;
        } catch (CharacterCodingException e) {
            throw new UnreadableException(file, "is not UTF-8");
        }
    }
}
