package pipitstage.pairs;

import java.io.IOException;
import java.nio.file.Path;

class HttpToAmqpTest extends PairTestBase {
    @Override
    FrontSide front(Path state) {
        return new FrontSide.Http(state);
    }

    @Override
    PartnerSide partner() throws IOException {
        return new PartnerSide.Amqp();
    }
}
