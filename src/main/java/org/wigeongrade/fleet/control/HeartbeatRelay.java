package org.wigeongrade.fleet.control;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wigeongrade.ids.VmName;

/**
 * Notifies each exchange with another control VM of the endpoint VMs whose heartbeats arrived at this node.
 *
 * <p>Invariant: every exchange that exists when a heartbeat arrives is notified of it. Thread safe; listeners take no
 * other lock.
 */
final class HeartbeatRelay {
    private volatile ImmutableSet<Consumer<VmName>> listeners = ImmutableSet.of();

    synchronized void addListener(Consumer<VmName> listener) {
        listeners = ImmutableSet.<Consumer<VmName>>builder()
                .addAll(listeners)
                .add(listener)
                .build();
    }

    void notifyListeners(VmName vm) {
        listeners.forEach(listener -> listener.accept(vm));
    }

    /** The VMs whose heartbeats one exchange has yet to send. Thread safe. */
    static final class PendingVms {
        private final BlockingQueue<VmName> vms = new LinkedBlockingQueue<>();

        void add(VmName vm) {
            vms.add(vm);
        }

        /** Waits up to {@code waitMs} for a VM, then removes and returns all pending ones; empty on timeout. */
        ImmutableSet<VmName> awaitAndDrain(long waitMs) throws InterruptedException {
            final VmName first = vms.poll(waitMs, TimeUnit.MILLISECONDS);
            return first == null
                    ? ImmutableSet.of()
                    : ImmutableSet.<VmName>builder().add(first).addAll(drain()).build();
        }

        /** Removes and returns all pending VMs without waiting. */
        ImmutableSet<VmName> drain() {
            final List<VmName> drained = new ArrayList<>();
            vms.drainTo(drained);
            return ImmutableSet.copyOf(drained);
        }
    }
}
