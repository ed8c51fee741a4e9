package pipitstage.pairs;

import java.io.IOException;
import java.nio.file.Path;

class QueueToAmqpTest extends PairTestBase {
    @Override
    FrontSide front(Path state) throws IOException {
        return new FrontSide.Queue();
    }

    @Override
    PartnerSide partner() throws IOException {
        return new PartnerSide.Amqp();
    }
}
