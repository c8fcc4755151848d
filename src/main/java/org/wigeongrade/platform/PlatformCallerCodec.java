package org.wigeongrade.platform;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.Doubles;
import com.google.common.primitives.Ints;
import com.google.common.primitives.Longs;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.wigeongrade.decisions.log.Bytes;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.fleet.entry.CallerCodec;
import org.wigeongrade.fleet.entry.CallerRequest;
import org.wigeongrade.fleet.entry.ForwardingMetadata;
import org.wigeongrade.fleet.entry.ResponseHead;
import org.wigeongrade.fleet.net.HttpReply;
import org.wigeongrade.fleet.net.RetryAfterHeader;
import org.wigeongrade.ids.PromptPartId;
import org.wigeongrade.ids.VmName;

/** Encodes and decodes the platform's messages with callers and endpoints. Stateless; safe for use from any thread. */
public final class PlatformCallerCodec implements CallerCodec {
    private static final String READINESS_PATH = "/-/readyz";
    private static final int MS_PER_S = 1_000;
    private static final String LEAVING_VALUE = "1";
    /** Maximum number of parts of a prompt that are decoded; prompts have a few. */
    private static final int MAX_PROMPT_PARTS = 32;
    /** Idle timeout if the response states none: such endpoints close idle connections in less than a second. */
    private static final long DEFAULT_IDLE_MS = 250;
    /** Subtracted from a stated idle timeout, so that no request is sent while the endpoint closes the connection. */
    private static final long IDLE_MARGIN_MS = 500;

    /** Hop-by-hop headers, and the framing headers that each connection sets for itself. */
    private static final ImmutableSet<String> HOP_BY_HOP_HEADERS = ImmutableSet.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length");

    private static final ImmutableSet<String> SYSTEM_HEADERS = ImmutableSet.of(
            WireHeaders.API_KEY, WireHeaders.ORGANISATION, WireHeaders.EXPECTED_VM, WireHeaders.DEADLINE_MS);

    @Override
    public boolean isReadinessCheck(String method, String path) {
        return method.equals("GET") && path.equals(READINESS_PATH);
    }

    @Override
    public CallerRequest decode(FullHttpRequest request) {
        final HttpHeaders headers = request.headers();
        if (request.decoderResult().isFailure()) {
            throw new WigeongradeException(
                    ErrorKind.MALFORMED_REQUEST,
                    "the request cannot be parsed: " + request.decoderResult().cause());
        }
        final int query = request.uri().indexOf('?');
        final byte[] body = new byte[request.content().readableBytes()];
        request.content().getBytes(request.content().readerIndex(), body);
        return new CallerRequest(
                text(headers, WireHeaders.ATTEMPT_ID),
                request.method().name(),
                hostname(headers),
                request.uri(),
                query < 0 ? request.uri() : request.uri().substring(0, query),
                number(headers, WireHeaders.DEADLINE_MS),
                text(headers, WireHeaders.API_KEY),
                text(headers, WireHeaders.MODEL),
                promptTokens(headers),
                sharedPromptParts(headers),
                number(headers, WireHeaders.LAST_EVENT_ID),
                endToEndHeaders(headers, SYSTEM_HEADERS),
                Bytes.wrap(body));
    }

    @Override
    public FullHttpRequest encode(CallerRequest request, ForwardingMetadata metadata, String address) {
        final FullHttpRequest message = copy(request, metadata.remainingMs(), metadata.resumeAfter());
        message.headers().set(WireHeaders.EXPECTED_VM, metadata.vm().value());
        metadata.urgency().ifPresent(urgency -> message.headers().set(WireHeaders.URGENCY, urgency));
        metadata.organisation()
                .ifPresent(organisation -> message.headers().set(WireHeaders.ORGANISATION, organisation.value()));
        return message;
    }

    @Override
    public FullHttpRequest encodeForEntryNode(CallerRequest request, long remainingMs, OptionalLong resumeAfter) {
        final FullHttpRequest message = copy(request, remainingMs, resumeAfter);
        message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        request.apiKey().ifPresent(key -> message.headers().set(WireHeaders.API_KEY, key));
        return message;
    }

    /** Returns the request without the headers that depend on who gets it. */
    private static FullHttpRequest copy(CallerRequest request, long remainingMs, OptionalLong resumeAfter) {
        final ByteBuf body = Unpooled.wrappedBuffer(request.body().array());
        final FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()), request.target(), body);
        message.headers().set(request.headers()).set(WireHeaders.DEADLINE_MS, remainingMs);
        resumeAfter.ifPresent(eventId -> message.headers().set(WireHeaders.LAST_EVENT_ID, eventId));
        if (request.body().sizeBytes() > 0 || request.method().equals("POST")) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().sizeBytes());
        }
        return message;
    }

    @Override
    public ResponseHead decode(HttpResponse response) {
        final HttpHeaders headers = response.headers();
        final int status = response.status().code();
        return new ResponseHead(
                status,
                text(headers, WireHeaders.ATTEMPT_ID),
                headers.contains(WireHeaders.NOT_RUN) || status == PlatformStatus.MISDIRECTED,
                headers.contains(WireHeaders.SIGNATURE),
                headers.contains(HttpHeaderNames.CONTENT_ENCODING),
                HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response),
                faultyVm(headers),
                text(headers, WireHeaders.LEAVING).filter(LEAVING_VALUE::equals).isPresent(),
                pauseMs(response),
                requestsPerSecond(headers),
                reusableForMs(response),
                endToEndHeaders(headers, ImmutableSet.of()));
    }

    @Override
    public HttpReply error(CallerRequest request, ErrorKind kind, String message, long retryAfterMs) {
        HttpReply reply = HttpReply.text(kind.httpStatus(), kind.code() + ": " + message + "\n");
        if (request.attemptId().isPresent()) {
            reply = reply.withHeader(WireHeaders.ATTEMPT_ID, request.attemptId().get());
        }
        return retryAfterMs > 0 ? reply.withHeader("retry-after", RetryAfterHeader.format(retryAfterMs)) : reply;
    }

    /** Statuses that have a fixed meaning on the platform, whatever else the response contains. */
    private static final class PlatformStatus {
        static final int MISDIRECTED = 421;
    }

    private static String hostname(HttpHeaders headers) {
        final String host = headers.get(HttpHeaderNames.HOST, "");
        final int port = host.lastIndexOf(':');
        return (port < 0 ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
    }

    private static Optional<String> text(HttpHeaders headers, String name) {
        return Optional.ofNullable(headers.get(name)).map(String::strip).filter(value -> !value.isEmpty());
    }

    private static OptionalLong number(HttpHeaders headers, String name) {
        final Long value = text(headers, name).map(Longs::tryParse).orElse(null);
        return value == null || value < 0 ? OptionalLong.empty() : OptionalLong.of(value);
    }

    private static int promptTokens(HttpHeaders headers) {
        final List<String> counts = Splitter.on(',').trimResults().splitToList(headers.get(WireHeaders.TOKENS, ""));
        final Integer tokens = Ints.tryParse(counts.get(0));
        return tokens == null ? 0 : Math.max(0, tokens);
    }

    /** Returns the parts without their sizes, except the last one, which belongs to the request itself. */
    private static ImmutableSet<PromptPartId> sharedPromptParts(HttpHeaders headers) {
        final List<String> parts = Splitter.on(',')
                .trimResults()
                .omitEmptyStrings()
                .limit(MAX_PROMPT_PARTS + 1)
                .splitToList(headers.get(WireHeaders.PROMPT_PARTS, ""));
        return parts.stream()
                .limit(Math.max(0, parts.size() - 1))
                .map(part -> part.substring(0, part.indexOf(':') < 0 ? part.length() : part.indexOf(':')))
                .flatMap(id -> promptPart(id).stream())
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns the part with this id; a malformed id identifies nothing, and its header is forwarded unchanged. */
    private static Optional<PromptPartId> promptPart(String id) {
        try {
            return Optional.of(PromptPartId.of(id.toLowerCase(Locale.ROOT)));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static Optional<VmName> faultyVm(HttpHeaders headers) {
        try {
            return text(headers, WireHeaders.FAULTY_VM).map(VmName::of);
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Returns for how long an endpoint that is overloaded wants no requests from the node that it answered. */
    private static OptionalLong pauseMs(HttpResponse response) {
        return response.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                ? RetryAfterHeader.parseMs(response.headers(), System.currentTimeMillis())
                : OptionalLong.empty();
    }

    private static OptionalDouble requestsPerSecond(HttpHeaders headers) {
        final Double limit = text(headers, WireHeaders.REQUESTS_PER_SECOND)
                .map(Doubles::tryParse)
                .orElse(null);
        return limit == null || !Double.isFinite(limit) || limit < 0
                ? OptionalDouble.empty()
                : OptionalDouble.of(limit);
    }

    private static OptionalLong reusableForMs(HttpResponse response) {
        if (!HttpUtil.isKeepAlive(response)) {
            return OptionalLong.empty();
        }
        final Optional<Integer> idleTimeoutS = text(response.headers(), "keep-alive")
                .flatMap(value -> Splitter.on(',').trimResults().splitToList(value).stream()
                        .filter(parameter -> parameter.startsWith("timeout="))
                        .findFirst())
                .map(parameter -> Ints.tryParse(parameter.substring("timeout=".length())));
        final long idleMs =
                idleTimeoutS.map(seconds -> seconds * MS_PER_S - IDLE_MARGIN_MS).orElse(DEFAULT_IDLE_MS);
        return idleMs > 0 ? OptionalLong.of(idleMs) : OptionalLong.empty();
    }

    private static HttpHeaders endToEndHeaders(HttpHeaders headers, Set<String> excluded) {
        final Set<String> dropped = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        headers.getAll(HttpHeaderNames.CONNECTION)
                .forEach(value -> dropped.addAll(Splitter.on(',').trimResults().splitToList(value)));
        dropped.addAll(HOP_BY_HOP_HEADERS);
        dropped.addAll(excluded);
        final HttpHeaders kept = new DefaultHttpHeaders(false);
        for (final Map.Entry<String, String> header : headers) {
            if (!dropped.contains(header.getKey())) {
                kept.add(header.getKey(), header.getValue());
            }
        }
        return kept;
    }
}
