package org.wigeongrade.callers;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;

/** Tests which request bodies are accepted, and what the messages about invalid ones say. */
final class GenerationRequestTest {
    private static final String BODY_TEMPLATE =
            "{\"model\":%s,\"messages\":%s,\"max_tokens\":%s,\"stream\":%s,\"priority\":%s}";
    private static final String MESSAGES = "[{\"role\":\"user\",\"content\":\"hi\"}]";

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '~',
            value = {
                "7 | " + MESSAGES + " | 1 | true | 0 | 'model'",
                "\"m\" | [] | 1 | true | 0 | 'messages' must be a non-empty list",
                "\"m\" | \"hi\" | 1 | true | 0 | 'messages' must be a non-empty list",
                "\"m\" | " + MESSAGES + " | 0 | true | 0 | 'max_tokens' must be a whole number of 1 or more",
                "\"m\" | " + MESSAGES + " | \"x\" | true | 0 | 'max_tokens' must be a whole number of 1 or more",
                "\"m\" | " + MESSAGES + " | 1.5 | true | 0 | 'max_tokens' must be a whole number of 1 or more",
                "\"m\" | " + MESSAGES + " | 5000000000 | true | 0 | 'max_tokens' must be a whole number",
                "\"m\" | " + MESSAGES + " | 1 | \"yes\" | 0 | 'stream' must be true or false",
                "\"m\" | " + MESSAGES + " | 1 | true | 101 | 'priority' must be a whole number from -100 to 100",
                "\"m\" | " + MESSAGES + " | 1 | true | 0} { | not JSON"
            })
    void rejectsInvalidBodyAndNamesTheField(
            String model, String messages, String maxTokens, String stream, String priority, String expected) {
        final byte[] body = BODY_TEMPLATE
                .formatted(model, messages, maxTokens, stream, priority)
                .getBytes(StandardCharsets.UTF_8);

        final WigeongradeException failure =
                assertThrows(WigeongradeException.class, () -> GenerationRequest.read(GenerationApi.CHAT, body));

        assertThat(failure.kind()).isEqualTo(ErrorKind.MALFORMED_REQUEST);
        assertThat(failure).hasMessageThat().contains(expected);
    }

    @ParameterizedTest
    @CsvSource({"1, true, 0, 1", "null, null, null, 256", "64, false, -100, 64"})
    void readsValidBody(String maxTokens, String stream, String priority, long expectedMaxTokens) {
        final byte[] body = BODY_TEMPLATE
                .formatted("\"m\"", MESSAGES, maxTokens, stream, priority)
                .getBytes(StandardCharsets.UTF_8);

        final GenerationRequest request = GenerationRequest.read(GenerationApi.CHAT, body);

        assertThat(request.maxTokens()).isEqualTo(expectedMaxTokens);
        assertThat(request.stream()).isEqualTo(stream.equals("true"));
    }
}
