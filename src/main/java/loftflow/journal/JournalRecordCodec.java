package loftflow.journal;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import loftflow.engine.Message;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.PastAttempt;
import loftflow.recordfile.RecordFile;

/**
 * Encodes and decodes the records of the journal. A payload begins with a byte for the record type and the number of
 * the message. Strings are encoded by {@link DataOutputStream#writeUTF}; a nullable string follows a boolean that is
 * true if it is present.
 *
 * <p>The formats, type codes and completion codes must never change: a journal is read by newer and, after a downgrade,
 * by older builds than the one that wrote it.
 */
final class JournalRecordCodec {
    private static final int ACCEPTED = 1;
    private static final int ATTEMPT_STARTED = 2;
    private static final int ATTEMPT_ENDED = 3;
    private static final int COMPLETION_DECIDED = 4;
    private static final int DONE = 5;
    /**
     * A redriven dead letter, or a reopened message if the number of the dead letter is 0, with its past attempts, in
     * one record so that neither is ever stored alone.
     */
    private static final int REDRIVEN = 6;
    /** Accepted from a client that requested a reply; includes the {@link Message.Reply}. */
    private static final int ACCEPTED_FOR_REPLY = 7;
    /** Accepted with an ordering key other than the idempotency key. */
    private static final int ACCEPTED_WITH_ORDERING_KEY = 8;

    /** Placeholder for the header, which {@link RecordFile#seal} fills in. */
    private static final byte[] EMPTY_HEADER = new byte[RecordFile.HEADER_BYTES];

    private static final int COMPLETION_FAILED = 0;
    private static final int COMPLETION_REJECTED = 1;
    private static final int COMPLETION_DELIVERED = 2;

    /** The start of every payload. */
    record Header(int type, long messageNumber) {
        /** Returns whether the record contains a whole message. */
        boolean isAccepted() {
            return type == ACCEPTED
                    || type == REDRIVEN
                    || type == ACCEPTED_FOR_REPLY
                    || type == ACCEPTED_WITH_ORDERING_KEY;
        }
    }

    private interface PayloadWriter {
        void write(DataOutputStream out) throws IOException;
    }

    private JournalRecordCodec() {}

    /** Returns the record of a message with its content and, for a redriven dead letter, its attempts so far. */
    static byte[] accepted(Message message) {
        return accepted(message, acceptedType(message));
    }

    /** Returns the record of a message with its content and its attempts so far; its ordering key is not included. */
    static byte[] acceptedWithAttempts(Message message) {
        return accepted(message, REDRIVEN);
    }

    private static byte[] accepted(Message message, int type) {
        return record(type, message, out -> {
            switch (type) {
                case REDRIVEN -> writePastAttempts(out, message);
                case ACCEPTED_FOR_REPLY -> writeReply(out, message.content().reply());
                case ACCEPTED_WITH_ORDERING_KEY -> out.writeUTF(
                        message.content().orderingKey());
                default -> {}
            }
            writeContent(out, message.content());
        });
    }

    private static int acceptedType(Message message) {
        if (message.deadLetterId() != 0) {
            return REDRIVEN;
        }
        if (message.content().reply() != null) {
            return ACCEPTED_FOR_REPLY;
        }
        return message.content().orderingKey() != null ? ACCEPTED_WITH_ORDERING_KEY : ACCEPTED;
    }

    /** Returns the record of an attempt that is about to be sent. */
    static byte[] attemptStarted(Message.Attempt attempt) {
        return record(ATTEMPT_STARTED, attempt.message(), out -> {
            out.writeInt(attempt.number());
            out.writeUTF(attempt.route());
            out.writeLong(attempt.sentAtMicros());
        });
    }

    /** Returns the record of an attempt's outcome, which must not be null. */
    static byte[] attemptEnded(Message.Attempt attempt) {
        return record(ATTEMPT_ENDED, attempt.message(), out -> {
            out.writeInt(attempt.number());
            out.writeUTF(attempt.outcome().code());
        });
    }

    /** Returns the record of a message's completion, which must not be null. */
    static byte[] completionDecided(Message message) {
        return record(COMPLETION_DECIDED, message, out -> {
            out.writeByte(code(message.completion().kind()));
            out.writeLong(message.completion().retryAfterMicros());
        });
    }

    /** Returns the record that marks a message as done. */
    static byte[] done(Message message) {
        return record(DONE, message, out -> {});
    }

    /** Returns all records that are needed to restore an open message, in order. */
    static byte[] allRecords(Message message) {
        ByteArrayOutputStream records = new ByteArrayOutputStream();
        records.writeBytes(accepted(message));
        // The accepted record of a redriven dead letter includes its attempts.
        if (message.deadLetterId() == 0) {
            for (Message.Attempt attempt : message.attempts()) {
                records.writeBytes(attemptStarted(attempt));
                if (attempt.outcome() != null) {
                    records.writeBytes(attemptEnded(attempt));
                }
            }
        }
        if (message.completion() != null) {
            records.writeBytes(completionDecided(message));
        }
        return records.toByteArray();
    }

    private static byte[] record(int type, Message message, PayloadWriter payload) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.write(EMPTY_HEADER);
            out.writeByte(type);
            out.writeLong(message.number());
            payload.write(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return RecordFile.seal(bytes.toByteArray());
    }

    private static void writeContent(DataOutputStream out, Message.Content content) throws IOException {
        out.writeUTF(content.messageId());
        out.writeUTF(content.requestClass());
        writeNullable(out, content.tenant());
        writeNullable(out, content.key());
        out.writeLong(content.deadlineMicros());
        out.writeInt(content.destination());
        out.writeInt(content.body().length);
        out.write(content.body());
    }

    private static void writeReply(DataOutputStream out, Message.Reply reply) throws IOException {
        out.writeUTF(reply.listener());
        out.writeUTF(reply.queue());
        writeNullable(out, reply.correlationId());
    }

    private static void writePastAttempts(DataOutputStream out, Message message) throws IOException {
        out.writeLong(message.deadLetterId());
        out.writeInt(message.attempts().size());
        for (Message.Attempt attempt : message.attempts()) {
            out.writeUTF(attempt.route());
            out.writeLong(attempt.sentAtMicros());
            writeNullable(
                    out, attempt.outcome() == null ? null : attempt.outcome().code());
        }
    }

    private static void writeNullable(DataOutputStream out, String text) throws IOException {
        out.writeBoolean(text != null);
        if (text != null) {
            out.writeUTF(text);
        }
    }

    /**
     * Reads the start of a payload; {@link #readAccepted} or {@link #readUpdate} reads the rest.
     *
     * @throws IOException if the payload is too short
     */
    static Header readHeader(DataInputStream in) throws IOException {
        int type = in.readByte();
        return new Header(type, in.readLong());
    }

    /**
     * Reads the rest of a record that {@link Header#isAccepted contains a whole message}.
     *
     * @throws IOException if the payload is too short
     * @throws IllegalArgumentException if the outcome code of a past attempt is unknown
     */
    static Message readAccepted(Header header, DataInputStream in) throws IOException {
        return switch (header.type()) {
            case REDRIVEN -> readRedriven(header.messageNumber(), in);
            case ACCEPTED_FOR_REPLY -> {
                Message.Reply reply = new Message.Reply(in.readUTF(), in.readUTF(), readNullable(in));
                yield new Message(header.messageNumber(), readContent(in, reply, null));
            }
            case ACCEPTED_WITH_ORDERING_KEY -> {
                String orderingKey = in.readUTF();
                yield new Message(header.messageNumber(), readContent(in, null, orderingKey));
            }
            default -> new Message(header.messageNumber(), readContent(in, null, null));
        };
    }

    /**
     * Reads the rest of a record that updates a message.
     *
     * @throws IOException if the payload is too short, or its type or completion code is unknown
     * @throws IllegalArgumentException if the outcome code of an attempt is unknown
     */
    static MessageUpdate readUpdate(Header header, DataInputStream in) throws IOException {
        return switch (header.type()) {
            case ATTEMPT_STARTED -> new MessageUpdate.AttemptStarted(in.readInt(), in.readUTF(), in.readLong());
            case ATTEMPT_ENDED -> new MessageUpdate.AttemptEnded(in.readInt(), AttemptOutcome.ofCode(in.readUTF()));
            case COMPLETION_DECIDED -> new MessageUpdate.CompletionDecided(
                    new Message.Completion(completionKind(in.readByte()), in.readLong()));
            case DONE -> new MessageUpdate.Done();
            default -> throw new IOException("unknown record type " + header.type());
        };
    }

    private static Message readRedriven(long number, DataInputStream in) throws IOException {
        long deadLetterId = in.readLong();
        int count = in.readInt();
        List<PastAttempt> pastAttempts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String route = in.readUTF();
            long sentAtMicros = in.readLong();
            String code = readNullable(in);
            pastAttempts.add(new PastAttempt(route, sentAtMicros, code == null ? null : AttemptOutcome.ofCode(code)));
        }
        Message message = new Message(number, readContent(in, null, null), deadLetterId);
        for (PastAttempt past : pastAttempts) {
            message.addAttempt(past.route(), past.sentAtMicros()).outcome(past.outcome());
        }
        return message;
    }

    private static Message.Content readContent(DataInputStream in, Message.Reply reply, String orderingKey)
            throws IOException {
        String messageId = in.readUTF();
        String requestClass = in.readUTF();
        String tenant = readNullable(in);
        String key = readNullable(in);
        long deadlineMicros = in.readLong();
        int destination = in.readInt();
        byte[] body = new byte[in.readInt()];
        in.readFully(body);
        return new Message.Content(
                messageId, requestClass, tenant, key, deadlineMicros, destination, body, reply, orderingKey);
    }

    private static String readNullable(DataInputStream in) throws IOException {
        return in.readBoolean() ? in.readUTF() : null;
    }

    private static int code(Message.Completion.Kind kind) {
        return switch (kind) {
            case FAILED -> COMPLETION_FAILED;
            case REJECTED -> COMPLETION_REJECTED;
            case DELIVERED -> COMPLETION_DELIVERED;
        };
    }

    private static Message.Completion.Kind completionKind(int code) throws IOException {
        return switch (code) {
            case COMPLETION_FAILED -> Message.Completion.Kind.FAILED;
            case COMPLETION_REJECTED -> Message.Completion.Kind.REJECTED;
            case COMPLETION_DELIVERED -> Message.Completion.Kind.DELIVERED;
            default -> throw new IOException("unknown completion code " + code);
        };
    }
}
