package org.wigeongrade.fleet.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;

/**
 * Copies the pieces of a body into buffers of a fixed size, so that a body in many small pieces takes about as much
 * memory as in one piece: each piece would otherwise keep the buffer that it was read into. Used on the event loop only.
 */
final class BodyPieceMerger extends ChannelInboundHandlerAdapter {
    private static final int INITIAL_BYTES = 256;
    private static final int MERGED_BYTES = 8 * 1024;

    private Optional<ByteBuf> merged = Optional.empty();

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (!(message instanceof HttpContent content)
                || message instanceof HttpMessage
                || content.decoderResult().isFailure()) {
            super.channelRead(context, message);
            return;
        }
        while (content.content().isReadable()) {
            copyFrom(content.content());
            if (!merged.orElseThrow().isWritable()) {
                forward(context);
            }
        }
        if (message instanceof LastHttpContent) {
            forward(context);
            super.channelRead(context, message);
        } else {
            content.release();
        }
    }

    private void copyFrom(ByteBuf piece) {
        final ByteBuf target = merged.orElseGet(() -> Unpooled.buffer(INITIAL_BYTES, MERGED_BYTES));
        merged = Optional.of(target);
        final int length = Math.min(piece.readableBytes(), MERGED_BYTES - target.writerIndex());
        target.writeBytes(piece, length);
        if (target.writerIndex() < MERGED_BYTES) {
            target.ensureWritable(1);
        }
    }

    private void forward(ChannelHandlerContext context) {
        merged.ifPresent(buffer -> context.fireChannelRead(new DefaultHttpContent(buffer)));
        merged = Optional.empty();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        merged.ifPresent(ByteBuf::release);
        merged = Optional.empty();
    }
}
