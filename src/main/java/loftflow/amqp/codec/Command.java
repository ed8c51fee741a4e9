package loftflow.amqp.codec;

/**
 * A completely received method, with its content if it carries one.
 *
 * @param properties null if the method carries no content
 * @param body null if the method carries no content, or if the body was skipped
 * @param bodySize size of the body in bytes as declared in the content header; 0 without content
 */
public record Command(int channel, Method method, Properties properties, byte[] body, long bodySize) {
    /** Returns the type of the method. */
    public MethodType type() {
        return method.type();
    }

    /** Returns true if the body was skipped because it exceeded the size limit or the buffer budget. */
    public boolean isSkipped() {
        return properties != null && body == null;
    }
}
