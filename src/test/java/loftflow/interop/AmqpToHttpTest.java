package loftflow.interop;

import java.io.IOException;
import java.nio.file.Path;

class AmqpToHttpTest extends InteropTestBase {
    @Override
    InboundSide front(Path state) {
        return new InboundSide.Amqp();
    }

    @Override
    OutboundSide partner() throws IOException {
        return new OutboundSide.Http();
    }
}
