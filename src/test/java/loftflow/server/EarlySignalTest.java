package loftflow.server;

import static loftflow.server.RelayProcess.await;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import loftflow.config.Config;
import org.junit.jupiter.api.Test;

/** A signal between the start of service and the moment from which a new configuration can be taken. */
class EarlySignalTest {
    @Test
    void fileThatIsHalfWrittenAtASignalAheadOfTheStartIsReadAgain() {
        AtomicInteger reads = new AtomicInteger();
        ConfigReloader reload = ConfigReloader.onHangUp(new Config.Source() {
            @Override
            public Config read() throws Config.BadConfigException {
                reads.incrementAndGet();
                throw new Config.BadConfigException("it is half written");
            }

            @Override
            public byte[] bytes() {
                return new byte[] {2};
            }
        });
        reload.hungUp();
        reload.start(
                new Config(
                        List.of(),
                        null,
                        null,
                        null,
                        1,
                        1,
                        1,
                        null,
                        1,
                        1,
                        false,
                        null,
                        0,
                        List.of(),
                        null,
                        null,
                        null,
                        null,
                        new byte[] {1}),
                next -> {});
        await(() -> reads.get() > 2);
    }
}
