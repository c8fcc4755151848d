package org.wigeongrade.errors;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Renders errors as the JSON bodies of error responses. Stateless; safe for use from any thread. */
public final class ErrorJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ErrorJson() {}

    /**
     * Returns {@code {"error":{"code","message","fix","run","retry_after_ms","request_id"}}}; {@code type} repeats the
     * code for clients that read it there.
     */
    public static String render(WigeongradeException failure, String requestId) {
        final ObjectNode error = MAPPER.createObjectNode();
        error.put("code", failure.kind().code());
        error.put("type", failure.kind().code());
        error.put("message", failure.getMessage());
        error.put("fix", failure.kind().fix());
        error.put("run", failure.kind().runStatus().headerValue());
        error.put("retry_after_ms", failure.retryAfterMs());
        error.put("request_id", requestId);
        if (!failure.details().isEmpty()) {
            final ArrayNode faults = error.putArray("faults");
            failure.details()
                    .forEach(detail -> faults.addObject()
                            .put("file", detail.file())
                            .put("line", detail.line())
                            .put("object", detail.object())
                            .put("message", detail.message()));
        }
        final ObjectNode body = MAPPER.createObjectNode();
        body.set("error", error);
        return body.toString();
    }
}
