package loftflow.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.util.UncheckedBooleanSupplier;
import java.util.function.IntSupplier;

/**
 * Receives into heap buffers, so that bytes which wait to be decoded are held in the heap and not in direct memory,
 * whose limit is another one. The size of a read is that of another allocator, within a limit that may change from read
 * to read.
 */
public final class HeapReceiveAllocator implements RecvByteBufAllocator {
    private final IntSupplier maxBytesPerRead;
    private final LimitedHandle handle;

    /**
     * Creates an allocator for one connection.
     *
     * @param sizes determines the sizes of reads
     * @param maxBytesPerRead returns the largest size of the next read
     */
    public HeapReceiveAllocator(RecvByteBufAllocator sizes, IntSupplier maxBytesPerRead) {
        this.maxBytesPerRead = maxBytesPerRead;
        // Created here, as its class can't be loaded while the process has no file descriptor left.
        handle = new LimitedHandle((ExtendedHandle) sizes.newHandle());
    }

    @Override
    public ExtendedHandle newHandle() {
        return handle;
    }

    private final class LimitedHandle implements ExtendedHandle {
        private final ExtendedHandle delegate;

        LimitedHandle(ExtendedHandle delegate) {
            this.delegate = delegate;
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return allocator.heapBuffer(guess());
        }

        @Override
        public int guess() {
            return Math.min(delegate.guess(), maxBytesPerRead.getAsInt());
        }

        @Override
        public void reset(ChannelConfig config) {
            delegate.reset(config);
        }

        @Override
        public void incMessagesRead(int count) {
            delegate.incMessagesRead(count);
        }

        @Override
        public void lastBytesRead(int bytes) {
            delegate.lastBytesRead(bytes);
        }

        @Override
        public int lastBytesRead() {
            return delegate.lastBytesRead();
        }

        @Override
        public void attemptedBytesRead(int bytes) {
            delegate.attemptedBytesRead(bytes);
        }

        @Override
        public int attemptedBytesRead() {
            return delegate.attemptedBytesRead();
        }

        @Override
        public boolean continueReading() {
            return delegate.continueReading();
        }

        @Override
        public boolean continueReading(UncheckedBooleanSupplier mayHaveMore) {
            return delegate.continueReading(mayHaveMore);
        }

        @Override
        public void readComplete() {
            delegate.readComplete();
        }
    }
}
