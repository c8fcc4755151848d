package org.wigeongrade.fleet.net;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.OptionalLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the forms of Retry-After that endpoints may send, and malformed ones. */
final class RetryAfterHeaderTest {
    private static final long NOW_EPOCH_MS = 784_111_777_000L; // Sun, 06 Nov 1994 08:49:37 GMT

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            nullValues = "-",
            value = {
                // Retry-After | Date | milliseconds, or 0 if there is no pause
                "3 | - | 3000",
                "0.25 | - | 250",
                "0.0001 | - | 1",
                "0 | - | 0",
                "-3 | - | 0",
                "99999999999999999999 | - | 2147483647",
                "3s | - | 0",
                "soon | - | 0",
                "NaN | - | 0",
                "1e9 | - | 0",
                "'' | - | 0",
                "Sun, 06 Nov 1994 08:49:42 GMT | - | 5000",
                "Sun, 06 Nov 1994 08:49:30 GMT | - | 0",
                "Sun, 06 Nov 1994 08:49:42 GMT | Sun, 06 Nov 1994 08:49:40 GMT | 2000",
                "Sun, 06 Nov 1994 08:49:42 GMT | yesterday | 5000",
                "Sun, 36 Nov 1994 08:49:42 GMT | - | 0",
            })
    void readsSecondsAndDates(String retryAfter, String date, long expectedMs) {
        final HttpHeaders headers = new DefaultHttpHeaders(false).set(HttpHeaderNames.RETRY_AFTER, retryAfter);
        if (date != null) {
            headers.set(HttpHeaderNames.DATE, date);
        }

        assertThat(RetryAfterHeader.parseMs(headers, NOW_EPOCH_MS))
                .isEqualTo(expectedMs == 0 ? OptionalLong.empty() : OptionalLong.of(expectedMs));
    }
}
