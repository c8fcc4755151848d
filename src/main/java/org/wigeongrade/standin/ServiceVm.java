package org.wigeongrade.standin;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * State of one stand-in plain service VM. Its journal has an entry for each executed non-idempotent call, written before
 * the call is answered. One lock, this object, guards the counts. Safe for use from any thread.
 */
final class ServiceVm {
    private static final int EXIT_STATUS = 70;

    /** How the VM behaves. */
    record Settings(
            String vm,
            String address,
            String zone,
            String service,
            int coldCapacity,
            int coldRequests,
            long workMs,
            long seed) {}

    /** A call that was taken. */
    record Call(String attempt, String method, String path, String key, String body) {
        boolean isIdempotent() {
            return method.equals("GET") || method.equals("HEAD");
        }

        String digest() {
            return AnswerText.digest(body);
        }
    }

    private final Settings settings;
    private final Journal journal;
    private final FaultSwitches faults;
    private final long incarnation = System.currentTimeMillis();
    private int inFlight;
    private boolean cold;
    private int coldAnswers;
    private long executed;
    private long sequence;

    ServiceVm(Settings settings, Journal journal) {
        this.settings = settings;
        this.journal = journal;
        this.faults = new FaultSwitches(settings.seed());
        this.cold = settings.coldRequests() > 0;
    }

    FaultSwitches faults() {
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
            coldAnswers = 0;
        }
    }

    /** Takes a call, or refuses it before any of it runs. */
    synchronized boolean take(Call call) {
        if (faults.refuses()) {
            note(JournalEvent.REFUSED, call);
            return false;
        }
        inFlight++;
        note(JournalEvent.STARTED, call);
        if (cold && inFlight > settings.coldCapacity()) {
            note(JournalEvent.FELL_OVER, call);
            Runtime.getRuntime().halt(EXIT_STATUS);
        }
        if (call.body().contains("crash-engine")) {
            note(JournalEvent.CRASHED, call);
            Runtime.getRuntime().halt(EXIT_STATUS);
        }
        return true;
    }

    /** Executes the call and returns the number of non-idempotent calls that were executed so far. */
    synchronized long execute(Call call) {
        if (!call.isIdempotent()) {
            executed++;
            note(JournalEvent.EXECUTED, call);
        }
        return executed;
    }

    /** Takes the end of a call. */
    synchronized void finish(Call call, JournalEvent outcome) {
        note(outcome, call);
        inFlight--;
        coldAnswers++;
        cold = cold && coldAnswers < settings.coldRequests();
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

    private void note(JournalEvent event, Call call) {
        journal.add(new JournalEntry(
                System.nanoTime(),
                settings.vm(),
                incarnation,
                event,
                call.attempt(),
                call.digest(),
                operation(call.body()),
                call.key(),
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
