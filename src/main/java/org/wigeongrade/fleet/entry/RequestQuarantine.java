package org.wigeongrade.fleet.entry;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.wigeongrade.decisions.outcomes.QuarantinedParts;
import org.wigeongrade.decisions.outcomes.QuarantinedRequests;
import org.wigeongrade.ids.OrganisationName;

/**
 * Whether one request is known to crash endpoints. Its organisation is found before anything is asked, and stays the same.
 * Used on the event loop only.
 */
final class RequestQuarantine {
    /** Waits for a trial, of a pull each: one until the leader is asked, one for its reply, and as many that fail. */
    private static final int MAX_TRIAL_WAITS = 4;

    private final EntryServices services;
    private final CallerRequest request;
    private int trialWaits;
    /** Kept, since a quarantine asks for it at each send, and a body may be large. */
    private Optional<String> digest = Optional.empty();

    RequestQuarantine(EntryServices services, CallerRequest request) {
        this.services = services;
        this.request = request;
    }

    /** Returns why the request must not be sent, if it or a part of its prompt is known to crash endpoints. */
    Optional<String> find(Optional<OrganisationName> organisation) {
        if (isQuarantinedItself(organisation)) {
            return Optional.of("this request has crashed endpoints");
        }
        return services.registry()
                .quarantinedParts()
                .findQuarantined(request.sharedPromptParts())
                .map(part -> "requests with the prompt part " + part + " have crashed endpoints");
    }

    /**
     * Returns whether the leader lets this node try the quarantined request, or one request with the quarantined prompt
     * part, and this is it.
     */
    boolean tryStartTrial(Optional<OrganisationName> organisation, int attempts, ExchangeLog log) {
        final QuarantinedParts parts = services.registry().quarantinedParts();
        final boolean sendsItself = !services.endpointLinks().areCut();
        if (isQuarantinedItself(organisation)) {
            return attempts == 0 && sendsItself && tryStartOwnTrial(organisation, log);
        }
        if (attempts == 0 && sendsItself && parts.tryStartTrial(request.sharedPromptParts())) {
            log.trialStarted();
            return true;
        }
        parts.findQuarantined(request.sharedPromptParts()).ifPresent(parts::recordRefused);
        return false;
    }

    /** With a quarantined part as well, the outcome would tell nothing of the request itself. */
    private boolean tryStartOwnTrial(Optional<OrganisationName> organisation, ExchangeLog log) {
        final QuarantinedRequests requests = services.registry().quarantinedRequests();
        if (hasSoundParts() && requests.tryStartTrial(digest(organisation))) {
            log.ownTrialStarted();
            return true;
        }
        requests.recordRefused(digest(organisation));
        return false;
    }

    /**
     * Returns whether the request waits for the next view, with which the leader may let this node try it; true a limited
     * number of times. The request may come to another node the next time, so that it would miss its trial if it were
     * refused at once.
     */
    boolean tryAwaitTrial(Optional<OrganisationName> organisation, int attempts, long nowNanos) {
        final boolean waits = trialWaits < MAX_TRIAL_WAITS
                && attempts == 0
                && !services.endpointLinks().areCut()
                && isQuarantinedItself(organisation)
                && hasSoundParts()
                && services.registry().quarantinedRequests().isTrialDue(digest(organisation), nowNanos);
        if (waits) {
            trialWaits++;
        }
        return waits;
    }

    private boolean hasSoundParts() {
        return services.registry()
                .quarantinedParts()
                .findQuarantined(request.sharedPromptParts())
                .isEmpty();
    }

    private boolean isQuarantinedItself(Optional<OrganisationName> organisation) {
        final QuarantinedRequests requests = services.registry().quarantinedRequests();
        return !requests.isEmpty() && requests.contains(digest(organisation));
    }

    /** Returns a hash of the request that is the same each time a caller sends it. */
    String digest(Optional<OrganisationName> organisation) {
        if (digest.isEmpty()) {
            digest = Optional.of(hash(organisation));
        }
        return digest.get();
    }

    private String hash(Optional<OrganisationName> organisation) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(organisation.map(OrganisationName::value).orElse("-"), StandardCharsets.UTF_8)
                .putString(request.method(), StandardCharsets.UTF_8)
                .putString(request.target(), StandardCharsets.UTF_8)
                .putBytes(request.body().array())
                .hash()
                .toString();
    }
}
