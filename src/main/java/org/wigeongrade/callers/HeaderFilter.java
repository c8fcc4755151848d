package org.wigeongrade.callers;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Map;
import ratpack.http.Headers;

/**
 * Filters the headers that are forwarded between callers, entry VMs and endpoints. Stateless; safe for use from any
 * thread.
 */
final class HeaderFilter {
    /** Response headers of a streamed generation. */
    static final ImmutableListMultimap<String, String> EVENT_STREAM_HEADERS =
            ImmutableListMultimap.of("content-type", "text/event-stream", "cache-control", "no-cache");

    /** Headers that apply to a single connection or message and are set anew for each hop. */
    private static final ImmutableSet<String> HOP_BY_HOP = ImmutableSet.of(
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
    /** Headers that this system reads or sets itself. */
    private static final ImmutableSet<String> RESERVED = ImmutableSet.of(
            "authorization",
            "x-request-id",
            "x-request-deadline-ms",
            "x-request-priority",
            "x-request-not-run",
            "x-endpoint-state",
            "x-wigeongrade-run");

    private HeaderFilter() {}

    /** Returns the headers of an endpoint's response that are forwarded to the caller. */
    static ImmutableListMultimap<String, String> fromEndpoint(ImmutableListMultimap<String, String> headers) {
        final ImmutableListMultimap.Builder<String, String> kept = ImmutableListMultimap.builder();
        headers.forEach((name, value) -> {
            if (isForwarded(name)) {
                kept.put(name, value);
            }
        });
        return kept.build();
    }

    /** Returns the headers of another entry VM's response that are forwarded to the caller. */
    static ImmutableListMultimap<String, String> fromEntryVm(ImmutableListMultimap<String, String> headers) {
        final ImmutableListMultimap.Builder<String, String> kept = ImmutableListMultimap.builder();
        headers.forEach((name, value) -> {
            if (!HOP_BY_HOP.contains(name)) {
                kept.put(name, value);
            }
        });
        return kept.build();
    }

    /** Returns the headers of a caller's request that are forwarded to another entry VM. */
    static ImmutableMap<String, String> toEntryVm(Headers headers) {
        final ImmutableMap.Builder<String, String> kept = ImmutableMap.builder();
        for (final Map.Entry<String, String> header : headers.getNettyHeaders()) {
            final String name = Ascii.toLowerCase(header.getKey());
            if (!HOP_BY_HOP.contains(name)) {
                kept.put(name, header.getValue());
            }
        }
        return kept.buildKeepingLast();
    }

    /** Returns the headers of a caller's request that are forwarded to the endpoint. */
    static ImmutableMap<String, String> toEndpoint(Headers headers) {
        final ImmutableMap.Builder<String, String> kept = ImmutableMap.builder();
        for (final Map.Entry<String, String> header : headers.getNettyHeaders()) {
            final String name = Ascii.toLowerCase(header.getKey());
            if (isForwarded(name)) {
                kept.put(name, header.getValue());
            }
        }
        return kept.buildKeepingLast();
    }

    private static boolean isForwarded(String name) {
        return !HOP_BY_HOP.contains(name) && !RESERVED.contains(name);
    }
}
