package org.wigeongrade.standin;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * State of one stand-in VM of a plain service. Its journal has an entry for each executed non-idempotent call, written
 * before the response is sent. The counts are guarded by the lock of this object. Safe for use from any thread.
 */
final class ServiceVm {
    private static final int EXIT_STATUS = 70;

    /** Settings of the VM. */
    record Settings(
            String vm,
            String address,
            String zone,
            String service,
            int coldCapacity,
            int coldRequests,
            long workMs,
            long seed) {}

    /** A call to the service. */
    record Call(String attemptId, String method, String path, String idempotencyKey, String body) {
        boolean isIdempotent() {
            return method.equals("GET") || method.equals("HEAD");
        }

        String digest() {
            return ResponseText.digest(body);
        }
    }

    private final Settings settings;
    private final Journal journal;
    private final FaultInjector faults;
    private final long incarnation = System.currentTimeMillis();
    private int inFlight;
    private boolean cold;
    private int coldCompletions;
    private long executed;
    private long sequence;

    ServiceVm(Settings settings, Journal journal) {
        this.settings = settings;
        this.journal = journal;
        this.faults = new FaultInjector(settings.seed());
        this.cold = settings.coldRequests() > 0;
    }

    FaultInjector faults() {
        return faults;
    }

    Journal journal() {
        return journal;
    }

    long workNanos() {
        return TimeUnit.MILLISECONDS.toNanos(
                settings.workMs() + faults.current().delayMs());
    }

    synchronized boolean isCold() {
        return cold;
    }

    synchronized void apply(Faults newFaults) {
        faults.set(newFaults);
        if (newFaults.turnCold()) {
            cold = true;
            coldCompletions = 0;
        }
    }

    /** Admits a call and returns true, or returns false if it is refused before any of it runs. */
    synchronized boolean admit(Call call) {
        if (faults.refusesRequest()) {
            addJournalEntry(JournalEvent.REFUSED, call);
            return false;
        }
        inFlight++;
        addJournalEntry(JournalEvent.STARTED, call);
        if (cold && inFlight > settings.coldCapacity()) {
            addJournalEntry(JournalEvent.FELL_OVER, call);
            Runtime.getRuntime().halt(EXIT_STATUS);
        }
        if (call.body().contains("crash-engine")) {
            addJournalEntry(JournalEvent.CRASHED, call);
            Runtime.getRuntime().halt(EXIT_STATUS);
        }
        return true;
    }

    /** Executes the call and returns the number of non-idempotent calls executed so far. */
    synchronized long execute(Call call) {
        if (!call.isIdempotent()) {
            executed++;
            addJournalEntry(JournalEvent.EXECUTED, call);
        }
        return executed;
    }

    /** Records the end of a call. */
    synchronized void finish(Call call, JournalEvent outcome) {
        addJournalEntry(outcome, call);
        inFlight--;
        coldCompletions++;
        cold = cold && coldCompletions < settings.coldRequests();
    }

    synchronized Optional<Announcement> announcement() {
        if (faults.current().stopAnnouncing()) {
            return Optional.empty();
        }
        sequence++;
        return Optional.of(new Announcement(
                settings.vm(),
                incarnation,
                settings.address(),
                settings.zone(),
                "none",
                0,
                "service",
                settings.service(),
                null,
                0,
                0,
                null,
                cold ? "cold" : "warm",
                inFlight,
                0,
                sequence,
                null,
                null,
                null));
    }

    private void addJournalEntry(JournalEvent event, Call call) {
        journal.add(new JournalEntry(
                System.nanoTime(),
                settings.vm(),
                incarnation,
                event,
                call.attemptId(),
                call.digest(),
                operation(call.body()),
                call.idempotencyKey(),
                null,
                List.of(),
                null,
                cold ? "cold" : "warm",
                null,
                null,
                inFlight,
                call.method() + " " + call.path()));
    }

    private static String operation(String body) {
        if (!body.startsWith("{")) {
            return null;
        }
        try {
            return StandinJson.MAPPER.readTree(body).path("op").asText(null);
        } catch (java.io.IOException e) {
            return null;
        }
    }
}
