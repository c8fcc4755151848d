package org.wigeongrade.command;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.proof.EndlessEndpoint;
import org.wigeongrade.settings.NodeAddress;

/** Calls of operators' commands to an address that answers without end. */
final class EndlessResponseTest {
    private static final long MAX_READ_BYTES = 64L * 1024 * 1024;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    /** A command read a response without end until its memory ran out; its timeout ended with the head. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                // what the response begins with | what follows without end
                "HTTP/1.1 200 OK\\r\\n\\r\\n | a",
                "HTTP/1.1 503 No\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n | 20\\r\\naaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\\r\\n",
                "HTTP/1.1 200 OK\\r\\n | X-Pad: a\\r\\n",
                "HTTP/1.1 200 OK\\r\\nX-Pad: | a",
                "HTTP/1.1 | a",
                "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n1;x= | a",
            })
    void responseWithoutEndIsGivenUp(String begin, String repeated) throws Exception {
        try (EndlessEndpoint entryVm = new EndlessEndpoint(
                begin.translateEscapes() + " ".repeat(begin.endsWith("1") ? 1 : 0), repeated.translateEscapes())) {
            final CallOutcome outcome = new EntryTransport()
                    .send(
                            new NodeAddress("127.0.0.1", entryVm.port()),
                            new OperatorCall("GET", "/v1/operator/state", ""),
                            TIMEOUT);

            assertThat(outcome).isInstanceOf(CallOutcome.Unknown.class);
            assertThat(entryVm.sentBytes()).isLessThan(MAX_READ_BYTES);
        }
    }
}
