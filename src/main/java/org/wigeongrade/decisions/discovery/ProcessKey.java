package org.wigeongrade.decisions.discovery;

import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmIncarnation;

/**
 * What the process of a VM keeps from its start to its end. Immutable; safe for use from any thread.
 *
 * @param address IP address and port at which the VM receives requests and orders
 */
public record ProcessKey(VmIncarnation vm, ServiceName service, String address) {
    /** Returns the process that the heartbeat states. */
    public static ProcessKey of(VmHeartbeat heartbeat) {
        return new ProcessKey(heartbeat.vm(), heartbeat.service(), heartbeat.address());
    }
}
