package loftflow.interop;

import java.io.IOException;
import java.nio.file.Path;

class QueueToAmqpTest extends InteropTestBase {
    @Override
    InboundSide front(Path state) throws IOException {
        return new InboundSide.Queue();
    }

    @Override
    OutboundSide partner() throws IOException {
        return new OutboundSide.Amqp();
    }
}
