package org.wigeongrade.platform.soak;

import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.wigeongrade.proof.Await;

/**
 * Publishes configurations and reads them back, and checks what is promised about them. One thread publishes, any may read.
 *
 * <p>Each version moves the route {@code /move/} to the other plain service. From some version on, the key of the
 * organisation {@code guest} is gone.
 */
final class SoakOperator {
    static final long REVOKE_MS = 3_000;
    private static final long APPLY_MS = 2_000;
    private static final int ACCEPTED = 200;
    private static final Pattern VERSION = Pattern.compile("\"version\":(\\d+)");

    private final ControlCaller control;
    private final Promises promises;
    private final AtomicLong acknowledged = new AtomicLong();
    private volatile long acknowledgedNanos;
    private volatile long revokedNanos;
    private volatile long lastSent;
    private volatile boolean revocationSent;

    SoakOperator(ControlCaller control, Promises promises) {
        this.control = control;
        this.promises = promises;
    }

    /** Sends the next version, and again until it is accepted or the patience ends. */
    boolean publishNext(boolean withGuest, long patienceMs) {
        final long version = lastSent + 1;
        lastSent = version;
        revocationSent = revocationSent || !withGuest;
        final String document = document(version, withGuest);
        final long deadlineNanos = System.nanoTime() + patienceMs * 1_000_000;
        while (System.nanoTime() - deadlineNanos < 0) {
            final Optional<HttpConnection.Answer> answer = control.call("POST", "/-/configuration/replace", document);
            if (answer.filter(found -> found.status() == ACCEPTED).isPresent()) {
                noteAccepted(version, withGuest);
                return true;
            }
            answer.ifPresent(found -> promises.violated(
                    "a valid change is accepted", "version " + version + " was answered " + found.status()));
            Await.sleepMs(100);
        }
        return false;
    }

    /** Sends something invalid, which must be refused and change nothing. */
    void publishInvalid() {
        final String broken = document(lastSent + 1, true).replace("\"service\":\"pool\"", "\"service\":\"nowhere\"");
        control.call("POST", "/-/configuration/replace", broken)
                .filter(answer -> answer.status() == ACCEPTED)
                .ifPresent(answer -> promises.violated("an invalid change is refused", "it was accepted"));
    }

    private void noteAccepted(long version, boolean withGuest) {
        final long nowNanos = System.nanoTime();
        acknowledgedNanos = nowNanos;
        acknowledged.accumulateAndGet(version, Math::max);
        if (!withGuest && revokedNanos == 0) {
            revokedNanos = nowNanos;
        }
    }

    long acknowledged() {
        return acknowledged.get();
    }

    private boolean isGuestRevoked() {
        return revokedNanos != 0;
    }

    /** Returns whether a change that takes the guest's key away was ever sent; it may be in force. */
    boolean isRevocationSent() {
        return revocationSent;
    }

    /** Reads the configuration somewhere; it may be missing, but never older than what was accepted. */
    Optional<Long> read() {
        final long acceptedBefore = System.nanoTime() - acknowledgedNanos > APPLY_MS * 1_000_000 ? acknowledged() : 0;
        final Optional<Long> version = control.call("GET", "/-/configuration/read", "")
                .filter(answer -> answer.status() == ACCEPTED)
                .map(answer -> VERSION.matcher(answer.body()))
                .filter(Matcher::find)
                .map(found -> Long.parseLong(found.group(1)));
        version.filter(found -> found < acceptedBefore)
                .ifPresent(found -> promises.violated(
                        "a read is never older than an accepted change", found + " after " + acceptedBefore));
        return version;
    }

    /** Checks that the service, organisation and key that a request ran with were allowed. */
    void checkRun(String path, String service, String organisation, String attempt, long sentNanos) {
        final boolean plain = !service.equals("pool");
        final boolean allowed =
                path.startsWith("/gen/") ? !plain : path.startsWith("/move/") ? plain : service.equals("app");
        if (!allowed) {
            promises.violated("a request runs where its route leads", attempt + " " + path + " ran at " + service);
        }
        if (!"shop".equals(organisation) && !"guest".equals(organisation)) {
            promises.violated("the key's organisation is passed on", attempt + " ran for " + organisation);
        }
        final boolean late = isGuestRevoked() && sentNanos - revokedNanos > REVOKE_MS * 1_000_000;
        if ("guest".equals(organisation) && late) {
            promises.violated("a key that was taken away is not used", attempt + " ran for guest");
        }
    }

    static String document(long version, boolean withGuest) {
        final String guest = withGuest ? ",{\"name\":\"guest\",\"apiKeys\":[\"key-guest\"]}" : "";
        return """
                {"version":%d,"routes":[%s,%s,%s,%s],
                "services":[{"name":"app","maxConnections":200},{"name":"other","maxConnections":200},
                {"name":"pool","maxConnections":200,"engine":{"slots":8,"stride":5,"models":[{"name":"large","size":2,
                "share":1.0,"pace":1.0,"loadS":0.15,"warmupS":0.15}],"step_ms":2.0,"per_seq_ms":0.1,
                "context_per_k":0.001,"read_per_s":460000.0,"pairs_per_m":0.1,"chunk":2048,"loadsPerS":50.0,
                "loads_at_once":50,"far_x":1.5,"formationMs":100.0}}],
                "limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
                "tenants":[{"name":"shop","apiKeys":["key-shop"]}%s]}""".formatted(
                        version,
                        route("gen", "streaming", "pool"),
                        route("read", "idempotent", "app"),
                        route("charge", "non_idempotent", "app"),
                        route("move", "idempotent", version % 2 == 0 ? "app" : "other"),
                        guest);
    }

    private static String route(String name, String kind, String service) {
        return """
                {"name":"%s","hostname":"soak.example","pathPrefix":"/%s/","kind":"%s","timeoutMs":4000,
                "targetLatencyMs":500,"targetItlMs":300,"priority":1,"service":"%s","maxAttempts":2,
                "anonymous":false,"sessionAffinity":true,"resumable":true}""".formatted(name, name, kind, service);
    }

    /** Publishes and reads at random moments until the time is over. */
    void run(Random random, long forMs) {
        final long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < forMs * 1_000_000) {
            switch (random.nextInt(4)) {
                case 0 -> publishInvalid();
                case 1 -> {
                    final boolean guestStays = System.nanoTime() - startNanos < forMs * 1_000_000 / 3;
                    final boolean unused = publishNext(guestStays, 1_000);
                }
                default -> {
                    final Optional<Long> unused = read();
                }
            }
            Await.sleepMs(random.nextInt(400));
        }
    }
}
