package org.wigeongrade.callers;

import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.wigeongrade.decisions.config.ServiceDeclaration;
import org.wigeongrade.ids.OrganisationName;

/**
 * A caller's call of a plain service. {@code pathAndQuery} is sent to the service and begins with a slash. Immutable;
 * do not change {@code body}.
 */
@SuppressWarnings("ArrayRecordComponent")
record ServiceCall(
        ServiceDeclaration service,
        OrganisationName organisation,
        String method,
        String pathAndQuery,
        ImmutableMap<String, String> headers,
        byte[] body,
        Optional<String> idempotencyKey) {
    /** Returns whether the call may be repeated without an additional effect. */
    boolean isIdempotent() {
        return service.idempotentMethods().contains(method);
    }

    /** Returns whether the call must be claimed in the replicated log, which ensures that it is sent at most once. */
    boolean needsClaim() {
        return !isIdempotent() && idempotencyKey.isPresent();
    }

    /** Returns the SHA-256 of organisation, target and body in hexadecimal. */
    String digest() {
        return Hashing.sha256()
                .newHasher()
                .putString(
                        organisation + "\n" + service.name() + "\n" + method + "\n" + pathAndQuery + "\n",
                        StandardCharsets.UTF_8)
                .putBytes(body)
                .hash()
                .toString();
    }
}
