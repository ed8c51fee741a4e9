package loftflow.journal;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loftflow.engine.Message;
import loftflow.engine.WriteAheadLog;
import loftflow.log.Log;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.PastAttempt;
import loftflow.recordfile.RecordFile;

/**
 * The write-ahead journal of accepted work: one segment of records, each with its length and checksum.
 * When enough of the segment speaks of finished messages, what is still open is written to a new segment,
 * which then takes its place.
 *
 * <p>Appending needs no sync: what was written outlasts the process, and nothing outlasts the machine.
 */
public final class Journal implements WriteAheadLog, AutoCloseable {
    // Shares of the disk. Both segments are there during rewriting: 0.5 + 0.4 at the most.
    private static final double LARGEST_OPEN = 0.3; // what is open when a message is taken on
    private static final double LARGEST_FINISHED = 0.1; // then the segment is rewritten
    private static final double LARGEST_SEGMENT = 0.45; // for what makes the relay owe more
    private static final double LARGEST_WITH_ENDS = 0.5; // so that an end has room without a rewrite
    private static final long REWRITE_PAUSE = 1_000_000_000; // after a rewrite that failed

    private static final String SEGMENT = "journal-%010d.log";
    private static final String UNFINISHED = "journal.new";

    /** The route of an attempt that went to none. */
    private static final String NOWHERE = "";

    private static final int MOST_ATTEMPTS = 10_000;

    private static final int ACCEPTED = 1;
    private static final int ATTEMPT = 2;
    private static final int RESULT = 3;
    private static final int DECIDED = 4;
    private static final int DONE = 5;
    /**
     * Accepted to be sent again, with the attempts that bind it: in one record, since none may be without the others.
     */
    private static final int RESENT = 6;
    /** Accepted from a client that asked for a reply, with where to. */
    private static final int ACCEPTED_FOR_REPLY = 7;
    /** Accepted from a client that names, beside or without a key, the line whose order its message keeps. */
    private static final int ACCEPTED_IN_LINE = 8;

    private interface Payload {
        void write(DataOutputStream out) throws IOException;
    }

    private static final class Open {
        final Message message;
        long bytes;

        Open(Message message) {
            this.message = message;
        }
    }

    private final Path folder;
    private final long disk;
    private final Map<Long, Open> open = new LinkedHashMap<>();
    private FileChannel segment;
    private Path path;
    private long segmentNumber;
    private long size;
    private long openBytes;
    private long lastNumber;
    private boolean broken;
    private long nextRewrite = System.nanoTime();

    /** Opens the journal of a folder and replays it; a torn tail is cut off. */
    public Journal(Path folder, long disk) throws IOException {
        this.folder = folder;
        this.disk = disk;
        Files.createDirectories(folder);
        Files.deleteIfExists(folder.resolve(UNFINISHED));
        List<Path> segments;
        try (var files = Files.list(folder)) {
            segments = files.filter(f -> f.getFileName().toString().matches("journal-\\d{10}\\.log"))
                    .sorted()
                    .toList();
        }
        path = folder.resolve(SEGMENT.formatted(0));
        if (!segments.isEmpty()) {
            // Guards against a kill between a rewrite and the removal of what it replaces: the newest is whole.
            path = segments.get(segments.size() - 1);
            segmentNumber = Long.parseLong(path.getFileName().toString().replaceAll("\\D", ""));
            for (Path old : segments.subList(0, segments.size() - 1)) {
                Files.delete(old);
            }
        }
        segment = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        replay();
    }

    @Override
    public long nextSequenceNumber() {
        return lastNumber + 1;
    }

    @Override
    public List<Message> openMessages() {
        return open.values().stream().map(o -> o.message).toList();
    }

    @Override
    public boolean recordAccepted(Message message) {
        byte[] record = record(accepted(message));
        if (openBytes + record.length > LARGEST_OPEN * disk || !append(record, LARGEST_SEGMENT)) {
            return false;
        }
        add(message, record.length);
        return true;
    }

    @Override
    public boolean recordAttempt(Message.Attempt attempt) {
        return note(attempt.message(), attempt(attempt.message(), attempt), LARGEST_SEGMENT);
    }

    @Override
    public void recordOutcome(Message.Attempt attempt) {
        note(attempt.message(), result(attempt.message(), attempt), LARGEST_WITH_ENDS);
    }

    @Override
    public void recordCompletion(Message message) {
        note(message, decision(message), LARGEST_WITH_ENDS);
    }

    @Override
    public void recordDone(Message message) {
        boolean noted = note(
                message,
                out -> {
                    out.writeByte(DONE);
                    out.writeLong(message.number());
                },
                LARGEST_WITH_ENDS);
        boolean known = open.containsKey(message.number());
        forget(message.number());
        // Guards against a full disk that would bring a finished message back: a rewrite leaves it out.
        boolean wanted = known && !noted || size - openBytes > LARGEST_FINISHED * disk;
        if (wanted && System.nanoTime() - nextRewrite >= 0) {
            rewrite();
        }
    }

    @Override
    public void close() throws IOException {
        segment.close();
    }

    private boolean note(Message message, Payload payload, double share) {
        Open entry = open.get(message.number());
        byte[] record = record(payload);
        if (entry == null || !append(record, share)) {
            return false;
        }
        entry.bytes += record.length;
        openBytes += record.length;
        return true;
    }

    private void add(Message message, long bytes) {
        Open entry = new Open(message);
        entry.bytes = bytes;
        openBytes += bytes;
        open.put(message.number(), entry);
        lastNumber = Math.max(lastNumber, message.number());
    }

    private void forget(long number) {
        Open entry = open.remove(number);
        if (entry != null) {
            openBytes -= entry.bytes;
        }
    }

    /** Appends a record whole or, where the disk is full or fails, not at all. */
    private boolean append(byte[] record, double share) {
        if (broken || size + record.length > share * disk) {
            return false;
        }
        try {
            RecordFile.write(segment, record, size);
            size += record.length;
            return true;
        } catch (IOException e) {
            Log.line("journal: can't write: " + e.getMessage());
            cutOff();
            return false;
        }
    }

    /** Guards against half a record that later ones would follow: none of them could be replayed. */
    private void cutOff() {
        try {
            segment.truncate(size);
        } catch (IOException e) {
            Log.line("journal: can't be mended, nothing more is taken on: " + e.getMessage());
            broken = true;
        }
    }

    private void rewrite() {
        Path unfinished = folder.resolve(UNFINISHED);
        Path next = folder.resolve(SEGMENT.formatted(segmentNumber + 1));
        try {
            FileChannel channel = FileChannel.open(
                    unfinished,
                    StandardOpenOption.CREATE,
                    StandardOpenOption.TRUNCATE_EXISTING,
                    StandardOpenOption.WRITE);
            long written = 0;
            Map<Long, Long> sizes = new LinkedHashMap<>();
            try {
                for (Open entry : open.values()) {
                    byte[] records = recordsOf(entry.message);
                    RecordFile.write(channel, records, written);
                    written += records.length;
                    sizes.put(entry.message.number(), (long) records.length);
                }
                Files.move(unfinished, next, StandardCopyOption.ATOMIC_MOVE);
            } catch (IOException e) {
                channel.close();
                Files.deleteIfExists(unfinished);
                throw e;
            }
            segment.close();
            segment = channel;
            Path old = path;
            path = next;
            segmentNumber++;
            size = written;
            openBytes = written;
            sizes.forEach((number, bytes) -> open.get(number).bytes = bytes);
            Files.deleteIfExists(old);
        } catch (IOException e) {
            Log.line("journal: can't be rewritten: " + e.getMessage());
            nextRewrite = System.nanoTime() + REWRITE_PAUSE;
        }
    }

    private static byte[] recordsOf(Message message) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(record(accepted(message)));
        // The record of one that is sent again holds its attempts.
        for (Message.Attempt attempt : message.deadLetterId() == 0 ? message.attempts() : List.<Message.Attempt>of()) {
            all.write(record(attempt(message, attempt)));
            if (attempt.outcome() != null) {
                all.write(record(result(message, attempt)));
            }
        }
        if (message.completion() != null) {
            all.write(record(decision(message)));
        }
        return all.toByteArray();
    }

    private static Payload accepted(Message message) {
        Message.Content content = message.content();
        return out -> {
            Message.Reply reply = content.reply();
            boolean inLine = content.orderingKey() != null && reply == null && message.deadLetterId() == 0;
            out.writeByte(
                    message.deadLetterId() != 0
                            ? RESENT
                            : reply != null ? ACCEPTED_FOR_REPLY : inLine ? ACCEPTED_IN_LINE : ACCEPTED);
            out.writeLong(message.number());
            if (message.deadLetterId() != 0) {
                writePast(out, message);
            } else if (reply != null) {
                out.writeUTF(reply.listener());
                out.writeUTF(reply.queue());
                writeOptional(out, reply.correlationId());
            } else if (inLine) {
                out.writeUTF(content.orderingKey());
            }
            out.writeUTF(content.messageId());
            out.writeUTF(content.requestClass());
            writeOptional(out, content.tenant());
            writeOptional(out, content.key());
            out.writeLong(content.deadlineMicros());
            out.writeInt(content.destination());
            out.writeInt(content.body().length);
            out.write(content.body());
        };
    }

    private static void writePast(DataOutputStream out, Message message) throws IOException {
        out.writeLong(message.deadLetterId());
        out.writeInt(message.attempts().size());
        for (Message.Attempt attempt : message.attempts()) {
            out.writeUTF(attempt.route());
            out.writeLong(attempt.sentAtMicros());
            writeOptional(
                    out, attempt.outcome() == null ? null : attempt.outcome().code());
        }
    }

    private static Message readResent(DataInputStream in, long number) throws IOException {
        long entry = in.readLong();
        int count = in.readInt();
        List<PastAttempt> past = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String route = in.readUTF();
            long sentAt = in.readLong();
            String result = readOptional(in);
            past.add(new PastAttempt(route, sentAt, result == null ? null : AttemptOutcome.ofCode(result)));
        }
        Message message = new Message(number, readContent(in, null, null), entry);
        past.forEach(p -> message.addAttempt(p.route(), p.sentAtMicros()).outcome(p.outcome()));
        return message;
    }

    private static Payload attempt(Message message, Message.Attempt attempt) {
        return out -> {
            out.writeByte(ATTEMPT);
            out.writeLong(message.number());
            out.writeInt(attempt.number());
            out.writeUTF(attempt.route());
            out.writeLong(attempt.sentAtMicros());
        };
    }

    private static Payload result(Message message, Message.Attempt attempt) {
        return out -> {
            out.writeByte(RESULT);
            out.writeLong(message.number());
            out.writeInt(attempt.number());
            out.writeUTF(attempt.outcome().code());
        };
    }

    private static Payload decision(Message message) {
        return out -> {
            out.writeByte(DECIDED);
            out.writeLong(message.number());
            out.writeByte(message.completion().kind().ordinal());
            out.writeLong(message.completion().retryAfterMicros());
        };
    }

    private static byte[] record(Payload payload) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeLong(0); // the head's place
            payload.write(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return RecordFile.seal(bytes.toByteArray());
    }

    private void replay() throws IOException {
        ByteBuffer all = RecordFile.all(segment);
        byte[] payload = RecordFile.next(all);
        while (payload != null) {
            replay(payload, size);
            size = all.position();
            payload = RecordFile.next(all);
        }
        if (size < segment.size()) {
            Log.line("journal: a torn tail of " + (segment.size() - size) + " bytes is cut off");
            segment.truncate(size);
        }
    }

    /** Takes a whole record in, or passes over one that makes no sense: what stands behind it is no less true. */
    private void replay(byte[] payload, long at) {
        long number = 0;
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(payload))) {
            int type = in.readByte();
            number = in.readLong();
            if (type == ACCEPTED) {
                add(new Message(number, readContent(in, null, null)), payload.length + RecordFile.HEAD);
                return;
            }
            if (type == ACCEPTED_IN_LINE) {
                String line = in.readUTF();
                add(new Message(number, readContent(in, null, line)), payload.length + RecordFile.HEAD);
                return;
            }
            if (type == ACCEPTED_FOR_REPLY) {
                Message.Reply reply = new Message.Reply(in.readUTF(), in.readUTF(), readOptional(in));
                add(new Message(number, readContent(in, reply, null)), payload.length + RecordFile.HEAD);
                return;
            }
            if (type == RESENT) {
                add(readResent(in, number), payload.length + RecordFile.HEAD);
                return;
            }
            lastNumber = Math.max(lastNumber, number);
            Open entry = open.get(number);
            if (entry == null) {
                return;
            }
            entry.bytes += payload.length + RecordFile.HEAD;
            openBytes += payload.length + RecordFile.HEAD;
            Message message = entry.message;
            switch (type) {
                case ATTEMPT -> replayAttempt(message, in.readInt(), in.readUTF(), in.readLong());
                case RESULT -> replayResult(message, in.readInt(), AttemptOutcome.ofCode(in.readUTF()));
                case DECIDED -> message.complete(
                        new Message.Completion(Message.Completion.Kind.values()[in.readByte()], in.readLong()));
                case DONE -> forget(number);
                default -> throw new IOException("unknown record " + type);
            }
        } catch (IOException | IllegalArgumentException | IndexOutOfBoundsException e) {
            Log.line("journal: " + path.getFileName() + ": the record at byte " + at + ", of message " + number
                    + ", is passed over: " + e);
            Open entry = open.get(number);
            if (entry != null) {
                // Guards against a message that is sent twice: what can't be read may have been an attempt.
                entry.message.addAttempt(NOWHERE, 0);
            }
        }
    }

    private static void replayAttempt(Message message, int number, String route, long sentAt) throws IOException {
        if (number < message.attempts().size()) {
            throw new IOException("attempt " + number + " is out of order");
        }
        addUnrecorded(message, number, route, sentAt);
        message.addAttempt(route, sentAt);
    }

    /** Its attempt may have no record: one whose time was up before it could be sent has a result alone. */
    private static void replayResult(Message message, int number, AttemptOutcome result) throws IOException {
        addUnrecorded(message, number + 1, NOWHERE, 0);
        message.attempts().get(number).outcome(result);
    }

    /**
     * Guards against attempts that were never recorded, as the disk failed: they were not sent, but later ones keep
     * their numbers.
     */
    private static void addUnrecorded(Message message, int count, String route, long sentAt) throws IOException {
        if (count > MOST_ATTEMPTS) {
            throw new IOException("attempt " + count + " is one of too many");
        }
        while (message.attempts().size() < count) {
            message.addAttempt(route, sentAt).outcome(AttemptOutcome.NOT_SENT);
        }
    }

    private static Message.Content readContent(DataInputStream in, Message.Reply reply, String line)
            throws IOException {
        String callId = in.readUTF();
        String requestClass = in.readUTF();
        String tenant = readOptional(in);
        String key = readOptional(in);
        long deadline = in.readLong();
        int destination = in.readInt();
        byte[] body = new byte[in.readInt()];
        in.readFully(body);
        return new Message.Content(callId, requestClass, tenant, key, deadline, destination, body, reply, line);
    }

    private static void writeOptional(DataOutputStream out, String text) throws IOException {
        out.writeBoolean(text != null);
        if (text != null) {
            out.writeUTF(text);
        }
    }

    private static String readOptional(DataInputStream in) throws IOException {
        return in.readBoolean() ? in.readUTF() : null;
    }
}
