package org.wigeongrade.fleet.entry;

import com.google.common.base.CharMatcher;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Finds response heads that begin with bytes of another response. If an endpoint sends the beginning of a head and then
 * a whole response, the decoder reads the status line of the second as a part of the first. Stateless.
 */
final class MergedHeads {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d");
    /** Characters of a header name. */
    private static final CharMatcher TOKEN = CharMatcher.inRange('a', 'z')
            .or(CharMatcher.inRange('A', 'Z'))
            .or(CharMatcher.inRange('0', '9'))
            .or(CharMatcher.anyOf("!#$%&'*+-.^_`|~"));

    private MergedHeads() {}

    /** Returns which part of the head cannot come from a single response, if there is one. */
    static Optional<String> findFault(HttpResponse response) {
        final HttpVersion version = response.protocolVersion();
        if (!version.protocolName().equals("HTTP") || version.majorVersion() != 1) {
            return Optional.of("the version is " + version.text());
        }
        if (containsStatusLine(response.status().reasonPhrase())) {
            return Optional.of("the status line contains another one");
        }
        for (final Map.Entry<String, String> header : response.headers()) {
            if (!TOKEN.matchesAllOf(header.getKey())) {
                return Optional.of("the name of header \"" + header.getKey() + "\" is invalid");
            }
            if (containsStatusLine(header.getValue())) {
                return Optional.of("header \"" + header.getKey() + "\" contains a status line");
            }
        }
        return Optional.empty();
    }

    private static boolean containsStatusLine(String text) {
        return STATUS_LINE.matcher(text).find();
    }
}
