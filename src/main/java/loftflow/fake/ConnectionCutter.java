package loftflow.fake;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;

/** Ends a connection after so many bytes in a direction, wherever in a frame that is; 0 for never. */
final class ConnectionCutter extends ChannelDuplexHandler {
    private long readLeft;
    private long writtenLeft;

    ConnectionCutter(int afterRead, int afterWritten) {
        readLeft = afterRead == 0 ? Long.MAX_VALUE : afterRead;
        writtenLeft = afterWritten == 0 ? Long.MAX_VALUE : afterWritten;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        int there = bytes.readableBytes();
        if (there < readLeft) {
            readLeft -= there;
            ctx.fireChannelRead(bytes);
        } else if (readLeft > 0) {
            bytes.writerIndex(bytes.readerIndex() + (int) readLeft);
            readLeft = 0;
            ctx.fireChannelRead(bytes);
            ctx.close();
        } else {
            bytes.release();
        }
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        ByteBuf bytes = (ByteBuf) message;
        int there = bytes.readableBytes();
        if (there < writtenLeft) {
            writtenLeft -= there;
            ctx.write(bytes, promise);
        } else if (writtenLeft > 0) {
            bytes.writerIndex(bytes.readerIndex() + (int) writtenLeft);
            writtenLeft = 0;
            ctx.writeAndFlush(bytes, promise).addListener(ChannelFutureListener.CLOSE);
        } else {
            ReferenceCountUtil.release(bytes);
            promise.tryFailure(new java.io.IOException("cut"));
        }
    }
}
