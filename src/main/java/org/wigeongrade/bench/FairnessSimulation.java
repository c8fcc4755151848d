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
import org.wigeongrade.decisions.limits.FairPart;
import org.wigeongrade.decisions.limits.OrganisationAdmission;
import org.wigeongrade.decisions.limits.ShareBound;
import org.wigeongrade.decisions.limits.ShareHolder;
import org.wigeongrade.decisions.limits.ShareKey;
import org.wigeongrade.decisions.limits.ShareLedger;
import org.wigeongrade.decisions.limits.ShareReport;
import org.wigeongrade.decisions.limits.Slot;
import org.wigeongrade.decisions.limits.Warmth;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.OrganisationName;

/** A greedy organisation beside four small ones, over entry VMs with real shares, in virtual time. Not thread-safe. */
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
    private final ShareLedger ledger = new ShareLedger(LEASE_NANOS, -2 * LONGEST_RUN_NANOS);
    private final List<Entry> entries = new ArrayList<>();
    private final List<OrganisationName> organisations = new ArrayList<>();
    private final Map<OrganisationName, Long> offered = new HashMap<>();
    private final Map<OrganisationName, Long> served = new HashMap<>();
    private double busyNanos;

    private static final class Entry {
        private final NodeName name;
        private final ShareHolder shares = new ShareHolder();
        private final OrganisationAdmission admission = new OrganisationAdmission(shares);
        private final Map<OrganisationName, Integer> inFlight = new HashMap<>();

        Entry(NodeName name) {
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
            entries.add(new Entry(NodeName.of("entry-" + i)));
        }
        ledger.setBound(ENDPOINT, ShareBound.of(SLOTS, LONGEST_RUN_NANOS), Warmth.WARM);
        for (OrganisationName organisation : organisations) {
            int limit = mechanism.inFlightLimit(SLOTS, organisation.equals(GREEDY));
            ledger.setBound(ShareKey.inFlight(organisation), ShareBound.of(limit, LONGEST_RUN_NANOS), Warmth.WARM);
        }
    }

    FairnessResult run(int virtualSeconds) {
        entries.forEach(this::reportLater);
        organisations.forEach(this::arriveLater);
        time.runUntil(TimeUnit.SECONDS.toNanos(virtualSeconds));
        long smallOffered = offered.values().stream().mapToLong(Long::longValue).sum() - offered.get(GREEDY);
        long smallServed = served.values().stream().mapToLong(Long::longValue).sum() - served.get(GREEDY);
        return new FairnessResult(
                mechanism.name().toLowerCase(Locale.ROOT),
                smallOffered,
                part((double) smallServed, (double) smallOffered),
                offered.get(GREEDY),
                part((double) served.get(GREEDY), (double) offered.get(GREEDY)),
                part(busyNanos, (double) SLOTS * time.nowNanos()));
    }

    private static double part(double some, double all) {
        return Math.round(some / all * 1_000) / 1_000.0;
    }

    private void reportLater(Entry entry) {
        time.after(1 + random.nextLong(2 * REPORT_NANOS), () -> {
            report(entry, ENDPOINT);
            organisations.forEach(organisation -> report(entry, ShareKey.inFlight(organisation)));
            reportLater(entry);
        });
    }

    private void report(Entry entry, ShareKey key) {
        long nowNanos = time.nowNanos();
        ShareReport report = entry.shares.report(key, nowNanos);
        ledger.report(entry.name, 1, report, nowNanos)
                .ifPresent(grant -> entry.shares.applyGrant(grant, grant.deadlineNanos(nowNanos)));
    }

    private void arriveLater(OrganisationName organisation) {
        double load = organisation.equals(GREEDY) ? GREEDY_LOAD : SMALL_LOAD;
        long delayNanos = (long) (-Math.log(1 - random.nextDouble()) * MEAN_RUN_NANOS / (load * SLOTS));
        time.after(delayNanos, () -> {
            offered.merge(organisation, 1L, Long::sum);
            arrive(entries.get(random.nextInt(entries.size())), organisation);
            arriveLater(organisation);
        });
    }

    private void arrive(Entry entry, OrganisationName organisation) {
        long nowNanos = time.nowNanos();
        if (mechanism.hasFairPart() && isOverFairPart(entry, organisation, nowNanos)) {
            return;
        }
        AdmissionRequest request = new AdmissionRequest(organisation, mechanism.hasLimits() ? 1 : 0, 0, 0, 0);
        AdmissionDecision decision = entry.admission.admit(request, nowNanos);
        if (!(decision instanceof AdmissionDecision.Admitted admitted)) {
            return;
        }
        Optional<Slot> slot = entry.shares.tryAcquire(ENDPOINT, nowNanos);
        if (slot.isEmpty()) {
            entry.admission.finish(admitted, 0);
            return;
        }
        serve(entry, organisation, admitted, slot.get());
    }

    private static boolean isOverFairPart(Entry entry, OrganisationName organisation, long nowNanos) {
        return FairPart.isExceeded(
                entry.inFlight.getOrDefault(organisation, 0),
                SMALL_ORGANISATIONS + 1,
                entry.shares.inUse(ENDPOINT),
                entry.shares.grantedSlots(ENDPOINT, nowNanos));
    }

    private void serve(Entry entry, OrganisationName organisation, AdmissionDecision.Admitted admitted, Slot slot) {
        served.merge(organisation, 1L, Long::sum);
        entry.inFlight.merge(organisation, 1, Integer::sum);
        long runNanos = (long) (-Math.log(1 - random.nextDouble()) * MEAN_RUN_NANOS);
        busyNanos += runNanos;
        time.after(runNanos, () -> {
            entry.shares.release(slot);
            entry.admission.finish(admitted, 0);
            entry.inFlight.merge(organisation, -1, Integer::sum);
        });
    }
}
