package org.wigeongrade.endpoints;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.base.Ascii;
import com.google.common.base.Enums;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.util.List;
import org.wigeongrade.decisions.membership.EndpointKind;
import org.wigeongrade.decisions.membership.EndpointState;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.Names;
import org.wigeongrade.nodes.thrift.AnnouncementRecord;

/**
 * Parses announcements in the JSON format of docs/design/endpoint-protocol.md. Stateless; safe for use from any thread.
 */
public final class AnnouncementReader {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private AnnouncementReader() {}

    /** Returns the announcement; throws with kind MALFORMED_REQUEST and the name of the field if one is invalid. */
    public static AnnouncementRecord read(byte[] body) {
        final JsonNode json = parse(body);
        final AnnouncementRecord record = new AnnouncementRecord();
        record.setVm(requiredName(json, "vm"));
        record.setIncarnation(requiredNumber(json, "incarnation"));
        record.setAddress(address(json));
        record.setAvailabilityZone(requiredName(json, "availability_zone"));
        record.setFabricDomain(requiredName(json, "fabric_domain"));
        record.setAccelerators((int) requiredNumber(json, "accelerators"));
        record.setKind(enumValue(json, "kind", EndpointKind.class));
        record.setServiceName(optionalName(json, "service"));
        record.setGroupName(optionalName(json, "group"));
        record.setOrderTerm(json.path("order_term").asLong(0));
        record.setOrderSequence(json.path("order_sequence").asLong(0));
        record.setModelVersion(optionalName(json, "model_version"));
        record.setState(enumValue(json, "state", EndpointState.class));
        record.setRunning((int) requiredNumber(json, "running"));
        record.setWaiting((int) requiredNumber(json, "waiting"));
        record.setSequence(requiredNumber(json, "sequence"));
        record.setCacheAdded(strings(json, "cache_added"));
        record.setCacheRemoved(strings(json, "cache_removed"));
        if (json.hasNonNull("cache_first_sequence")) {
            record.setCacheFirstSequence(requiredNumber(json, "cache_first_sequence"));
        }
        if (record.getKind().equals(EndpointKind.SERVICE.label()) && !record.isSetServiceName()) {
            throw malformed("service", "the name of the plain service");
        }
        return record;
    }

    private static JsonNode parse(byte[] body) {
        try {
            final JsonNode json = MAPPER.readTree(body);
            if (json != null && json.isObject()) {
                return json;
            }
        } catch (IOException failure) {
            throw new WigeongradeException(ErrorKind.MALFORMED_REQUEST, "the announcement is not JSON", failure);
        }
        throw new WigeongradeException(ErrorKind.MALFORMED_REQUEST, "the announcement must be a JSON object");
    }

    private static String requiredName(JsonNode json, String field) {
        final JsonNode value = json.path(field);
        if (!value.isTextual()) {
            throw malformed(field, "a name");
        }
        try {
            Names.check(field, value.textValue());
        } catch (IllegalArgumentException failure) {
            throw new WigeongradeException(ErrorKind.MALFORMED_REQUEST, failure.getMessage(), failure);
        }
        return value.textValue();
    }

    private static String optionalName(JsonNode json, String field) {
        return json.hasNonNull(field) ? requiredName(json, field) : null;
    }

    private static long requiredNumber(JsonNode json, String field) {
        final JsonNode value = json.path(field);
        if (!value.isIntegralNumber() || value.longValue() < 0) {
            throw malformed(field, "a whole number of 0 or more");
        }
        return value.longValue();
    }

    private static String address(JsonNode json) {
        final JsonNode value = json.path("address");
        if (!value.isTextual() || !value.textValue().matches("[0-9.]+:[0-9]{1,5}")) {
            throw malformed("address", "an IP address and a port");
        }
        return value.textValue();
    }

    private static <E extends Enum<E>> String enumValue(JsonNode json, String field, Class<E> type) {
        final String text = json.path(field).asText("");
        if (!Enums.getIfPresent(type, Ascii.toUpperCase(text)).isPresent()) {
            throw malformed(
                    field,
                    "one of "
                            + Ascii.toLowerCase(List.of(type.getEnumConstants()).toString()));
        }
        return text;
    }

    private static List<String> strings(JsonNode json, String field) {
        final ImmutableList.Builder<String> strings = ImmutableList.builder();
        json.path(field).forEach(element -> strings.add(element.asText()));
        return strings.build();
    }

    private static WigeongradeException malformed(String field, String expected) {
        return new WigeongradeException(
                ErrorKind.MALFORMED_REQUEST, "announcement field '" + field + "' must be " + expected);
    }
}
