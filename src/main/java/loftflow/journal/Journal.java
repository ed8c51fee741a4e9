package loftflow.journal;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loftflow.engine.Message;
import loftflow.engine.WriteAheadLog;
import loftflow.log.Log;
import loftflow.policy.api.AttemptOutcome;
import loftflow.recordfile.RecordFile;

/**
 * The write-ahead log of accepted messages: one segment of records, each with its length and checksum. Once the records
 * of finished messages take enough of the segment, a compaction writes those of the open messages to a new segment that
 * replaces it.
 *
 * <p>Invariants: the segment contains only whole records; every open message can be restored from it; the folder uses
 * at most half of the disk, plus a new segment during a compaction. Opening replays the segment and truncates a torn
 * tail. Not thread-safe.
 */
public final class Journal implements WriteAheadLog, AutoCloseable {
    /** Share of the disk that the records of open messages, including a new one, may use for it to be accepted. */
    private static final double MAX_OPEN_SHARE = 0.3;
    /** Share of the disk that the records of finished messages may use before a compaction is due. */
    private static final double MAX_FINISHED_SHARE = 0.1;
    /** Share of the disk up to which the segment takes records that add work: accepted messages and attempts. */
    private static final double MAX_SEGMENT_SHARE = 0.45;
    /**
     * Share of the disk up to which the segment takes outcomes, completions and done records. It is larger, so that
     * work can be completed without a compaction.
     */
    private static final double MAX_SEGMENT_SHARE_FOR_COMPLETION = 0.5;

    private static final long COMPACTION_RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The route of an attempt whose record is missing or unreadable. */
    private static final String UNKNOWN_ROUTE = "";

    /** A replayed record with a higher attempt number is skipped as malformed. */
    private static final int MAX_ATTEMPTS = 10_000;

    private static final class OpenMessage {
        final Message message;
        /** Total size of its records in the segment, in bytes. */
        long recordBytes;

        OpenMessage(Message message, long recordBytes) {
            this.message = message;
            this.recordBytes = recordBytes;
        }
    }

    private final JournalFolder folder;
    private final long diskBytes;
    /** By message number, in order of acceptance. */
    private final Map<Long, OpenMessage> openMessages = new LinkedHashMap<>();

    private JournalSegment segment;
    private long openBytes;
    private long lastNumber;
    /** True while the segment may end in a partly written record, which is truncated before the next append. */
    private boolean hasTornTail;
    /** True from a failed write to the next successful one. */
    private boolean isFailing;
    /** Records of outcomes, completions and finished messages that could not be written yet, in order. */
    private final ArrayDeque<byte[]> unwritten = new ArrayDeque<>();

    private long unwrittenBytes;
    /** Schedules a task that writes the unwritten records. */
    private Consumer<Runnable> retryScheduler = task -> {};

    private boolean isRetryScheduled;

    private long nextCompactionNanos = System.nanoTime();

    /**
     * Opens and replays the journal in a folder; creates the folder if it does not exist.
     *
     * @param diskBytes disk space, in bytes, of which the limits of the journal are shares
     * @throws IOException if the folder or its segment can't be read or written
     */
    public Journal(Path folder, long diskBytes) throws IOException {
        this(folder, diskBytes, FileChannel::open);
    }

    /** Opens a journal that opens its files as given. */
    Journal(Path folder, long diskBytes, JournalFolder.FileOpener files) throws IOException {
        this.folder = new JournalFolder(folder, files);
        this.diskBytes = diskBytes;
        segment = this.folder.openNewest();
        replay();
    }

    /**
     * Sets how failed writes are retried; without it, they are retried before the next record.
     *
     * @param scheduler runs a task once after a short delay, on the thread that uses this journal
     */
    public void retryFailedWritesBy(Consumer<Runnable> scheduler) {
        retryScheduler = scheduler;
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
        return recordNew(message, JournalRecordCodec.accepted(message));
    }

    @Override
    public boolean recordReopened(Message message) {
        return recordNew(message, JournalRecordCodec.acceptedWithAttempts(message));
    }

    private boolean recordNew(Message message, byte[] record) {
        if (openBytes + record.length > MAX_OPEN_SHARE * diskBytes || !append(record, MAX_SEGMENT_SHARE)) {
            return false;
        }
        addOpen(message, record.length);
        return true;
    }

    @Override
    public boolean recordAttempt(Message.Attempt attempt) {
        OpenMessage open = openMessages.get(attempt.message().number());
        byte[] record = JournalRecordCodec.attemptStarted(attempt);
        if (open == null || !append(record, MAX_SEGMENT_SHARE)) {
            return false;
        }
        addBytes(open, record.length);
        return true;
    }

    @Override
    public void recordOutcome(Message.Attempt attempt) {
        appendOrQueue(attempt.message(), JournalRecordCodec.attemptEnded(attempt));
    }

    @Override
    public boolean hasUnwrittenRecords() {
        return !unwritten.isEmpty();
    }

    @Override
    public boolean recordCompletion(Message message) {
        return appendOrQueue(message, JournalRecordCodec.completionDecided(message)) && unwritten.isEmpty();
    }

    @Override
    public boolean recordDone(Message message) {
        boolean isRecorded = appendOrQueue(message, JournalRecordCodec.done(message));
        boolean wasOpen = removeOpen(message.number());
        // A finished message whose done record was not written would be restored as open; a compaction removes it.
        boolean isCompactionDue =
                wasOpen && !isRecorded || segment.sizeBytes() - openBytes > MAX_FINISHED_SHARE * diskBytes;
        if (isCompactionDue && System.nanoTime() - nextCompactionNanos >= 0) {
            isRecorded |= compact();
        }
        return isRecorded && unwritten.isEmpty();
    }

    @Override
    public void close() throws IOException {
        segment.close();
    }

    /**
     * Appends a record of a message that finishes work. If the write fails, the record is queued until writes work.
     *
     * @return false if the message is not open or the segment is full
     */
    private boolean appendOrQueue(Message message, byte[] record) {
        OpenMessage open = openMessages.get(message.number());
        if (open == null || !hasRoom(record, MAX_SEGMENT_SHARE_FOR_COMPLETION)) {
            return false;
        }
        if (!writeUnwritten() || !write(record)) {
            unwritten.add(record);
            unwrittenBytes += record.length;
            scheduleRetry();
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

    /** Appends a whole record, or nothing if the segment or the disk is full or the write fails. */
    private boolean append(byte[] record, double maxShare) {
        return hasRoom(record, maxShare) && writeUnwritten() && write(record);
    }

    private boolean hasRoom(byte[] record, double maxShare) {
        return segment.sizeBytes() + unwrittenBytes + record.length <= maxShare * diskBytes;
    }

    /** Writes a whole record, or nothing. The records after a partly written one could not be replayed. */
    private boolean write(byte[] record) {
        if (!truncateTornTail()) {
            scheduleRetry();
            return false;
        }
        try {
            // Until the record is whole, the segment may end in a part of it.
            hasTornTail = true;
            segment.append(record);
            hasTornTail = false;
            logRecovery();
            return true;
        } catch (IOException e) {
            logFailure(e);
            scheduleRetry();
            return false;
        }
    }

    private void logFailure(IOException e) {
        if (!isFailing) {
            Log.line("journal: write failed, no messages are accepted error=" + e.getMessage());
        }
        isFailing = true;
    }

    private void logRecovery() {
        if (isFailing) {
            Log.line("journal: writes work again unwritten=" + unwritten.size());
        }
        isFailing = false;
    }

    /** Writes the queued records, which must precede later ones; returns whether none is left. */
    private boolean writeUnwritten() {
        while (!unwritten.isEmpty() && write(unwritten.peek())) {
            unwrittenBytes -= unwritten.poll().length;
        }
        return unwritten.isEmpty();
    }

    private void scheduleRetry() {
        if (!isRetryScheduled) {
            isRetryScheduled = true;
            retryScheduler.accept(this::retry);
        }
    }

    /** Writes queued records and truncates a partly written one, and tries again later if that fails. */
    private void retry() {
        isRetryScheduled = false;
        if (!writeUnwritten() || !truncateTornTail()) {
            scheduleRetry();
        }
    }

    private boolean truncateTornTail() {
        try {
            if (hasTornTail) {
                segment.truncateTail();
                hasTornTail = false;
            }
            return true;
        } catch (IOException e) {
            logFailure(e);
            return false;
        }
    }

    /** Replaces the segment with one that contains only the records of open messages; returns whether it succeeded. */
    private boolean compact() {
        Map<OpenMessage, Integer> sizes = new LinkedHashMap<>();
        try {
            JournalSegment next = folder.writeNext(segment, target -> {
                for (OpenMessage open : openMessages.values()) {
                    byte[] records = JournalRecordCodec.allRecords(open.message);
                    target.append(records);
                    sizes.put(open, records.length);
                }
            });
            replaceSegment(next);
            openBytes = next.sizeBytes();
            sizes.forEach((open, bytes) -> open.recordBytes = bytes);
            return true;
        } catch (IOException e) {
            Log.line("journal: compaction failed error=" + e.getMessage());
            nextCompactionNanos = System.nanoTime() + COMPACTION_RETRY_NANOS;
            return false;
        }
    }

    /** Continues with a segment that holds the state of every open message, and removes the previous one. */
    private void replaceSegment(JournalSegment next) {
        JournalSegment previous = segment;
        segment = next;
        hasTornTail = false;
        unwritten.clear();
        unwrittenBytes = 0;
        try {
            previous.close();
            Files.deleteIfExists(previous.path());
        } catch (IOException e) {
            // The next start deletes it.
            Log.line("journal: previous segment not deleted error=" + e.getMessage());
        }
    }

    private void replay() throws IOException {
        ByteBuffer content = segment.readAll();
        long position = 0;
        for (byte[] payload = segment.readRecord(content); payload != null; payload = segment.readRecord(content)) {
            replay(payload, position);
            position = segment.sizeBytes();
        }
        long tornBytes = segment.tailBytes();
        if (tornBytes > 0) {
            hasTornTail = true;
            Log.line("journal: torn tail " + (truncateTornTail() ? "" : "not ") + "truncated bytes=" + tornBytes);
        }
    }

    /** Applies a record, or skips it if its payload can't be decoded; the records after it remain valid. */
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
                // The skipped record may have been of an attempt. Without that attempt, a message that is not
                // idempotent could be sent twice.
                open.message.addAttempt(UNKNOWN_ROUTE, 0);
            }
        }
    }

    private void apply(MessageUpdate update, Message message) throws IOException {
        if (update instanceof MessageUpdate.AttemptStarted started) {
            applyAttemptStarted(started, message);
        } else if (update instanceof MessageUpdate.AttemptEnded ended) {
            // An attempt that was not sent because the deadline had passed has only an outcome record.
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
     * Adds attempts without a record, up to a count. They could not be recorded and therefore were not sent, but the
     * numbers of later attempts include them.
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
