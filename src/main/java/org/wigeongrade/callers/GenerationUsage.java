package org.wigeongrade.callers;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/** Reads what a whole answer says of its own size. Stateless; safe for use from any thread. */
final class GenerationUsage {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private GenerationUsage() {}

    /** Returns the tokens that the answer says it generated; 0 if it says nothing. */
    static long completionTokens(byte[] body) {
        try {
            return MAPPER.readTree(body).path("usage").path("completion_tokens").asLong(0);
        } catch (IOException malformed) {
            return 0;
        }
    }
}
