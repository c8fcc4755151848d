package org.wigeongrade.platform;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import org.wigeongrade.decisions.discovery.IdentityResponse;
import org.wigeongrade.fleet.control.VmIdentityCodec;
import org.wigeongrade.fleet.net.OneShotHttpClient;

/**
 * Asks engines for their report, which states their start, and other VMs for their health, which states their name. Stateless;
 * safe for use from any thread.
 */
public final class PlatformIdentityCodec implements VmIdentityCodec {
    private static final int MISDIRECTED = 421;

    @Override
    public FullHttpRequest encode(Question question) {
        final FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.GET, question.healthPath().orElse(EngineReport.PATH));
        request.headers()
                .set(HttpHeaderNames.HOST, question.address())
                .set(HttpHeaderNames.CONNECTION, "close")
                .set(WireHeaders.EXPECTED_VM, question.vm().vm().value());
        return request;
    }

    @Override
    public IdentityResponse decode(Question question, OneShotHttpClient.Response response) {
        if (response.status() == MISDIRECTED) {
            return IdentityResponse.OTHER_VM;
        }
        return question.healthPath().isPresent() ? decodeHealth(question, response) : decodeReport(response);
    }

    /** A VM that leaves or is unhealthy states its name, too. */
    private static IdentityResponse decodeHealth(Question question, OneShotHttpClient.Response response) {
        final String name = response.headers().get(WireHeaders.VM, "");
        if (name.isEmpty()) {
            return IdentityResponse.NONE;
        }
        return name.equals(question.vm().vm().value())
                ? IdentityResponse.health(isSuccess(response))
                : IdentityResponse.OTHER_VM;
    }

    private static IdentityResponse decodeReport(OneShotHttpClient.Response response) {
        if (!isSuccess(response)) {
            return IdentityResponse.NONE;
        }
        // An engine that does not state its start answers only if the request names it.
        final EngineReport report = EngineReport.parse(response.body());
        return IdentityResponse.engine(report.startMs(), report.acceptedOrders());
    }

    private static boolean isSuccess(OneShotHttpClient.Response response) {
        return HttpStatusClass.valueOf(response.status()) == HttpStatusClass.SUCCESS;
    }
}
