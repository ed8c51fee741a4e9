package pipitstage.pairs;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;

/**
 * NIO that closes every channel when its loop ends. Guards against Netty 4.2's shutdown with no quiet span, which may end a
 * loop without: two in three listeners stayed open, and a campaign of kills ran out of descriptors.
 */
record ClosingHandler(IoHandler nio) implements IoHandler {
    static IoHandlerFactory factory() {
        IoHandlerFactory nio = NioIoHandler.newFactory();
        return executor -> new ClosingHandler(nio.newHandler(executor));
    }

    @Override
    public void initialize() {
        nio.initialize();
    }

    @Override
    public int run(IoHandlerContext context) {
        return nio.run(context);
    }

    @Override
    public void prepareToDestroy() {
        nio.prepareToDestroy();
    }

    @Override
    public void destroy() {
        nio.prepareToDestroy();
        nio.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return nio.register(handle);
    }

    @Override
    public void wakeup() {
        nio.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
        return nio.isCompatible(handleType);
    }
}
