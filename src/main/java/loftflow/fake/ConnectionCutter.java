package loftflow.fake;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes a connection after a number of bytes in either direction, also in the middle of a frame. The number 0 sets no
 * limit.
 */
final class ConnectionCutter extends ChannelDuplexHandler {
    private long readableLeft;
    private long writableLeft;

    ConnectionCutter(int afterRead, int afterWritten) {
        readableLeft = afterRead == 0 ? Long.MAX_VALUE : afterRead;
        writableLeft = afterWritten == 0 ? Long.MAX_VALUE : afterWritten;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        int byteCount = bytes.readableBytes();
        if (byteCount < readableLeft) {
            readableLeft -= byteCount;
            ctx.fireChannelRead(bytes);
        } else if (readableLeft > 0) {
            bytes.writerIndex(bytes.readerIndex() + (int) readableLeft);
            readableLeft = 0;
            ctx.fireChannelRead(bytes);
            ctx.close();
        } else {
            bytes.release();
        }
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        ByteBuf bytes = (ByteBuf) message;
        int byteCount = bytes.readableBytes();
        if (byteCount < writableLeft) {
            writableLeft -= byteCount;
            ctx.write(bytes, promise);
        } else if (writableLeft > 0) {
            bytes.writerIndex(bytes.readerIndex() + (int) writableLeft);
            writableLeft = 0;
            ctx.writeAndFlush(bytes, promise).addListener(ChannelFutureListener.CLOSE);
        } else {
            ReferenceCountUtil.release(bytes);
            promise.tryFailure(new java.io.IOException("the fake broker cut the connection"));
        }
    }
}
