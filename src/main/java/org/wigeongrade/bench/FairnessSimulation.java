package org.wigeongrade.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.wigeongrade.decisions.limits.AdmissionDecision;
import org.wigeongrade.decisions.limits.AdmissionRequest;
import org.wigeongrade.decisions.limits.FairShareLimit;
import org.wigeongrade.decisions.limits.HeldShares;
import org.wigeongrade.decisions.limits.OrganisationAdmission;
import org.wigeongrade.decisions.limits.ResourceLimit;
import org.wigeongrade.decisions.limits.ShareAllocator;
import org.wigeongrade.decisions.limits.ShareKey;
import org.wigeongrade.decisions.limits.ShareReport;
import org.wigeongrade.decisions.limits.Slot;
import org.wigeongrade.decisions.limits.WarmupState;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.OrganisationName;

/**
 * Simulates one greedy and four small organisations on entry VMs that use the real share mechanism, in virtual time.
 * Not thread-safe.
 */
final class FairnessSimulation {
    private static final int ENTRY_VMS = 7;
    private static final int SLOTS = 200;
    private static final int SMALL_ORGANISATIONS = 4;
    private static final double GREEDY_LOAD = 4;
    private static final double SMALL_LOAD = 0.03;
    private static final long MEAN_RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    private static final long REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long LONGEST_RUN_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final OrganisationName GREEDY = OrganisationName.of("greedy");
    private static final ShareKey ENDPOINT = ShareKey.endpointSlots(EndpointId.of("endpoint"));

    private final FairnessMechanism mechanism;
    private final RandomGenerator random;
    private final VirtualTime time = new VirtualTime();
    private final ShareAllocator allocator = new ShareAllocator(LEASE_NANOS, -2 * LONGEST_RUN_NANOS);
    private final List<EntryVm> entryVms = new ArrayList<>();
    private final List<OrganisationName> organisations = new ArrayList<>();
    private final Map<OrganisationName, Long> offered = new HashMap<>();
    private final Map<OrganisationName, Long> served = new HashMap<>();
    private double busySlotNanos;

    private static final class EntryVm {
        private final NodeName name;
        private final HeldShares shares = new HeldShares();
        private final OrganisationAdmission admission = new OrganisationAdmission(shares);
        private final Map<OrganisationName, Integer> inFlight = new HashMap<>();

        EntryVm(NodeName name) {
            this.name = name;
        }
    }

    FairnessSimulation(FairnessMechanism mechanism, long seed) {
        this.mechanism = mechanism;
        this.random = new Random(seed);
        organisations.add(GREEDY);
        for (int i = 0; i < SMALL_ORGANISATIONS; i++) {
            organisations.add(OrganisationName.of("small-" + i));
        }
        for (int i = 0; i < ENTRY_VMS; i++) {
            entryVms.add(new EntryVm(NodeName.of("entry-" + i)));
        }
        allocator.setLimit(ENDPOINT, ResourceLimit.of(SLOTS, LONGEST_RUN_NANOS), WarmupState.WARM);
        for (OrganisationName organisation : organisations) {
            int limit = mechanism.inFlightLimit(SLOTS, organisation.equals(GREEDY));
            allocator.setLimit(
                    ShareKey.inFlight(organisation), ResourceLimit.of(limit, LONGEST_RUN_NANOS), WarmupState.WARM);
        }
    }

    FairnessResult run(int virtualSeconds) {
        entryVms.forEach(this::scheduleReport);
        organisations.forEach(this::scheduleArrival);
        time.runUntil(TimeUnit.SECONDS.toNanos(virtualSeconds));
        long smallOffered = offered.values().stream().mapToLong(Long::longValue).sum() - offered.get(GREEDY);
        long smallServed = served.values().stream().mapToLong(Long::longValue).sum() - served.get(GREEDY);
        return new FairnessResult(
                mechanism.name().toLowerCase(Locale.ROOT),
                smallOffered,
                ratio((double) smallServed, (double) smallOffered),
                offered.get(GREEDY),
                ratio((double) served.get(GREEDY), (double) offered.get(GREEDY)),
                ratio(busySlotNanos, (double) SLOTS * time.nowNanos()));
    }

    private static double ratio(double numerator, double denominator) {
        return Math.round(numerator / denominator * 1_000) / 1_000.0;
    }

    private void scheduleReport(EntryVm entryVm) {
        time.after(1 + random.nextLong(2 * REPORT_NANOS), () -> {
            report(entryVm, ENDPOINT);
            organisations.forEach(organisation -> report(entryVm, ShareKey.inFlight(organisation)));
            scheduleReport(entryVm);
        });
    }

    private void report(EntryVm entryVm, ShareKey key) {
        long nowNanos = time.nowNanos();
        ShareReport report = entryVm.shares.report(key, nowNanos);
        allocator
                .applyReport(entryVm.name, 1, report, nowNanos)
                .ifPresent(grant -> entryVm.shares.applyGrant(grant, grant.deadlineNanos(nowNanos)));
    }

    private void scheduleArrival(OrganisationName organisation) {
        double load = organisation.equals(GREEDY) ? GREEDY_LOAD : SMALL_LOAD;
        long delayNanos = (long) (-Math.log(1 - random.nextDouble()) * MEAN_RUN_NANOS / (load * SLOTS));
        time.after(delayNanos, () -> {
            offered.merge(organisation, 1L, Long::sum);
            handleRequest(entryVms.get(random.nextInt(entryVms.size())), organisation);
            scheduleArrival(organisation);
        });
    }

    private void handleRequest(EntryVm entryVm, OrganisationName organisation) {
        long nowNanos = time.nowNanos();
        if (mechanism.hasFairShareLimit() && exceedsFairShare(entryVm, organisation, nowNanos)) {
            return;
        }
        AdmissionRequest request = new AdmissionRequest(organisation, mechanism.hasLimits() ? 1 : 0, 0, 0, 0);
        AdmissionDecision decision = entryVm.admission.admit(request, nowNanos);
        if (!(decision instanceof AdmissionDecision.Admitted admitted)) {
            return;
        }
        Optional<Slot> slot = entryVm.shares.tryAcquire(ENDPOINT, nowNanos);
        if (slot.isEmpty()) {
            entryVm.admission.finish(admitted, 0);
            return;
        }
        serve(entryVm, organisation, admitted, slot.get());
    }

    private static boolean exceedsFairShare(EntryVm entryVm, OrganisationName organisation, long nowNanos) {
        return FairShareLimit.isExceeded(
                entryVm.inFlight.getOrDefault(organisation, 0),
                SMALL_ORGANISATIONS + 1,
                entryVm.shares.inUse(ENDPOINT),
                entryVm.shares.grantedSlots(ENDPOINT, nowNanos));
    }

    private void serve(EntryVm entryVm, OrganisationName organisation, AdmissionDecision.Admitted admitted, Slot slot) {
        served.merge(organisation, 1L, Long::sum);
        entryVm.inFlight.merge(organisation, 1, Integer::sum);
        long runNanos = (long) (-Math.log(1 - random.nextDouble()) * MEAN_RUN_NANOS);
        busySlotNanos += runNanos;
        time.after(runNanos, () -> {
            entryVm.shares.release(slot);
            entryVm.admission.finish(admitted, 0);
            entryVm.inFlight.merge(organisation, -1, Integer::sum);
        });
    }
}
