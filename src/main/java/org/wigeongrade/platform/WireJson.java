package org.wigeongrade.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;

/**
 * A JSON object of the platform's wire format, parsed strictly: a field that is missing or has the wrong type is an
 * error that names it. Immutable; safe for use from any thread.
 */
final class WireJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final ObjectReader READER = MAPPER.reader()
            .with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .with(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY);

    private final String path;
    private final JsonNode object;

    private WireJson(String path, JsonNode object) {
        this.path = path;
        this.object = object;
    }

    /** Parses a document; throws with kind INVALID_CONFIGURATION if it is not exactly one JSON object. */
    static WireJson parse(byte[] bytes) {
        try {
            return of("document", READER.readTree(bytes));
        } catch (IOException e) {
            throw new WigeongradeException(
                    ErrorKind.INVALID_CONFIGURATION, "the document is not valid JSON: " + e.getMessage(), e);
        }
    }

    static byte[] write(Map<String, ?> fields) {
        try {
            return MAPPER.writeValueAsBytes(fields);
        } catch (JsonProcessingException e) {
            throw new WigeongradeException(
                    ErrorKind.INTERNAL, "the message cannot be serialized: " + e.getMessage(), e);
        }
    }

    boolean has(String field) {
        return object.hasNonNull(field);
    }

    String string(String field) {
        final JsonNode value = object.path(field);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            throw wrongType(field, "a non-empty string");
        }
        return value.textValue();
    }

    Optional<String> optionalString(String field) {
        return has(field) ? Optional.of(string(field)) : Optional.empty();
    }

    /** Returns a field that may be a string or a number, as a string. */
    Optional<String> optionalStringOrNumber(String field) {
        final JsonNode value = object.path(field);
        return value.isValueNode() && has(field) ? Optional.of(value.asText()) : Optional.empty();
    }

    long integer(String field) {
        final JsonNode value = object.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw wrongType(field, "an integer");
        }
        return value.longValue();
    }

    int smallInteger(String field) {
        final long value = integer(field);
        if (value < 0 || value > Integer.MAX_VALUE) {
            throw wrongType(field, "an integer from 0 to " + Integer.MAX_VALUE);
        }
        return (int) value;
    }

    double number(String field) {
        final JsonNode value = object.path(field);
        if (!value.isNumber()) {
            throw wrongType(field, "a number");
        }
        return value.doubleValue();
    }

    double number(String field, double defaultValue) {
        return has(field) ? number(field) : defaultValue;
    }

    boolean bool(String field, boolean defaultValue) {
        if (!has(field)) {
            return defaultValue;
        }
        if (!object.path(field).isBoolean()) {
            throw wrongType(field, "true or false");
        }
        return object.path(field).booleanValue();
    }

    Optional<WireJson> object(String field) {
        return has(field) ? Optional.of(of(path + "." + field, object.path(field))) : Optional.empty();
    }

    List<WireJson> objects(String field) {
        final ImmutableList.Builder<WireJson> elements = ImmutableList.builder();
        int index = 0;
        for (final JsonNode element : array(field)) {
            elements.add(of(path + "." + field + "[" + index++ + "]", element));
        }
        return elements.build();
    }

    List<String> strings(String field) {
        final ImmutableList.Builder<String> elements = ImmutableList.builder();
        for (final JsonNode element : array(field)) {
            if (!element.isTextual()) {
                throw wrongType(field, "an array of strings");
            }
            elements.add(element.textValue());
        }
        return elements.build();
    }

    boolean isArrayOfStrings(String field) {
        return array(field).path(0).isTextual();
    }

    private JsonNode array(String field) {
        final JsonNode value = object.path(field);
        if (!value.isArray()) {
            throw wrongType(field, "an array");
        }
        return value;
    }

    private static WireJson of(String path, JsonNode node) {
        if (node == null || !node.isObject()) {
            throw new WigeongradeException(ErrorKind.INVALID_CONFIGURATION, path + " must be an object");
        }
        return new WireJson(path, node);
    }

    private WigeongradeException wrongType(String field, String expected) {
        return new WigeongradeException(ErrorKind.INVALID_CONFIGURATION, path + "." + field + " must be " + expected);
    }
}
