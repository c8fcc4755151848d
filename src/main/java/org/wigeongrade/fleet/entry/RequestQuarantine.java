package org.wigeongrade.fleet.entry;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import org.wigeongrade.decisions.outcomes.QuarantinedParts;
import org.wigeongrade.ids.OrganisationName;

/** Whether one request is known to crash endpoints. Used on the event loop only. */
final class RequestQuarantine {
    private final EntryServices services;
    private final CallerRequest request;

    RequestQuarantine(EntryServices services, CallerRequest request) {
        this.services = services;
        this.request = request;
    }

    /** Returns why the request must not be sent, if it or a part of its prompt is known to crash endpoints. */
    Optional<String> find(Optional<OrganisationName> organisation) {
        final Set<String> requests =
                services.registry().view().quarantinedRequests().keySet();
        if (!requests.isEmpty() && requests.contains(digest(organisation))) {
            return Optional.of("this request has crashed endpoints");
        }
        return services.registry()
                .quarantinedParts()
                .findQuarantined(request.sharedPromptParts())
                .map(part -> "requests with the prompt part " + part + " have crashed endpoints");
    }

    /** Returns whether the leader lets this node try one request with the quarantined prompt part, and this is it. */
    boolean tryStartTrial(int attempts, ExchangeLog log) {
        final QuarantinedParts parts = services.registry().quarantinedParts();
        final boolean sendsItself = !services.endpointLinks().areCut();
        if (attempts == 0 && sendsItself && parts.tryStartTrial(request.sharedPromptParts())) {
            log.trialStarted();
            return true;
        }
        parts.findQuarantined(request.sharedPromptParts()).ifPresent(parts::recordRefused);
        return false;
    }

    /** Returns a hash of the request that is the same each time a caller sends it. */
    String digest(Optional<OrganisationName> organisation) {
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
