package org.wigeongrade.platform;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.fleet.entry.CallerRequest;
import org.wigeongrade.fleet.entry.ForwardingMetadata;
import org.wigeongrade.fleet.entry.ResponseHead;
import org.wigeongrade.fleet.net.HttpReply;
import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.ids.PromptPartId;
import org.wigeongrade.ids.VmName;

final class PlatformCallerCodecTest {
    private static final ForwardingMetadata METADATA = new ForwardingMetadata(
            750, VmName.of("i-1"), Optional.of(OrganisationName.of("shop")), OptionalLong.empty(), OptionalInt.of(3));
    private final PlatformCallerCodec codec = new PlatformCallerCodec();

    @Test
    void forwardsRequestWithOnlySystemHeadersChanged() {
        final CallerRequest request = codec.decode(message());
        final FullHttpRequest forwarded = codec.encode(request, METADATA, "10.0.0.1:80");

        assertThat(forwarded.method()).isEqualTo(HttpMethod.POST);
        assertThat(forwarded.uri()).isEqualTo("/chat/1?q=%20x");
        assertThat(forwarded.content().toString(StandardCharsets.UTF_8)).isEqualTo("body");
        assertThat(forwarded.headers().get("X-Attempt-Id")).isEqualTo("a1");
        assertThat(forwarded.headers().get("X-Model")).isEqualTo("m0");
        assertThat(forwarded.headers().get("X-Deadline-Ms")).isEqualTo("750");
        assertThat(forwarded.headers().getAll("X-Tenant")).containsExactly("shop");
        assertThat(forwarded.headers().getAll("X-Expect-Instance")).containsExactly("i-1");
        assertThat(forwarded.headers().contains("X-Credential")).isFalse();
        assertThat(forwarded.headers().contains("X-Secret")).isFalse();
        assertThat(forwarded.headers().contains("Transfer-Encoding")).isFalse();
        assertThat(forwarded.headers().get("Content-Length")).isEqualTo("4");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "5c1e07a2:800,91bd3f06:410,e4402b7d:250 | 5c1e07a2 91bd3f06",
                "5C1E07A2:800, 91bd3f06:410 | 5c1e07a2",
                "5c1e07a2:800 | ''",
                "5c1e07a2,!:1,e4402b7d | 5c1e07a2",
                "'' | ''",
            })
    void decodesPromptPartsThatOtherRequestsMayShare(String header, String shared) {
        final FullHttpRequest message = message();
        message.headers().set("X-Prompt-Prefix", header);

        assertThat(codec.decode(message).sharedPromptParts().stream()
                        .map(PromptPartId::value)
                        .collect(Collectors.joining(" ")))
                .isEqualTo(shared);
    }

    @ParameterizedTest
    @CsvSource({"2.7, 2.7", "36, 36", "0, 0", "-1, ", "NaN, ", "many, "})
    void decodesTheRateLimitOfAnEndpoint(String value, Double requestsPerSecond) {
        final HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set("Server-Limit", value);

        assertThat(codec.decode(response).requestsPerSecond())
                .isEqualTo(requestsPerSecond == null ? OptionalDouble.empty() : OptionalDouble.of(requestsPerSecond));
    }

    @Test
    void decodesRequestFields() {
        final CallerRequest request = codec.decode(message());

        assertThat(request.hostname()).isEqualTo("desk.example");
        assertThat(request.path()).isEqualTo("/chat/1");
        assertThat(request.timeoutMs()).isEqualTo(OptionalLong.of(8_000));
        assertThat(request.apiKey()).hasValue("key-1");
        assertThat(request.promptTokens()).isEqualTo(1_460);
    }

    @Test
    void resumedRequestCarriesLastForwardedEventId() {
        final ForwardingMetadata resumed = new ForwardingMetadata(
                750, VmName.of("i-1"), Optional.empty(), OptionalLong.of(7), OptionalInt.empty());
        final FullHttpRequest forwarded = codec.encode(codec.decode(message()), resumed, "10.0.0.1:80");

        assertThat(forwarded.headers().getAll("Last-Event-Id")).containsExactly("7");
        assertThat(forwarded.headers().contains("X-Tenant")).isFalse();
    }

    @ParameterizedTest
    @CsvSource(
            nullValues = "-",
            value = {
                // status, header, value, leaving, pause (ms)
                "200, Server-Leaving, 1, true, -",
                "500, Server-Leaving, 1, true, -",
                "200, Server-Leaving, 0, false, -",
                "503, Retry-After, 1.5, false, 1500",
                "503, Retry-After, never, false, -",
                "500, Retry-After, 3, false, -",
            })
    void decodesWhatTheEndpointAsksFor(int status, String header, String value, boolean leaving, Long pauseMs) {
        final HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        response.headers().set(header, value);
        final ResponseHead head = codec.decode(response);

        assertThat(head.leaving()).isEqualTo(leaving);
        assertThat(head.pauseMs()).isEqualTo(pauseMs == null ? OptionalLong.empty() : OptionalLong.of(pauseMs));
    }

    @ParameterizedTest
    @CsvSource({
        // status, header, value, not run, signed, encoded, reusable for (ms)
        "200, X-Server-Seal, s, false, true, false, 250",
        "503, X-Not-Executed, 1, true, false, false, 250",
        "421, X-Instance-Id, i-9, true, false, false, 250",
        "500, X-Server-Seal, s, false, true, false, 250",
        "200, Content-Encoding, gzip, false, false, true, 250",
        "200, Keep-Alive, timeout=5, false, false, false, 4500",
        "200, Connection, close, false, false, false, -1",
    })
    void decodesResponseHeads(
            int status, String header, String value, boolean notRun, boolean signed, boolean encoded, long reusableMs) {
        final HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        response.headers().set(header, value);
        final ResponseHead head = codec.decode(response);

        assertThat(head.notRun()).isEqualTo(notRun);
        assertThat(head.signed()).isEqualTo(signed);
        assertThat(head.contentEncoded()).isEqualTo(encoded);
        assertThat(head.reusableForMs().orElse(-1)).isEqualTo(reusableMs);
    }

    @Test
    void errorResponseCarriesRetryAfter() {
        final HttpReply reply = codec.error(codec.decode(message()), ErrorKind.NO_FREE_SLOT, "busy", 150);

        assertThat(reply.status()).isEqualTo(503);
        assertThat(reply.headers()).containsEntry("retry-after", "0.150");
        assertThat(reply.headers()).doesNotContainKey("x-server-seal");
    }

    private static FullHttpRequest message() {
        final FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.POST,
                "/chat/1?q=%20x",
                Unpooled.copiedBuffer("body", StandardCharsets.UTF_8));
        message.headers()
                .set("Host", "Desk.example:80")
                .set("X-Attempt-Id", "a1")
                .set("X-Model", "m0")
                .set("X-Token-Count", "1460,80")
                .set("X-Deadline-Ms", "8000")
                .set("X-Credential", "key-1")
                .set("X-Tenant", "forged")
                .set("X-Expect-Instance", "forged")
                .set("X-Secret", "s")
                .set("Connection", "keep-alive, X-Secret")
                .set("Transfer-Encoding", "chunked");
        return message;
    }
}
