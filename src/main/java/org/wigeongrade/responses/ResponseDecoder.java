package org.wigeongrade.responses;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.wigeongrade.fleet.net.NettyFutures;
import org.wigeongrade.fleet.net.WriteFailureHandler;
import org.wigeongrade.metrics.ResponseFault;

/**
 * Decodes the responses on one connection, for every client of this system. Used on one event loop only.
 *
 * <p>Invariants: only bytes that {@link ResponseGrammar} accepts are decoded; the first byte that it rejects ends the
 * response with an {@link InvalidResponseException}, and nothing is decoded after it. Each message that is passed on was
 * decoded without failure. No byte that arrived while no response was awaited is part of a decoded response; such a byte
 * closes the connection. At most {@link #MAX_UNDECODED_BYTES} in a row are read without being part of a decoded
 * response.
 */
public final class ResponseDecoder extends HttpResponseDecoder {
    /** Bytes between decoded parts of a response; beyond the limits of a head and of a chunk's size. */
    private static final long MAX_UNDECODED_BYTES = 64 * 1024;

    private final ResponseGrammar grammar = new ResponseGrammar();
    private final Consumer<ResponseFault> faultCounter;
    private Optional<HttpMethod> awaitedMethod = Optional.empty();
    private boolean closed;
    private boolean failed;
    /** Bytes that the grammar has accepted and that are not decoded yet. */
    private int acceptedBytes;

    private long undecodedBytes;

    /** @param faultCounter counts the rule that an invalid response breaks */
    public ResponseDecoder(Consumer<ResponseFault> faultCounter) {
        this.faultCounter = faultCounter;
    }

    /** Adds handlers that write requests, and those that tell {@code reader} of each response and each failed write. */
    public void addTo(ChannelPipeline pipeline, ChannelHandler reader) {
        pipeline.addLast(new WriteFailureHandler())
                .addLast(this)
                .addLast(new HttpRequestEncoder())
                .addLast(new WriteFailureHandler())
                .addLast(reader);
    }

    /** Starts to decode; {@code method} is that of the request, since a response to HEAD has no body. */
    public void start(HttpMethod method) {
        awaitedMethod = Optional.of(method);
        grammar.start(method.equals(HttpMethod.HEAD));
    }

    /** Stops decoding; returns whether no bytes are left, so that the connection may be reused. */
    public boolean stop() {
        awaitedMethod = Optional.empty();
        return actualReadableBytes() == 0;
    }

    /** Returns whether the sender has closed the connection, so that this is what ends a response without a length. */
    public boolean isClosed() {
        return closed;
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf bytes, List<Object> decoded) throws Exception {
        closed = true;
        if (failed) {
            return;
        }
        final int decodedParts = decoded.size();
        super.decodeLast(context, bytes, decoded);
        rejectInvalid(decoded, decodedParts);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> decoded) throws Exception {
        if (failed) {
            bytes.skipBytes(bytes.readableBytes());
            return;
        }
        final int readableBytes = bytes.readableBytes();
        final int decodedParts = decoded.size();
        acceptMore(bytes);
        final int acceptedBefore = acceptedBytes;
        decodeAccepted(context, bytes, decoded);
        rejectInvalid(decoded, decodedParts);
        if (decoded.size() == decodedParts && acceptedBytes == acceptedBefore) {
            throwIfRejected();
        }
        undecodedBytes = decoded.size() > decodedParts ? 0 : undecodedBytes + readableBytes - bytes.readableBytes();
        if (undecodedBytes > MAX_UNDECODED_BYTES) {
            failed = true;
            throw new TooLongFrameException(undecodedBytes + " bytes in a row are not part of a response");
        }
    }

    /** Whether the next response is awaited is known only once this one is decoded, so that its bytes wait until then. */
    private void acceptMore(ByteBuf bytes) {
        if (acceptedBytes > 0 && grammar.isComplete()) {
            return;
        }
        acceptedBytes =
                grammar.accept(bytes, bytes.readerIndex() + acceptedBytes, bytes.writerIndex()) - bytes.readerIndex();
    }

    /** Called once nothing more is decoded, since what precedes a rejected byte may hold events of a stream. */
    private void throwIfRejected() {
        if (grammar.rejection().isPresent()) {
            failed = true;
            faultCounter.accept(grammar.rejection().get().fault());
            throw grammar.rejection().get();
        }
    }

    private void decodeAccepted(ChannelHandlerContext context, ByteBuf bytes, List<Object> decoded) throws Exception {
        if (acceptedBytes == bytes.readableBytes()) {
            super.decode(context, bytes, decoded);
            acceptedBytes = bytes.readableBytes();
            return;
        }
        final ByteBuf accepted = bytes.slice(bytes.readerIndex(), acceptedBytes);
        super.decode(context, accepted, decoded);
        bytes.skipBytes(acceptedBytes - accepted.readableBytes());
        acceptedBytes = accepted.readableBytes();
    }

    private void rejectInvalid(List<Object> decoded, int from) {
        for (int i = from; i < decoded.size(); i++) {
            if (decoded.get(i) instanceof HttpObject part
                    && part.decoderResult().isFailure()) {
                failed = true;
                final Throwable cause = part.decoderResult().cause();
                decoded.subList(i, decoded.size()).clear();
                throw new DecoderException("the response cannot be decoded: " + cause, cause);
            }
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
        return grammar.isBodyless();
    }
}
