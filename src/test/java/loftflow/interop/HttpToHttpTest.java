package loftflow.interop;

import java.io.IOException;
import java.nio.file.Path;

class HttpToHttpTest extends InteropTestBase {
    @Override
    InboundSide front(Path state) {
        return new InboundSide.Http(state);
    }

    @Override
    OutboundSide partner() throws IOException {
        return new OutboundSide.Http();
    }
}
