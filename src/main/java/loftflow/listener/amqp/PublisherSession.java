package loftflow.listener.amqp;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HashMap;
import java.util.Map;
import loftflow.amqp.codec.AmqpException;
import loftflow.amqp.codec.Command;
import loftflow.amqp.codec.Method;
import loftflow.amqp.codec.MethodType;
import loftflow.amqp.link.AmqpServerConnection;

/**
 * The connection of one program: admits it and dispatches its methods, publishes to {@link PublishHandler} and the rest
 * to its {@link PublisherChannel}s.
 */
final class PublisherSession implements AmqpServerConnection.Listener {
    private final AmqpListener listener;
    private final AmqpListener.Context context;
    private final PublishHandler publishHandler;
    private final Map<Integer, PublisherChannel> channels = new HashMap<>();
    private AmqpServerConnection connection;
    private boolean isAdmitted;
    private int generatedNames;

    PublisherSession(AmqpListener listener, AmqpListener.Context context) {
        this.listener = listener;
        this.context = context;
        publishHandler = new PublishHandler(this, listener, context);
    }

    /** Binds the session to its connection; to be called once, before any event. */
    void attach(AmqpServerConnection newConnection) {
        connection = newConnection;
    }

    AmqpServerConnection connection() {
        return connection;
    }

    /** Returns true once the program is admitted. */
    boolean isAdmitted() {
        return isAdmitted;
    }

    boolean hasUnansweredPublishes() {
        return publishHandler.hasUnanswered();
    }

    void close(String reason) {
        connection.close(reason);
    }

    void end(int code, String text) {
        connection.closeGracefully(code, text);
    }

    /** Returns true where a channel is open; one that was opened anew under its number is another channel. */
    boolean isOpen(PublisherChannel channel) {
        return channels.get(channel.number()) == channel;
    }

    /** A number for a generated name, unique within the session. */
    int nextNameNumber() {
        return generatedNames++;
    }

    @Override
    public boolean isAuthorized(String user, String password) {
        String requiredUser = context.options().user();
        return !listener.isDraining() && (requiredUser == null || requiredUser.equals(user) && isPassword(password));
    }

    private boolean isPassword(String password) {
        return MessageDigest.isEqual(
                context.options().password().getBytes(StandardCharsets.UTF_8),
                password.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void onOpened(String virtualHost) {
        isAdmitted = true;
    }

    @Override
    public void onChannelOpened(int number) {
        channels.put(number, new PublisherChannel(this, listener, number));
    }

    /** Withdraws messages that the program gave up, and requeues completions that it did not acknowledge. */
    @Override
    public void onChannelClosed(int number) {
        PublisherChannel channel = channels.remove(number);
        publishHandler.withdraw(channel);
        channel.close();
    }

    @Override
    public void onClosed(String reason) {
        listener.onClosed(this);
    }

    @Override
    public void onCommand(Command command) throws AmqpException {
        PublisherChannel channel = channels.get(command.channel());
        Method method = command.method();
        switch (command.type()) {
            case CONFIRM_SELECT -> channel.selectConfirms(method);
            case BASIC_PUBLISH -> publishHandler.publish(channel, command);
            case EXCHANGE_DECLARE -> {
                publishHandler.checkExchange(method.text("exchange"));
                channel.answer(method, Method.of(MethodType.EXCHANGE_DECLARE_OK));
            }
            case QUEUE_DECLARE -> channel.declareQueue(method);
            case BASIC_QOS -> channel.setPrefetch((int) method.number("prefetch-count"));
            case BASIC_CONSUME -> channel.consume(method);
            case BASIC_CANCEL -> channel.cancel(method);
            case BASIC_ACK -> channel.settle(method, method.flag("multiple"), true);
            case BASIC_NACK -> channel.settle(method, method.flag("multiple"), !method.flag("requeue"));
            case BASIC_REJECT -> channel.settle(method, false, !method.flag("requeue"));
            case CHANNEL_FLOW -> channel.setFlow(method.flag("active"));
            default -> throw new AmqpException(
                    AmqpException.NOT_IMPLEMENTED, "NOT_IMPLEMENTED - a relay has no " + command.type());
        }
    }
}
