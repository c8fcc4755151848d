package org.wigeongrade.fleet.entry;

import com.google.common.primitives.Ints;
import com.google.common.primitives.Longs;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalInt;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/** Headers that entry nodes add for each other to requests that one relays to the other. Stateless. */
final class RelayHeaders {
    private static final System.Logger LOGGER = System.getLogger(RelayHeaders.class.getName());
    /** Earlier attempts of the request that may have run; its presence marks a relayed request. */
    private static final String EARLIER_ATTEMPTS = "x-wigeongrade-earlier-attempts";
    /** Number of replicas that the node may send the request to, so that it may run there. */
    private static final String GRANTED_ATTEMPTS = "x-wigeongrade-granted-attempts";
    /** In an error response of the node itself: number of replicas that may have run the request. */
    private static final String USED_ATTEMPTS = "x-wigeongrade-used-attempts";
    /** In a response of an endpoint: its VM and incarnation, for what the response states of it. */
    private static final String ENDPOINT = "x-wigeongrade-endpoint";
    /** Version of the configuration by which the first node routed the request. */
    private static final String CONFIGURATION_VERSION = "x-wigeongrade-configuration-version";
    /** Service to which the first node routed the request. */
    private static final String SERVICE = "x-wigeongrade-service";
    /** Present in a response if the node could not take the request, so that another one may be tried. */
    private static final String NOT_TAKEN = "x-wigeongrade-not-taken";

    private static final char INCARNATION_SEPARATOR = '#';

    private RelayHeaders() {}

    static void mark(HttpHeaders request, RelayOrigin origin) {
        request.set(EARLIER_ATTEMPTS, origin.earlierAttempts())
                .set(CONFIGURATION_VERSION, origin.configurationVersion());
        origin.granted().ifPresent(granted -> request.set(GRANTED_ATTEMPTS, granted));
        origin.service().ifPresent(service -> request.set(SERVICE, service.value()));
    }

    /** Removes the mark of the node that relayed the request and returns it; what is missing or malformed is left out. */
    static RelayOrigin takeOrigin(HttpHeaders request) {
        final RelayOrigin origin = new RelayOrigin(
                parseCount(request, EARLIER_ATTEMPTS).orElse(0),
                parseCount(request, GRANTED_ATTEMPTS),
                Optional.ofNullable(request.get(CONFIGURATION_VERSION))
                        .map(Longs::tryParse)
                        .orElse(0L),
                Optional.ofNullable(request.get(SERVICE)).flatMap(RelayHeaders::parseService));
        request.remove(EARLIER_ATTEMPTS)
                .remove(GRANTED_ATTEMPTS)
                .remove(CONFIGURATION_VERSION)
                .remove(SERVICE);
        return origin;
    }

    private static OptionalInt parseCount(HttpHeaders headers, String name) {
        final Integer count =
                Optional.ofNullable(headers.get(name)).map(Ints::tryParse).orElse(null);
        return count == null || count < 0 ? OptionalInt.empty() : OptionalInt.of(count);
    }

    /** Removes from an error response what its node states to have used, and returns it. */
    static OptionalInt takeUsed(HttpHeaders response) {
        final OptionalInt used = parseCount(response, USED_ATTEMPTS);
        response.remove(USED_ATTEMPTS);
        return used;
    }

    /** Names the endpoint of a response for the node that relayed the request. */
    static void nameEndpoint(HttpHeaders response, VmIncarnation vm) {
        response.set(ENDPOINT, vm.vm().value() + INCARNATION_SEPARATOR + vm.incarnation());
    }

    /** Removes the name of the endpoint from a response and returns it; empty if it is missing or malformed. */
    static Optional<VmIncarnation> takeEndpoint(HttpHeaders response) {
        final String text = response.get(ENDPOINT, "");
        response.remove(ENDPOINT);
        final int separator = text.lastIndexOf(INCARNATION_SEPARATOR);
        final Long incarnation = separator < 0 ? null : Longs.tryParse(text.substring(separator + 1));
        if (incarnation == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(new VmIncarnation(VmName.of(text.substring(0, separator)), incarnation));
        } catch (IllegalArgumentException e) {
            LOGGER.log(System.Logger.Level.WARNING, "the endpoint of a relayed response is ignored: " + e.getMessage());
            return Optional.empty();
        }
    }

    static String used() {
        return USED_ATTEMPTS;
    }

    private static Optional<ServiceName> parseService(String text) {
        try {
            return Optional.of(ServiceName.of(text));
        } catch (IllegalArgumentException e) {
            LOGGER.log(System.Logger.Level.WARNING, "the service of a relayed request is ignored: " + e.getMessage());
            return Optional.empty();
        }
    }

    static String notTaken() {
        return NOT_TAKEN;
    }

    static boolean isNotTaken(HttpHeaders response) {
        return response.contains(NOT_TAKEN);
    }
}
