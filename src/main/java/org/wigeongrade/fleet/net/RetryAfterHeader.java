package org.wigeongrade.fleet.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.lang.System.Logger.Level;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/** Parses and formats the {@code Retry-After} header of a response. Stateless; safe for use from any thread. */
public final class RetryAfterHeader {
    private static final System.Logger LOGGER = System.getLogger(RetryAfterHeader.class.getName());
    private static final Pattern SECONDS = Pattern.compile("\\d{1,30}(\\.\\d{1,30})?");
    private static final BigDecimal MS_PER_SECOND = BigDecimal.valueOf(1_000);
    private static final BigDecimal MAX_MS = BigDecimal.valueOf(Integer.MAX_VALUE);

    private RetryAfterHeader() {}

    /**
     * Returns the time to wait, in milliseconds, at most {@link Integer#MAX_VALUE}: from a number of seconds, which may
     * have a fraction, or from a date, relative to the response's own {@code Date} where it has one. Empty if the header
     * is absent, malformed or states no time in the future.
     *
     * @param nowEpochMs the time of day
     */
    public static OptionalLong parseMs(HttpHeaders headers, long nowEpochMs) {
        final String value = headers.get(HttpHeaderNames.RETRY_AFTER, "").strip();
        if (value.isEmpty()) {
            return OptionalLong.empty();
        }
        final OptionalLong waitMs = SECONDS.matcher(value).matches()
                ? OptionalLong.of(secondsToMs(value))
                : untilDateMs(value, headers, nowEpochMs);
        return waitMs.orElse(0) > 0 ? waitMs : OptionalLong.empty();
    }

    /** Returns a header value for a time to wait, in seconds with three decimals. */
    public static String format(long waitMs) {
        return BigDecimal.valueOf(waitMs, 3).toPlainString();
    }

    private static long secondsToMs(String seconds) {
        return new BigDecimal(seconds)
                .multiply(MS_PER_SECOND)
                .setScale(0, RoundingMode.CEILING)
                .min(MAX_MS)
                .longValueExact();
    }

    private static OptionalLong untilDateMs(String value, HttpHeaders headers, long nowEpochMs) {
        final OptionalLong endEpochMs = parseDate(value);
        if (endEpochMs.isEmpty()) {
            LOGGER.log(Level.DEBUG, "ignored malformed Retry-After \"{0}\"", value);
            return OptionalLong.empty();
        }
        final long sentEpochMs =
                parseDate(headers.get(HttpHeaderNames.DATE, "")).orElse(nowEpochMs);
        return OptionalLong.of(Math.min(Integer.MAX_VALUE, endEpochMs.getAsLong() - sentEpochMs));
    }

    private static OptionalLong parseDate(String text) {
        try {
            return OptionalLong.of(Instant.from(DateTimeFormatter.RFC_1123_DATE_TIME.parse(text.strip()))
                    .toEpochMilli());
        } catch (DateTimeException e) {
            return OptionalLong.empty();
        }
    }
}
