package org.wigeongrade.responses;

import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.util.Arrays;
import java.util.stream.Stream;
import org.junit.jupiter.params.provider.Arguments;

/**
 * Bytes that are no response by RFC 9110 and RFC 9112, for the tests of each reader of responses. A reader that repairs
 * them would take each for a complete success of the platform's endpoints. Immutable; safe for use from any thread.
 */
public enum BrokenResponses {
    STATUS_000("HTTP/1.1 000 Trouble\r\n" + Parts.SEALED, "status"),
    STATUS_000_BEFORE_A_SUCCESS("HTTP/1.1 000 Trouble\r\n\r\n" + Parts.SUCCESS, "status"),
    STATUS_000_WITHOUT_LENGTH("HTTP/1.1 000 Trouble\r\nX-Server-Seal: s\r\n\r\nabc", "status"),
    STATUS_099("HTTP/1.1 099 Low\r\n" + Parts.SEALED, "status"),
    STATUS_600("HTTP/1.1 600 High\r\n" + Parts.SEALED, "status"),
    STATUS_999("HTTP/1.1 999 High\r\n" + Parts.SEALED, "status"),
    STATUS_1000("HTTP/1.1 1000 Long\r\n" + Parts.SEALED, "status"),
    STATUS_OF_TWO_DIGITS("HTTP/1.1 20 OK\r\n" + Parts.SEALED, "status"),
    STATUS_WITH_A_SIGN("HTTP/1.1 +200 OK\r\n" + Parts.SEALED, "status"),
    STATUS_WITH_A_LETTER("HTTP/1.1 20O OK\r\n" + Parts.SEALED, "status"),
    EMPTY_LINE_FIRST("\r\n" + Parts.SUCCESS, "status_line"),
    BLANK_FIRST(" " + Parts.SUCCESS, "status_line"),
    NUL_FIRST("\0" + Parts.SUCCESS, "status_line"),
    VERSION_IN_LOWER_CASE("http/1.1 200 OK\r\n" + Parts.SEALED, "status_line"),
    VERSION_2("HTTP/2.0 200 OK\r\n" + Parts.SEALED, "status_line"),
    VERSION_WITHOUT_MINOR("HTTP/1 200 OK\r\n" + Parts.SEALED, "status_line"),
    TWO_BLANKS_BEFORE_THE_STATUS("HTTP/1.1  200 OK\r\n" + Parts.SEALED, "status"),
    NO_HTTP("\u0001\u0002garbage", "status_line"),
    CONTROL_BYTE_IN_THE_REASON("HTTP/1.1 200 O\u0001K\r\n" + Parts.SEALED, "text"),
    STATUS_LINE_IN_THE_REASON("HTTP/1.1 200 OKHTTP/1.1 200 OK\r\n" + Parts.SEALED, "joined_heads"),
    SWITCHED_PROTOCOL("HTTP/1.1 101 Switching Protocols\r\n\r\n" + Parts.SUCCESS, "switched_protocol"),

    BLANK_IN_A_NAME(Parts.head("X Pad: a"), "field_name"),
    TAB_IN_A_NAME(Parts.head("X\tPad: a"), "field_name"),
    BLANK_BEFORE_THE_COLON(Parts.head("X-Pad : a"), "field_name"),
    BLANK_BEFORE_A_NAME(Parts.head(" X-Pad: a"), "field_name"),
    BLANK_AFTER_ANOTHER_LENGTH(Parts.head("Content-Length was: 2"), "field_name"),
    BLANK_IN_THE_ONLY_LENGTH("HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length was: 2\r\n\r\nabc", "field_name"),
    CONTROL_BYTE_BEFORE_A_NAME(Parts.head("\u0001X-Pad: a"), "field_name"),
    CONTROL_BYTE_IN_A_NAME(Parts.head("X\u0001Pad: a"), "field_name"),
    CONTROL_BYTE_AFTER_A_NAME(Parts.head("X-Pad\u0001: a"), "field_name"),
    CONTROL_BYTE_AFTER_THE_LENGTH(
            "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length\u0001: 2\r\n\r\nabc", "field_name"),
    NUL_IN_A_NAME(Parts.head("X\0Pad: a"), "field_name"),
    DELETE_IN_A_NAME(Parts.head("X\u007fPad: a"), "field_name"),
    NO_NAME(Parts.head(": a"), "field_name"),
    NO_COLON(Parts.head("X-Pad"), "field_name"),
    FOLDED_VALUE(Parts.head("X-Pad: a\r\n b"), "field_name"),
    NUL_IN_A_VALUE(Parts.head("X-Pad: a\0b"), "text"),
    ESCAPE_IN_A_VALUE(Parts.head("X-Pad: a\u001bb"), "text"),
    CARRIAGE_RETURN_IN_A_VALUE(Parts.head("X-Pad: a\rb"), "line_end"),
    STATUS_LINE_IN_A_VALUE(Parts.head("X-Pad: aHTTP/1.1 200 OK"), "joined_heads"),

    LENGTH_WITH_A_LETTER(Parts.body("Content-Length: 2x"), "body_length"),
    LENGTH_WITH_A_SIGN(Parts.body("Content-Length: +2"), "body_length"),
    NEGATIVE_LENGTH(Parts.body("Content-Length: -2"), "body_length"),
    EMPTY_LENGTH(Parts.body("Content-Length:"), "body_length"),
    TWO_LENGTHS(Parts.body("Content-Length: 2\r\nContent-Length: 3"), "body_length"),
    LENGTH_BEYOND_ALL_BOUNDS(Parts.body("Content-Length: 99999999999999999999"), "body_length"),
    LENGTH_AND_CHUNKS(Parts.chunked("Content-Length: 2\r\n", "3\r\nabc\r\n0\r\n\r\n"), "body_length"),
    UNKNOWN_CODING(Parts.body("Transfer-Encoding: gzip"), "body_length"),
    CHUNKS_OF_CHUNKS(Parts.body("Transfer-Encoding: chunked, chunked"), "body_length"),
    CHUNKS_IN_HTTP_1_0("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "body_length"),

    NO_CHUNK_SIZE(Parts.chunked("", "\r\nabc\r\n0\r\n\r\n"), "chunk_size"),
    CHUNK_SIZE_WITH_A_SIGN(Parts.chunked("", "+3\r\nabc\r\n0\r\n\r\n"), "chunk_size"),
    NEGATIVE_CHUNK_SIZE(Parts.chunked("", "-3\r\nabc\r\n0\r\n\r\n"), "chunk_size"),
    BLANK_BEFORE_A_CHUNK_SIZE(Parts.chunked("", " 3\r\nabc\r\n0\r\n\r\n"), "chunk_size"),
    TWO_CHUNK_SIZES(Parts.chunked("", "3 4\r\nabc\r\n0\r\n\r\n"), "chunk_size"),
    CHUNK_SIZE_BEYOND_ALL_BOUNDS(Parts.chunked("", "fffffffffffffffff\r\nabc\r\n0\r\n\r\n"), "chunk_size"),
    CHUNK_LONGER_THAN_ITS_SIZE(Parts.chunked("", "3\r\nabcd\r\n0\r\n\r\n"), "chunk_end"),
    CHUNK_WITHOUT_END(Parts.chunked("", "3\r\nabc0\r\n\r\n"), "chunk_end"),
    CONTROL_BYTE_IN_AN_EXTENSION(Parts.chunked("", "3;a=\u0001\r\nabc\r\n0\r\n\r\n"), "text"),
    BLANK_IN_A_TRAILER_NAME(Parts.chunked("", "3\r\nabc\r\n0\r\nX Pad: a\r\n\r\n"), "field_name"),
    CONTROL_BYTE_IN_A_TRAILER_NAME(Parts.chunked("", "3\r\nabc\r\n0\r\nX\u0001Pad: a\r\n\r\n"), "field_name"),
    RESPONSE_IN_THE_TRAILERS(Parts.chunked("", "3\r\nabc\r\n0\r\n" + Parts.SUCCESS), "field_name");

    private final String bytes;
    private final String faultCode;

    BrokenResponses(String bytes, String faultCode) {
        this.bytes = bytes;
        this.faultCode = faultCode;
    }

    /** Returns the bytes, each as the character with its value. */
    public String bytes() {
        return bytes;
    }

    /** Returns the code of the rule that the bytes break first. */
    public String faultCode() {
        return faultCode;
    }

    /** Returns each response, once before its connection stays open and once before it is closed. */
    public static Stream<Arguments> withBothEnds() {
        return Arrays.stream(values())
                .flatMap(response -> Stream.of(
                        arguments(response, ScriptedEndpoint.End.STAYS_OPEN),
                        arguments(response, ScriptedEndpoint.End.CLOSED)));
    }

    private static final class Parts {
        static final String SEALED = "X-Server-Seal: s\r\nContent-Length: 3\r\n\r\nabc";
        static final String SUCCESS = "HTTP/1.1 200 OK\r\n" + SEALED;

        static String head(String line) {
            return "HTTP/1.1 200 OK\r\n" + line + "\r\n" + SEALED;
        }

        static String body(String lines) {
            return "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n" + lines + "\r\n\r\nabc";
        }

        static String chunked(String lines, String chunks) {
            return "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n" + lines + "Transfer-Encoding: chunked\r\n\r\n" + chunks;
        }
    }
}
