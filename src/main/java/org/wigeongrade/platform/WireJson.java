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
 * One JSON object of the platform's wire, read strictly: a field that is missing or of another type is an error that
 * names it. Immutable; safe for use from any thread.
 */
final class WireJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final ObjectReader READER = MAPPER.reader()
            .with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .with(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY);

    private final String place;
    private final JsonNode object;

    private WireJson(String place, JsonNode object) {
        this.place = place;
        this.object = object;
    }

    /** Reads a whole document; throws with kind INVALID_CONFIGURATION if it is not one JSON object. */
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
            throw new WigeongradeException(ErrorKind.INTERNAL, "message cannot be written: " + e.getMessage(), e);
        }
    }

    boolean has(String field) {
        return object.hasNonNull(field);
    }

    String text(String field) {
        final JsonNode value = object.path(field);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            throw wrong(field, "a text");
        }
        return value.textValue();
    }

    Optional<String> optionalText(String field) {
        return has(field) ? Optional.of(text(field)) : Optional.empty();
    }

    /** Returns a name that may be written as a text or as a number. */
    Optional<String> optionalLabel(String field) {
        final JsonNode value = object.path(field);
        return value.isValueNode() && has(field) ? Optional.of(value.asText()) : Optional.empty();
    }

    long integer(String field) {
        final JsonNode value = object.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw wrong(field, "a whole number");
        }
        return value.longValue();
    }

    int smallInteger(String field) {
        final long value = integer(field);
        if (value < 0 || value > Integer.MAX_VALUE) {
            throw wrong(field, "a whole number from 0 to " + Integer.MAX_VALUE);
        }
        return (int) value;
    }

    double number(String field) {
        final JsonNode value = object.path(field);
        if (!value.isNumber()) {
            throw wrong(field, "a number");
        }
        return value.doubleValue();
    }

    double number(String field, double absent) {
        return has(field) ? number(field) : absent;
    }

    boolean bool(String field, boolean absent) {
        if (!has(field)) {
            return absent;
        }
        if (!object.path(field).isBoolean()) {
            throw wrong(field, "true or false");
        }
        return object.path(field).booleanValue();
    }

    Optional<WireJson> object(String field) {
        return has(field) ? Optional.of(of(place + "." + field, object.path(field))) : Optional.empty();
    }

    List<WireJson> objects(String field) {
        final ImmutableList.Builder<WireJson> found = ImmutableList.builder();
        int index = 0;
        for (final JsonNode element : array(field)) {
            found.add(of(place + "." + field + "[" + index++ + "]", element));
        }
        return found.build();
    }

    List<String> texts(String field) {
        final ImmutableList.Builder<String> found = ImmutableList.builder();
        for (final JsonNode element : array(field)) {
            if (!element.isTextual()) {
                throw wrong(field, "an array of texts");
            }
            found.add(element.textValue());
        }
        return found.build();
    }

    boolean isArrayOfTexts(String field) {
        return array(field).path(0).isTextual();
    }

    private JsonNode array(String field) {
        final JsonNode value = object.path(field);
        if (!value.isArray()) {
            throw wrong(field, "an array");
        }
        return value;
    }

    private static WireJson of(String place, JsonNode node) {
        if (node == null || !node.isObject()) {
            throw new WigeongradeException(ErrorKind.INVALID_CONFIGURATION, place + " must be an object");
        }
        return new WireJson(place, node);
    }

    private WigeongradeException wrong(String field, String expected) {
        return new WigeongradeException(ErrorKind.INVALID_CONFIGURATION, place + "." + field + " must be " + expected);
    }
}
