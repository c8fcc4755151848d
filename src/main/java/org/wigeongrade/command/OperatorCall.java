package org.wigeongrade.command;

import com.google.common.base.Joiner;
import com.google.common.net.UrlEscapers;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One call to the operator HTTP API. A change carries its change id in the query, so the same call may be sent again.
 * Immutable; safe for use from any thread.
 */
record OperatorCall(String method, String pathAndQuery, String body) {
    /** Returns the health check that the platform's load balancer sends to a node. */
    static OperatorCall health() {
        return new OperatorCall("GET", "/health", "");
    }

    static OperatorCall get(String... pathSegments) {
        return new OperatorCall("GET", path(List.of(pathSegments)), "");
    }

    static OperatorCall post(String body, Map<String, String> query, String... pathSegments) {
        final Map<String, String> escaped = new LinkedHashMap<>();
        query.forEach((name, value) ->
                escaped.put(name, UrlEscapers.urlFormParameterEscaper().escape(value)));
        final String suffix = escaped.isEmpty()
                ? ""
                : "?" + Joiner.on('&').withKeyValueSeparator('=').join(escaped);
        return new OperatorCall("POST", path(List.of(pathSegments)) + suffix, body);
    }

    private static String path(List<String> segments) {
        final List<String> escaped = segments.stream()
                .map(UrlEscapers.urlPathSegmentEscaper()::escape)
                .toList();
        return "/v1/operator/" + String.join("/", escaped);
    }
}
