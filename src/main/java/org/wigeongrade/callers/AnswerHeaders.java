package org.wigeongrade.callers;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Map;
import ratpack.http.Headers;

/** Chooses the headers that pass between callers and endpoints. Stateless; safe for use from any thread. */
final class AnswerHeaders {
    /** Headers of a streamed generation. */
    static final ImmutableListMultimap<String, String> EVENT_STREAM =
            ImmutableListMultimap.of("content-type", "text/event-stream", "cache-control", "no-cache");

    private static final ImmutableSet<String> OF_ONE_CONNECTION = ImmutableSet.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "host",
            "expect");
    private static final ImmutableSet<String> OWN = ImmutableSet.of(
            "authorization",
            "x-request-id",
            "x-request-deadline-ms",
            "x-request-priority",
            "x-request-not-run",
            "x-endpoint-state",
            "x-wigeongrade-run");

    private AnswerHeaders() {}

    /** Returns the headers of an endpoint's answer that its caller gets. */
    static ImmutableListMultimap<String, String> forCaller(ImmutableListMultimap<String, String> headers) {
        final ImmutableListMultimap.Builder<String, String> kept = ImmutableListMultimap.builder();
        headers.forEach((name, value) -> {
            if (passes(name)) {
                kept.put(name, value);
            }
        });
        return kept.build();
    }

    /** Returns the headers of another entry VM's answer that the caller gets. */
    static ImmutableListMultimap<String, String> fromEntryVm(ImmutableListMultimap<String, String> headers) {
        final ImmutableListMultimap.Builder<String, String> kept = ImmutableListMultimap.builder();
        headers.forEach((name, value) -> {
            if (!OF_ONE_CONNECTION.contains(name)) {
                kept.put(name, value);
            }
        });
        return kept.build();
    }

    /** Returns the headers of a caller's request that another entry VM gets. */
    static ImmutableMap<String, String> toEntryVm(Headers headers) {
        final ImmutableMap.Builder<String, String> kept = ImmutableMap.builder();
        for (final Map.Entry<String, String> header : headers.getNettyHeaders()) {
            final String name = Ascii.toLowerCase(header.getKey());
            if (!OF_ONE_CONNECTION.contains(name)) {
                kept.put(name, header.getValue());
            }
        }
        return kept.buildKeepingLast();
    }

    /** Returns the headers of a caller's request that the endpoint gets. */
    static ImmutableMap<String, String> forEndpoint(Headers headers) {
        final ImmutableMap.Builder<String, String> kept = ImmutableMap.builder();
        for (final Map.Entry<String, String> header : headers.getNettyHeaders()) {
            final String name = Ascii.toLowerCase(header.getKey());
            if (passes(name)) {
                kept.put(name, header.getValue());
            }
        }
        return kept.buildKeepingLast();
    }

    private static boolean passes(String name) {
        return !OF_ONE_CONNECTION.contains(name) && !OWN.contains(name);
    }
}
