package org.wigeongrade.standin;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** JSON encoding of the endpoint protocol: snake_case names, null fields omitted. Safe for use from any thread. */
public final class StandinJson {
    /** Reads and writes the messages of the endpoint protocol. */
    public static final ObjectMapper MAPPER = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .serializationInclusion(JsonInclude.Include.NON_NULL)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private StandinJson() {}

    /** Returns {@code value} as one line of JSON; throws {@link IllegalStateException} if it cannot be encoded. */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(
                    "value of " + value.getClass() + " cannot be encoded as JSON; use records of plain fields", e);
        }
    }
}
