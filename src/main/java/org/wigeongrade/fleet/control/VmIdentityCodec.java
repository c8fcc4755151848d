package org.wigeongrade.fleet.control;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Optional;
import org.wigeongrade.decisions.discovery.IdentityResponse;
import org.wigeongrade.fleet.net.OneShotHttpClient;
import org.wigeongrade.ids.VmIncarnation;

/**
 * Encodes the question whether a VM is at an address as HTTP. The question changes nothing at the VM. Implementations are
 * stateless and safe for use from any thread.
 */
public interface VmIdentityCodec {
    /**
     * The question whether a VM is at an address.
     *
     * @param healthPath path of the health check to ask for the name; empty to ask an engine for its start
     */
    record Question(VmIncarnation vm, String address, Optional<String> healthPath) {}

    /** Returns the request that carries the question. */
    FullHttpRequest encode(Question question);

    /** Returns what the response shows. */
    IdentityResponse decode(Question question, OneShotHttpClient.Response response);
}
