package org.wigeongrade.fleet.entry;

import com.google.common.primitives.Ints;
import com.google.common.primitives.Longs;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.wigeongrade.ids.ServiceName;

/** Headers that entry nodes add for each other to requests that one relays to the other. Stateless. */
final class RelayHeaders {
    private static final System.Logger LOGGER = System.getLogger(RelayHeaders.class.getName());
    /** Earlier attempts of the request that may have run; its presence marks a relayed request. */
    private static final String EARLIER_ATTEMPTS = "x-wigeongrade-earlier-attempts";
    /** Version of the configuration by which the first node routed the request. */
    private static final String CONFIGURATION_VERSION = "x-wigeongrade-configuration-version";
    /** Service to which the first node routed the request. */
    private static final String SERVICE = "x-wigeongrade-service";
    /** Present in a response if the node could not take the request, so that another one may be tried. */
    private static final String NOT_TAKEN = "x-wigeongrade-not-taken";

    private RelayHeaders() {}

    static void mark(HttpHeaders request, RelayOrigin origin) {
        request.set(EARLIER_ATTEMPTS, origin.earlierAttempts())
                .set(CONFIGURATION_VERSION, origin.configurationVersion());
        origin.service().ifPresent(service -> request.set(SERVICE, service.value()));
    }

    /** Removes the mark of the node that relayed the request and returns it; what is missing or malformed is left out. */
    static RelayOrigin takeOrigin(HttpHeaders request) {
        final RelayOrigin origin = new RelayOrigin(
                Optional.ofNullable(request.get(EARLIER_ATTEMPTS))
                        .map(Ints::tryParse)
                        .filter(count -> count >= 0)
                        .orElse(0),
                Optional.ofNullable(request.get(CONFIGURATION_VERSION))
                        .map(Longs::tryParse)
                        .orElse(0L),
                Optional.ofNullable(request.get(SERVICE)).flatMap(RelayHeaders::parseService));
        request.remove(EARLIER_ATTEMPTS).remove(CONFIGURATION_VERSION).remove(SERVICE);
        return origin;
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
