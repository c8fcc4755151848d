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
 * Hands the VMs that were heard here to each exchange with another control VM.
 *
 * <p>Invariant: a VM is handed to every exchange that existed when it was heard. Thread safe; exchanges lock nothing else
 * inside.
 */
final class RelayQueue {
    private volatile ImmutableSet<Consumer<VmName>> takers = ImmutableSet.of();

    synchronized void addTaker(Consumer<VmName> taker) {
        takers = ImmutableSet.<Consumer<VmName>>builder()
                .addAll(takers)
                .add(taker)
                .build();
    }

    void add(VmName vm) {
        takers.forEach(taker -> taker.accept(vm));
    }

    /** The VMs that wait for one exchange. Thread safe. */
    static final class Waiting {
        private final BlockingQueue<VmName> vms = new LinkedBlockingQueue<>();

        void add(VmName vm) {
            vms.add(vm);
        }

        /** Waits until a VM is here or the time is over, then takes all. */
        ImmutableSet<VmName> take(long waitMs) throws InterruptedException {
            final VmName first = vms.poll(waitMs, TimeUnit.MILLISECONDS);
            return first == null
                    ? ImmutableSet.of()
                    : ImmutableSet.<VmName>builder()
                            .add(first)
                            .addAll(takeNow())
                            .build();
        }

        ImmutableSet<VmName> takeNow() {
            final List<VmName> taken = new ArrayList<>();
            vms.drainTo(taken);
            return ImmutableSet.copyOf(taken);
        }
    }
}
