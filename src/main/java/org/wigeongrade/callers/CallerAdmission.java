package org.wigeongrade.callers;

import java.util.Optional;
import org.wigeongrade.decisions.config.OrganisationDeclaration;
import org.wigeongrade.decisions.limits.AdmissionDecision;
import org.wigeongrade.decisions.limits.AdmissionReason;
import org.wigeongrade.decisions.limits.AdmissionRequest;
import org.wigeongrade.decisions.limits.ShareKey;
import org.wigeongrade.decisions.routing.EndpointView;
import org.wigeongrade.decisions.routing.RouteTarget;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.nodes.entry.EntryRole;

/**
 * Admits requests within their organisation's limits and its fair share of the target's slots.
 *
 * <p>Invariant: a refused request does not count against any limit. Thread safe: all state is in the tables of the
 * entry role.
 */
final class CallerAdmission {
    private final EntryRole entry;

    CallerAdmission(EntryRole entry) {
        this.entry = entry;
    }

    /** An admitted request; {@link #finish} must be called exactly once, when the request ends. */
    final class Admitted {
        private final AdmissionDecision.Admitted limits;
        private final RouteTarget target;
        private final OrganisationName organisation;

        private Admitted(AdmissionDecision.Admitted limits, RouteTarget target, OrganisationName organisation) {
            this.limits = limits;
            this.target = target;
            this.organisation = organisation;
        }

        void finish(long usedTokens) {
            entry.organisationUsage().end(target.toString(), organisation);
            entry.admission().finish(limits, usedTokens);
        }
    }

    /** Admits a request; throws with kind ORGANISATION_LIMIT and a retry delay if a limit is reached. */
    Admitted admit(OrganisationDeclaration organisation, RouteTarget target, long estimatedTokens) {
        final long nowNanos = entry.nowNanos();
        final Optional<AdmissionReason> fairShareRefusal = entry.organisationUsage()
                .refusal(
                        target.toString(),
                        organisation.name(),
                        slotsInUse(target),
                        grantedSlots(target, nowNanos),
                        nowNanos);
        if (fairShareRefusal.isPresent()) {
            throw refused(organisation, fairShareRefusal.get(), ErrorKind.ORGANISATION_LIMIT.retryAfterMs());
        }
        final AdmissionDecision decision = entry.admission()
                .admit(
                        new AdmissionRequest(
                                organisation.name(),
                                organisation.requestsInFlight(),
                                organisation.requestsPerSecond(),
                                organisation.tokensPerMinute(),
                                estimatedTokens),
                        nowNanos);
        if (decision instanceof AdmissionDecision.Refused refused) {
            throw refused(organisation, refused.reason(), refused.retryAfterMs());
        }
        entry.organisationUsage().begin(target.toString(), organisation.name());
        return new Admitted((AdmissionDecision.Admitted) decision, target, organisation.name());
    }

    private int slotsInUse(RouteTarget target) {
        return entry.view().allEndpoints().stream()
                .filter(endpoint -> endpoint.target().equals(target))
                .map(EndpointView::id)
                .mapToInt(endpoint -> entry.shares().inUse(ShareKey.endpointSlots(endpoint)))
                .sum();
    }

    private int grantedSlots(RouteTarget target, long nowNanos) {
        return entry.view().allEndpoints().stream()
                .filter(endpoint -> endpoint.target().equals(target))
                .map(EndpointView::id)
                .mapToInt(endpoint -> entry.shares().grantedSlots(ShareKey.endpointSlots(endpoint), nowNanos))
                .sum();
    }

    private static WigeongradeException refused(
            OrganisationDeclaration organisation, AdmissionReason reason, long retryAfterMs) {
        return new WigeongradeException(
                ErrorKind.ORGANISATION_LIMIT,
                "organisation '" + organisation.name() + "': " + reason.code(),
                retryAfterMs,
                null);
    }
}
