package org.wigeongrade.fleet.control;

import io.netty.handler.codec.http.FullHttpRequest;
import org.wigeongrade.decisions.grouping.GroupOrder;
import org.wigeongrade.decisions.grouping.OrderResponse;
import org.wigeongrade.fleet.net.OneShotHttpClient;

/** Encodes orders to endpoint VMs as HTTP. Implementations are stateless and safe for use from any thread. */
public interface OrderCodec {
    /** Returns the request that carries the order. */
    FullHttpRequest encode(GroupOrder order);

    /** Returns the outcome of the order that the response reports. */
    OrderResponse decode(GroupOrder order, OneShotHttpClient.Response response);
}
