package org.wigeongrade.fleet.entry;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.Optional;
import org.wigeongrade.fleet.net.NettyFutures;

/**
 * Decodes the responses on one connection to an endpoint. Used on the event loop only.
 *
 * <p>Invariant: no byte that arrived while no response was awaited is part of a decoded response; such a byte closes
 * the connection. At most {@link #MAX_UNDECODED_BYTES} in a row are read without being part of a decoded response.
 */
final class EndpointResponseDecoder extends HttpResponseDecoder {
    /** Bytes between decoded parts of a response; beyond the limits of a head and of a chunk's size. */
    private static final long MAX_UNDECODED_BYTES = 64 * 1024;

    private Optional<HttpMethod> awaitedMethod = Optional.empty();
    private boolean closed;
    private long undecodedBytes;

    /** Starts to decode; {@code method} is that of the request, since a response to HEAD has no body. */
    void start(HttpMethod method) {
        awaitedMethod = Optional.of(method);
    }

    /** Stops decoding; returns whether no bytes are left, so that the connection may be reused. */
    boolean stop() {
        awaitedMethod = Optional.empty();
        return actualReadableBytes() == 0;
    }

    /** Returns whether the endpoint has closed the connection, so that this is what ends a response without a length. */
    boolean isClosed() {
        return closed;
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf bytes, List<Object> decoded) throws Exception {
        closed = true;
        super.decodeLast(context, bytes, decoded);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> decoded) throws Exception {
        final int readableBytes = bytes.readableBytes();
        final int decodedParts = decoded.size();
        super.decode(context, bytes, decoded);
        undecodedBytes = decoded.size() > decodedParts ? 0 : undecodedBytes + readableBytes - bytes.readableBytes();
        if (undecodedBytes > MAX_UNDECODED_BYTES) {
            throw new TooLongFrameException(undecodedBytes + " bytes in a row are not part of a response");
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (awaitedMethod.isEmpty()) {
            ReferenceCountUtil.release(message);
            NettyFutures.logFailure(context.close());
            return;
        }
        super.channelRead(context, message);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        final boolean isFinal = message instanceof HttpResponse response
                && response.status().codeClass() != HttpStatusClass.INFORMATIONAL;
        final boolean answersHead =
                awaitedMethod.filter(HttpMethod.HEAD::equals).isPresent();
        return (isFinal && answersHead) || super.isContentAlwaysEmpty(message);
    }
}
