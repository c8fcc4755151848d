package org.wigeongrade.fleet.entry;

import com.google.common.collect.ImmutableSet;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import org.wigeongrade.decisions.log.Bytes;
import org.wigeongrade.ids.PromptPartId;

/**
 * A caller's decoded request. The headers are not modified after decoding; safe for use from any thread.
 *
 * @param attemptId id that the caller gave this attempt of its request
 * @param target path with its query, as received
 * @param path path without its query
 * @param timeoutMs time that the caller waits for the response; absent if it did not state one
 * @param apiKey API key of an organisation
 * @param model requested model; absent for services without models
 * @param sharedPromptParts parts of the prompt that other requests may contain as well
 * @param lastEventId id of the last event of a stream that the caller received
 * @param headers headers that may be forwarded to the endpoint
 */
public record CallerRequest(
        Optional<String> attemptId,
        String method,
        String hostname,
        String target,
        String path,
        OptionalLong timeoutMs,
        Optional<String> apiKey,
        Optional<String> model,
        int promptTokens,
        ImmutableSet<PromptPartId> sharedPromptParts,
        OptionalLong lastEventId,
        HttpHeaders headers,
        Bytes body) {
    /** Returns the id that log events show for this request. */
    public String logId() {
        return attemptId.orElse("-");
    }
}
