package loftflow.interop;

import java.io.IOException;
import java.nio.file.Path;

class Http2ToAmqpTest extends InteropTestBase {
    @Override
    InboundSide front(Path state) {
        return new InboundSide.Http2(state);
    }

    @Override
    OutboundSide partner() throws IOException {
        return new OutboundSide.Amqp();
    }
}
