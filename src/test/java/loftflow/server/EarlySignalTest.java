package loftflow.server;

import static loftflow.server.RelayProcess.await;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import loftflow.config.Config;
import org.junit.jupiter.api.Test;

/** Tests a SIGHUP that arrives before the relay can apply a new configuration. */
class EarlySignalTest {
    @Test
    void incompleteFileIsRetriedAfterASignalBeforeTheStart() {
        AtomicInteger reads = new AtomicInteger();
        ConfigReloader reloader = ConfigReloader.installSighupHandler(new Config.Source() {
            @Override
            public Config read() throws Config.BadConfigException {
                reads.incrementAndGet();
                throw new Config.BadConfigException("the file is incomplete");
            }

            @Override
            public byte[] bytes() {
                return new byte[] {2};
            }
        });
        reloader.onSignal();
        reloader.start(
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
                newConfig -> {});
        await(() -> reads.get() > 2);
    }
}
