package org.wigeongrade.responses;

/** Responses that endpoints may send, for the tests of each reader of responses. Immutable; safe for use from any thread. */
public enum SoundResponses {
    LENGTH("HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 3\r\n\r\nabc", 200, "abc"),
    LENGTH_IN_LOWER_CASE("HTTP/1.1 200 OK\r\nx-server-seal:s\r\ncontent-length:3\r\n\r\nabc", 200, "abc"),
    LENGTH_WITH_BLANKS("HTTP/1.1 200 OK\r\nX-Server-Seal: \t s\t \r\nContent-Length:  3 \r\n\r\nabc", 200, "abc"),
    NO_LENGTH("HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n\r\nabc", 200, "abc"),
    NO_LENGTH_IN_HTTP_1_0("HTTP/1.0 200 OK\r\nX-Server-Seal: s\r\n\r\nabc", 200, "abc"),
    LINE_FEEDS_ALONE("HTTP/1.1 200 OK\nX-Server-Seal: s\nContent-Length: 3\n\nabc", 200, "abc"),
    CHUNKS(Parts.CHUNKED + "1\r\na\r\n2\r\nbc\r\n0\r\n\r\n", 200, "abc"),
    CHUNKS_WITH_LINE_FEEDS_ALONE(
            "HTTP/1.1 200 OK\nX-Server-Seal: s\nTransfer-Encoding: Chunked\n\n1\na\n2\nbc\n0\n\n", 200, "abc"),
    CHUNKS_WITH_EXTENSIONS_AND_TRAILERS(
            Parts.CHUNKED + "01;a=\"b c\"\r\na\r\n2 ; d\r\nbc\r\n00\r\nX-Trailer: a\r\nX-Other:\r\n\r\n", 200, "abc"),
    LINE_ENDS_IN_A_CHUNK(Parts.CHUNKED + "A\r\na\r\n0\r\n\r\n\r\n\r\n0\r\n\r\n", 200, "a\r\n0\r\n\r\n\r\n"),
    STATUS_LINE_IN_THE_BODY(
            "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 19\r\n\r\nHTTP/1.1 000 X\r\n\0: ",
            200,
            "HTTP/1.1 000 X\r\n\0: "),
    CONTINUE_BEFORE("HTTP/1.1 100 Continue\r\n\r\n" + Parts.SUCCESS, 200, "abc"),
    EARLY_HINTS_BEFORE("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + Parts.SUCCESS, 200, "abc"),
    TWO_INTERIM_RESPONSES_BEFORE("HTTP/1.1 102 \r\n\r\nHTTP/1.1 100\r\n\r\n" + Parts.SUCCESS, 200, "abc"),
    NO_CONTENT("HTTP/1.1 204 No Content\r\nX-Server-Seal: s\r\n\r\n", 204, ""),
    EMPTY_BODY("HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 0\r\n\r\n", 200, ""),
    EMPTY_REASON("HTTP/1.1 200 \r\nX-Server-Seal: s\r\nContent-Length: 3\r\n\r\nabc", 200, "abc"),
    NO_REASON("HTTP/1.1 200\r\nX-Server-Seal: s\r\nContent-Length: 3\r\n\r\nabc", 200, "abc"),
    ODD_BUT_VALID_FIELDS(
            "HTTP/1.1 299 \u00e4 \t!\r\nX-Server-Seal: s\r\n!#$%&'*+-.^_`|~09aZ: \u00e9, \"\t:\\\r\nX-Empty:\r\n"
                    + "Content-Length: 3\r\n\r\nabc",
            299, "abc"),
    FAILURE("HTTP/1.1 599 Odd\r\nX-Server-Seal: s\r\nContent-Length: 3\r\n\r\nabc", 599, "abc");

    private final String bytes;
    private final int status;
    private final String body;

    SoundResponses(String bytes, int status, String body) {
        this.bytes = bytes;
        this.status = status;
        this.body = body;
    }

    /** Returns the bytes, each as the character with its value. */
    public String bytes() {
        return bytes;
    }

    public int status() {
        return status;
    }

    /** Returns the bytes of the body, each as the character with its value. */
    public String body() {
        return body;
    }

    private static final class Parts {
        static final String CHUNKED = "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
        static final String SUCCESS = "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 3\r\n\r\nabc";
    }
}
