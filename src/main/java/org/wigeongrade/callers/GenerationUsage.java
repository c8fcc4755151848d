package org.wigeongrade.callers;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/** Reads the token usage that a complete response reports. Stateless; safe for use from any thread. */
final class GenerationUsage {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private GenerationUsage() {}

    /** Returns the number of generated tokens that the response reports, or 0 if it reports none. */
    static long completionTokens(byte[] body) {
        try {
            return MAPPER.readTree(body).path("usage").path("completion_tokens").asLong(0);
        } catch (IOException malformed) {
            return 0;
        }
    }
}
