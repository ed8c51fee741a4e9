package loftflow.clock;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import loftflow.log.Log;
import loftflow.recordfile.SingleRecordFile;

/** A file with one clock reading. It is replaced as a whole, so that a kill leaves the old reading or the new one. */
public final class ClockFile {
    private static final String FILE_NAME = "clock";
    private static final int FORMAT = 1;

    private ClockFile() {}

    /** Returns the stored reading, or null if there is none that can be read. */
    public static ClockReading read(Path folder) {
        try {
            byte[] payload = new SingleRecordFile(folder, FILE_NAME).read();
            if (payload == null) {
                return null;
            }
            if (payload[0] != FORMAT) {
                throw new IOException("unknown format " + payload[0]);
            }
            DataInputStream in = new DataInputStream(new ByteArrayInputStream(payload, 1, payload.length - 1));
            return new ClockReading(in.readLong(), in.readLong(), in.readUTF());
        } catch (IOException e) {
            Log.line("server: stored clock unreadable error=" + e.getMessage());
            return null;
        }
    }

    /**
     * Replaces the stored reading; creates the folder if it does not exist.
     *
     * @throws IOException if the folder can't be written; the stored reading is unchanged then
     */
    public static void write(Path folder, ClockReading reading) throws IOException {
        new SingleRecordFile(folder, FILE_NAME).write(encode(reading));
    }

    private static byte[] encode(ClockReading reading) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(FORMAT);
        out.writeLong(reading.wallMicros());
        out.writeLong(reading.uptimeMicros());
        out.writeUTF(reading.bootId());
        return bytes.toByteArray();
    }
}
