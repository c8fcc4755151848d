package org.wigeongrade.fleet.entry;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import org.wigeongrade.decisions.log.Bytes;

/**
 * One request of a caller, decoded. The headers are not changed after this; safe for use from any thread.
 *
 * @param attemptId id that the caller gave this attempt
 * @param target path with its query, as received
 * @param path path without its query
 * @param callerWaitsMs time that the caller waits for the answer; absent if it does not say
 * @param key key of an organisation
 * @param model model that is asked for; absent at plain services
 * @param lastEventId last event of a stream that the caller has
 * @param headers headers that may be passed on
 */
public record CallerRequest(
        Optional<String> attemptId,
        String method,
        String hostname,
        String target,
        String path,
        OptionalLong callerWaitsMs,
        Optional<String> key,
        Optional<String> model,
        int promptTokens,
        OptionalLong lastEventId,
        HttpHeaders headers,
        Bytes body) {
    /** Returns the id for logs. */
    public String name() {
        return attemptId.orElse("-");
    }
}
