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

/** Reads an announcement from the JSON of docs/design/endpoint-protocol.md. Stateless; safe for use from any thread. */
public final class AnnouncementReader {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private AnnouncementReader() {}

    /** Returns the announcement; throws with kind MALFORMED_REQUEST naming the field at fault. */
    public static AnnouncementRecord read(byte[] body) {
        final JsonNode json = parse(body);
        final AnnouncementRecord record = new AnnouncementRecord();
        record.setVm(name(json, "vm"));
        record.setIncarnation(number(json, "incarnation"));
        record.setAddress(address(json));
        record.setAvailabilityZone(name(json, "availability_zone"));
        record.setFabricDomain(name(json, "fabric_domain"));
        record.setAccelerators((int) number(json, "accelerators"));
        record.setKind(constant(json, "kind", EndpointKind.class));
        record.setServiceName(optionalName(json, "service"));
        record.setGroupName(optionalName(json, "group"));
        record.setOrderTerm(json.path("order_term").asLong(0));
        record.setOrderSequence(json.path("order_sequence").asLong(0));
        record.setModelVersion(optionalName(json, "model_version"));
        record.setState(constant(json, "state", EndpointState.class));
        record.setRunning((int) number(json, "running"));
        record.setWaiting((int) number(json, "waiting"));
        record.setSequence(number(json, "sequence"));
        record.setCacheAdded(texts(json, "cache_added"));
        record.setCacheRemoved(texts(json, "cache_removed"));
        if (json.hasNonNull("cache_first_sequence")) {
            record.setCacheFirstSequence(number(json, "cache_first_sequence"));
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

    private static String name(JsonNode json, String field) {
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
        return json.hasNonNull(field) ? name(json, field) : null;
    }

    private static long number(JsonNode json, String field) {
        final JsonNode value = json.path(field);
        if (!value.isIntegralNumber() || value.longValue() < 0) {
            throw malformed(field, "a whole number of 0 or more");
        }
        return value.longValue();
    }

    private static String address(JsonNode json) {
        final JsonNode value = json.path("address");
        if (!value.isTextual() || !value.textValue().matches("[0-9.]+:[0-9]{1,5}")) {
            throw malformed("address", "an IP number and a port");
        }
        return value.textValue();
    }

    private static <E extends Enum<E>> String constant(JsonNode json, String field, Class<E> type) {
        final String text = json.path(field).asText("");
        if (!Enums.getIfPresent(type, Ascii.toUpperCase(text)).isPresent()) {
            throw malformed(
                    field,
                    "one of "
                            + Ascii.toLowerCase(List.of(type.getEnumConstants()).toString()));
        }
        return text;
    }

    private static List<String> texts(JsonNode json, String field) {
        final ImmutableList.Builder<String> texts = ImmutableList.builder();
        json.path(field).forEach(text -> texts.add(text.asText()));
        return texts.build();
    }

    private static WigeongradeException malformed(String field, String expected) {
        return new WigeongradeException(
                ErrorKind.MALFORMED_REQUEST, "announcement field '" + field + "' must be " + expected);
    }
}
