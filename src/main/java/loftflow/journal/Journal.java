package loftflow.journal;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loftflow.engine.Message;
import loftflow.engine.WriteAheadLog;
import loftflow.log.Log;
import loftflow.policy.api.AttemptOutcome;
import loftflow.recordfile.RecordFile;

/**
 * The write-ahead log of accepted messages in one segment of records, each with its length and checksum. When enough of
 * the segment belongs to finished messages, a compaction writes the records of open ones to a new segment that replaces
 * it.
 *
 * <p>Invariants: the segment holds whole records only; each open message can be restored from it; the folder takes at
 * most half of the disk, plus a new segment during a compaction. Opening replays the segment and removes a torn tail.
 * Not safe for use by several threads.
 */
public final class Journal implements WriteAheadLog, AutoCloseable {
    /** Share of the disk that the records of open messages may take when one more is accepted. */
    private static final double MAX_OPEN_SHARE = 0.3;
    /** Share of the disk that the records of finished messages may take before a compaction. */
    private static final double MAX_FINISHED_SHARE = 0.1;
    /** Share of the disk that the segment may take by records that add work: accepted messages and attempts. */
    private static final double MAX_SEGMENT_SHARE = 0.45;
    /** Share of the disk that the segment may take in all, so that work can be completed without a compaction. */
    private static final double MAX_SEGMENT_SHARE_FOR_COMPLETION = 0.5;

    private static final long COMPACTION_RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The route of an attempt that is known only to have been possible. */
    private static final String UNKNOWN_ROUTE = "";

    private static final int MAX_ATTEMPTS = 10_000;

    private static final class OpenMessage {
        final Message message;
        /** Bytes of all its records in the segment. */
        long recordBytes;

        OpenMessage(Message message, long recordBytes) {
            this.message = message;
            this.recordBytes = recordBytes;
        }
    }

    private final JournalFolder folder;
    private final long diskBytes;
    /** By number, in the order accepted. */
    private final Map<Long, OpenMessage> openMessages = new LinkedHashMap<>();

    private JournalSegment segment;
    private long openBytes;
    private long lastNumber;
    /** Set for good where a partly written record could not be removed. */
    private boolean isBroken;

    private long nextCompactionNanos = System.nanoTime();

    /**
     * Opens the journal of a folder, which is created where it is missing, and replays it.
     *
     * @param diskBytes space of which the journal takes its shares
     */
    public Journal(Path folder, long diskBytes) throws IOException {
        this.folder = new JournalFolder(folder);
        this.diskBytes = diskBytes;
        segment = this.folder.openNewest();
        replay();
    }

    @Override
    public long nextSequenceNumber() {
        return lastNumber + 1;
    }

    @Override
    public List<Message> openMessages() {
        return openMessages.values().stream().map(open -> open.message).toList();
    }

    @Override
    public boolean recordAccepted(Message message) {
        byte[] record = JournalRecordCodec.accepted(message);
        if (openBytes + record.length > MAX_OPEN_SHARE * diskBytes || !append(record, MAX_SEGMENT_SHARE)) {
            return false;
        }
        addOpen(message, record.length);
        return true;
    }

    @Override
    public boolean recordAttempt(Message.Attempt attempt) {
        return appendFor(attempt.message(), JournalRecordCodec.attemptStarted(attempt), MAX_SEGMENT_SHARE);
    }

    @Override
    public void recordOutcome(Message.Attempt attempt) {
        byte[] record = JournalRecordCodec.attemptEnded(attempt);
        appendFor(attempt.message(), record, MAX_SEGMENT_SHARE_FOR_COMPLETION);
    }

    @Override
    public void recordCompletion(Message message) {
        appendFor(message, JournalRecordCodec.completionDecided(message), MAX_SEGMENT_SHARE_FOR_COMPLETION);
    }

    @Override
    public void recordDone(Message message) {
        boolean isRecorded = appendFor(message, JournalRecordCodec.done(message), MAX_SEGMENT_SHARE_FOR_COMPLETION);
        boolean wasOpen = removeOpen(message.number());
        // A finished message without a record would be restored as open; a compaction leaves it out.
        boolean isCompactionDue =
                wasOpen && !isRecorded || segment.sizeBytes() - openBytes > MAX_FINISHED_SHARE * diskBytes;
        if (isCompactionDue && System.nanoTime() - nextCompactionNanos >= 0) {
            compact();
        }
    }

    @Override
    public void close() throws IOException {
        segment.close();
    }

    /** Appends a record of a message; false where the message is not open or the record is not written. */
    private boolean appendFor(Message message, byte[] record, double maxShare) {
        OpenMessage open = openMessages.get(message.number());
        if (open == null || !append(record, maxShare)) {
            return false;
        }
        addBytes(open, record.length);
        return true;
    }

    private void addBytes(OpenMessage open, long bytes) {
        open.recordBytes += bytes;
        openBytes += bytes;
    }

    private void addOpen(Message message, long recordBytes) {
        openMessages.put(message.number(), new OpenMessage(message, recordBytes));
        openBytes += recordBytes;
        lastNumber = Math.max(lastNumber, message.number());
    }

    private boolean removeOpen(long number) {
        OpenMessage open = openMessages.remove(number);
        if (open == null) {
            return false;
        }
        openBytes -= open.recordBytes;
        return true;
    }

    /** Appends a record whole or, where the segment or the disk is full or the disk fails, not at all. */
    private boolean append(byte[] record, double maxShare) {
        if (isBroken || segment.sizeBytes() + record.length > maxShare * diskBytes) {
            return false;
        }
        try {
            segment.append(record);
            return true;
        } catch (IOException e) {
            Log.line("journal: append failed error=" + e.getMessage());
            removePartialRecord();
            return false;
        }
    }

    private void removePartialRecord() {
        try {
            segment.truncateTail();
        } catch (IOException e) {
            Log.line("journal: truncation failed, no more messages are accepted error=" + e.getMessage());
            isBroken = true;
        }
    }

    /** Replaces the segment by one that holds the records of open messages only. */
    private void compact() {
        Map<OpenMessage, Integer> sizes = new LinkedHashMap<>();
        try {
            JournalSegment next = folder.writeNext(segment, target -> {
                for (OpenMessage open : openMessages.values()) {
                    byte[] records = JournalRecordCodec.all(open.message);
                    target.append(records);
                    sizes.put(open, records.length);
                }
            });
            segment.close();
            Path replaced = segment.path();
            segment = next;
            openBytes = next.sizeBytes();
            sizes.forEach((open, bytes) -> open.recordBytes = bytes);
            Files.deleteIfExists(replaced);
        } catch (IOException e) {
            Log.line("journal: compaction failed error=" + e.getMessage());
            nextCompactionNanos = System.nanoTime() + COMPACTION_RETRY_NANOS;
        }
    }

    private void replay() throws IOException {
        ByteBuffer all = segment.readAll();
        long position = 0;
        for (byte[] payload = segment.readRecord(all); payload != null; payload = segment.readRecord(all)) {
            replay(payload, position);
            position = segment.sizeBytes();
        }
        long tornBytes = segment.tailBytes();
        if (tornBytes > 0) {
            Log.line("journal: torn tail truncated bytes=" + tornBytes);
            segment.truncateTail();
        }
    }

    /** Applies a whole record, or skips one that can't be read: the records behind it hold all the same. */
    private void replay(byte[] payload, long position) {
        long number = 0;
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(payload))) {
            JournalRecordCodec.Header header = JournalRecordCodec.readHeader(in);
            number = header.messageNumber();
            if (header.isAccepted()) {
                addOpen(JournalRecordCodec.readAccepted(header, in), payload.length + RecordFile.HEADER_BYTES);
                return;
            }
            lastNumber = Math.max(lastNumber, number);
            OpenMessage open = openMessages.get(number);
            if (open != null) {
                addBytes(open, payload.length + RecordFile.HEADER_BYTES);
                apply(JournalRecordCodec.readUpdate(header, in), open.message);
            }
        } catch (IOException | IllegalArgumentException | IndexOutOfBoundsException e) {
            Log.line("journal: record skipped segment=" + segment.path().getFileName() + " position=" + position
                    + " message=" + number + " error=" + e);
            OpenMessage open = openMessages.get(number);
            if (open != null) {
                // The record may have been an attempt; without one, the message could be sent twice.
                open.message.addAttempt(UNKNOWN_ROUTE, 0);
            }
        }
    }

    private void apply(MessageUpdate update, Message message) throws IOException {
        if (update instanceof MessageUpdate.AttemptStarted started) {
            applyAttemptStarted(started, message);
        } else if (update instanceof MessageUpdate.AttemptEnded ended) {
            // An attempt whose time was up before it could be sent has an outcome and no other record.
            addUnrecordedAttempts(message, ended.number() + 1, UNKNOWN_ROUTE, 0);
            message.attempts().get(ended.number()).outcome(ended.outcome());
        } else if (update instanceof MessageUpdate.CompletionDecided decided) {
            message.complete(decided.completion());
        } else if (update instanceof MessageUpdate.Done) {
            removeOpen(message.number());
        } else {
            throw new IllegalStateException(
                    "record of message " + message.number() + " has an unknown update: " + update);
        }
    }

    private static void applyAttemptStarted(MessageUpdate.AttemptStarted started, Message message) throws IOException {
        if (started.number() < message.attempts().size()) {
            throw new IOException("attempt " + started.number() + " is out of order");
        }
        addUnrecordedAttempts(message, started.number(), started.route(), started.sentAtMicros());
        message.addAttempt(started.route(), started.sentAtMicros());
    }

    /**
     * Adds attempts that could not be recorded, as the disk failed, up to a count. They were not sent, but those behind
     * them are recorded by their numbers.
     */
    private static void addUnrecordedAttempts(Message message, int count, String route, long sentAtMicros)
            throws IOException {
        if (count > MAX_ATTEMPTS) {
            throw new IOException("attempt " + count + " exceeds the limit of " + MAX_ATTEMPTS);
        }
        while (message.attempts().size() < count) {
            message.addAttempt(route, sentAtMicros).outcome(AttemptOutcome.NOT_SENT);
        }
    }
}
