package loftflow.amqp.codec;

/**
 * A method that has come whole, with its content where it carries one.
 *
 * @param properties null where no content belongs to the method
 * @param body null where no content belongs to it, and where the content is larger than may be held
 * @param size bytes of the body as its header told them; 0 where there is none
 */
public record Command(int channel, Method method, Properties properties, byte[] body, long size) {
    public MethodType op() {
        return method.op();
    }

    /** True where the content was skipped, as there was no room for it. */
    public boolean isSkipped() {
        return properties != null && body == null;
    }
}
