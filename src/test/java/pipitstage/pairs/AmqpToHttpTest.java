package pipitstage.pairs;

import java.io.IOException;
import java.nio.file.Path;

class AmqpToHttpTest extends PairTestBase {
    @Override
    FrontSide front(Path state) {
        return new FrontSide.Amqp();
    }

    @Override
    PartnerSide partner() throws IOException {
        return new PartnerSide.Http();
    }
}
