package loftflow.policy;

import java.nio.ByteBuffer;
import loftflow.policy.api.PeerMessage;

/**
 * Encodes and decodes the messages between the relays of a fleet, and delivers directly those that a relay sends to
 * itself. A message is one byte with the code of its type, followed by the id of its group in four bytes, big-endian.
 */
final class PeerChannel {
    /** Receives the messages of peers and of this relay itself. */
    interface Receiver {
        void onPeerMessage(int sender, PeerMessageType type, int groupId);
    }

    private static final int EVERY_RELAY = -1;
    private static final int MESSAGE_BYTES = Byte.BYTES + Integer.BYTES;

    private final RoundContext context;
    private final Receiver receiver;

    PeerChannel(RoundContext context, Receiver receiver) {
        this.context = context;
        this.receiver = receiver;
    }

    void send(int relay, PeerMessageType type, int groupId) {
        if (relay == context.settings().relayIndex()) {
            receiver.onPeerMessage(relay, type, groupId);
        } else {
            ByteBuffer message = ByteBuffer.allocate(MESSAGE_BYTES);
            message.put((byte) type.code()).putInt(groupId);
            context.actions().sendToPeer(relay, message.array());
        }
    }

    void broadcast(PeerMessageType type, int groupId) {
        send(EVERY_RELAY, type, groupId);
    }

    /** Decodes a message and passes it to the receiver; ignores a message of any other length. */
    void receive(PeerMessage message) {
        if (message.payload().length == MESSAGE_BYTES) {
            ByteBuffer bytes = ByteBuffer.wrap(message.payload());
            PeerMessageType type = PeerMessageType.ofCode(bytes.get());
            receiver.onPeerMessage(message.sender(), type, bytes.getInt());
        }
    }

    /** Returns the type of a message according to its first byte. */
    static PeerMessageType typeOf(PeerMessage message) {
        return message.payload().length == 0 ? PeerMessageType.UNKNOWN : PeerMessageType.ofCode(message.payload()[0]);
    }
}
