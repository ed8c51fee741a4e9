package loftflow.listener.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.Queue;
import org.junit.jupiter.api.Test;

class ReadShareTest {
    private static final int MAX_BYTES_PER_READ = 8 << 10;

    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private final ReadShare share = new ReadShare(tasks::add, MAX_BYTES_PER_READ);

    private void pass(int reads) {
        for (int i = 0; i < reads; i++) {
            share.onRead();
        }
        assertEquals(1, tasks.size(), "one task a pass");
        tasks.poll().run();
    }

    @Test
    void fewConnectionsAreReadInLargeParts() {
        assertEquals(MAX_BYTES_PER_READ, share.bytesPerRead());
        pass(16);
        assertEquals(MAX_BYTES_PER_READ, share.bytesPerRead());
    }

    /** Guards against passes that grow with the number of clients which send without a pause. */
    @Test
    void manyConnectionsShareAPass() {
        pass(64);
        assertEquals(2 << 10, share.bytesPerRead());
        pass(5000);
        assertEquals(512, share.bytesPerRead());
        pass(1);
        assertEquals(MAX_BYTES_PER_READ, share.bytesPerRead());
    }
}
