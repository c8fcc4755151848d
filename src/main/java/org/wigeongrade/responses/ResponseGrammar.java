package org.wigeongrade.responses;

import com.google.common.base.Ascii;
import com.google.common.base.CharMatcher;
import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import java.util.Optional;
import org.wigeongrade.metrics.ResponseFault;

/**
 * Checks the bytes of the responses on one connection against the grammar of RFC 9110 and RFC 9112, before they are
 * decoded. It is as strict as the grammar is for senders, except that it takes a line feed alone for a line end and lets
 * the blank before an empty reason be absent, which RFC 9112 allows recipients and which leaves no doubt.
 *
 * <p>Invariants: no byte is accepted unless a valid response can begin with it and all those before it; bytes of a body
 * are counted, not looked at; it holds at most {@link #MAX_KEPT_CHARACTERS} of a line. Not thread safe; used by one
 * event loop.
 */
final class ResponseGrammar {
    /** Interim responses to one request; endpoints send one at most. */
    private static final int MAX_INTERIM_RESPONSES = 8;
    /** Characters of a line that are kept for its name, its value and messages. */
    private static final int MAX_KEPT_CHARACTERS = 128;
    /** Digits of a length that always fits into a long. */
    private static final int MAX_LENGTH_DIGITS = 18;

    private static final int CARRIAGE_RETURN = '\r';
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final long NO_LENGTH = -1;
    private static final CharMatcher DIGIT = CharMatcher.inRange('0', '9');
    private static final CharMatcher BLANK = CharMatcher.anyOf(" \t");

    private final StringBuilder line = new StringBuilder(MAX_KEPT_CHARACTERS);
    private final StatusLineSearch statusLineSearch = new StatusLineSearch();
    private final ByteProcessor syntaxProcessor = this::acceptByte;
    private GrammarState state = GrammarState.COMPLETE;
    private boolean answersHead;
    private int interimResponses;
    private int lineBytes;
    private int nameBytes;
    private boolean afterCarriageReturn;
    private int minorVersion;
    private int status;
    private long contentLengthBytes;
    private boolean chunked;
    private boolean bodyless;
    private boolean inTrailers;
    private long remainingBytes;
    private int acceptedSyntaxBytes;
    private Optional<InvalidResponseException> rejection = Optional.empty();

    /** Starts with the responses to the next request; {@code head} is whether its method is HEAD. */
    void start(boolean head) {
        answersHead = head;
        interimResponses = 0;
    }

    /** Returns whether all bytes of a response, which may be an interim one, were accepted, and none of the next. */
    boolean isComplete() {
        return state == GrammarState.COMPLETE;
    }

    /** Returns whether the response whose head was accepted last has no body, whatever its fields say. */
    boolean isBodyless() {
        return bodyless;
    }

    /** Returns why the byte behind the last accepted one was rejected, if it was; no byte is accepted after it. */
    Optional<InvalidResponseException> rejection() {
        return rejection;
    }

    /**
     * Accepts bytes up to the end of the present response, or of the next one if that is complete, or up to the first
     * byte with which no response can go on. Returns the index behind the last accepted byte.
     */
    int accept(ByteBuf bytes, int from, int to) {
        if (isComplete()) {
            beginHead();
        }
        int at = from;
        while (at < to && !isComplete() && rejection.isEmpty()) {
            at = state.isBody() ? acceptBody(at, to) : acceptSyntax(bytes, at, to);
        }
        return at;
    }

    private int acceptBody(int from, int to) {
        if (state == GrammarState.BODY_UNTIL_CLOSE) {
            return to;
        }
        final int acceptedBytes = (int) Math.min(remainingBytes, to - from);
        remainingBytes -= acceptedBytes;
        if (remainingBytes == 0) {
            state = state.afterBody();
        }
        return from + acceptedBytes;
    }

    private int acceptSyntax(ByteBuf bytes, int from, int to) {
        acceptedSyntaxBytes = 0;
        try {
            final int unused = bytes.forEachByte(from, to - from, syntaxProcessor);
        } catch (InvalidResponseException e) {
            rejection = Optional.of(e);
        }
        return from + acceptedSyntaxBytes;
    }

    /** Returns whether another byte of syntax may follow. */
    private boolean acceptByte(byte signed) {
        final int value = Byte.toUnsignedInt(signed);
        if (afterCarriageReturn && value != GrammarState.LINE_FEED) {
            throw fault(ResponseFault.LINE_END);
        }
        afterCarriageReturn = value == CARRIAGE_RETURN;
        if (afterCarriageReturn) {
            acceptedSyntaxBytes++;
            return true;
        }
        if (value != GrammarState.LINE_FEED && line.length() < MAX_KEPT_CHARACTERS) {
            line.append((char) value);
        }
        state = state.next(this, value);
        acceptedSyntaxBytes++;
        lineBytes++;
        if (value == GrammarState.LINE_FEED) {
            beginLine();
        }
        return !state.isBody() && !isComplete();
    }

    private void beginHead() {
        state = GrammarState.STATUS_LINE;
        status = 0;
        contentLengthBytes = NO_LENGTH;
        chunked = false;
        inTrailers = false;
        beginLine();
    }

    private void beginLine() {
        line.setLength(0);
        lineBytes = 0;
        statusLineSearch.reset();
    }

    InvalidResponseException fault(ResponseFault fault) {
        return new InvalidResponseException(fault, line);
    }

    /** Returns the number of bytes of the present line before the one that is being accepted. */
    int lineBytes() {
        return lineBytes;
    }

    void setMinorVersion(int digit) {
        minorVersion = digit;
    }

    void addStatusDigit(int digit) {
        status = status * 10 + digit;
    }

    void endFieldName() {
        nameBytes = lineBytes;
    }

    /** Checks a byte of a reason or of a value. */
    void acceptText(int value) {
        GrammarState.requireText(this, value);
        if (statusLineSearch.findsIn(value)) {
            throw fault(ResponseFault.JOINED_HEADS);
        }
    }

    void endField() {
        if (inTrailers || nameBytes >= line.length()) {
            return;
        }
        final String name = line.substring(0, nameBytes);
        if (Ascii.equalsIgnoreCase(name, "content-length")) {
            readContentLength(valueOfLine());
        } else if (Ascii.equalsIgnoreCase(name, "transfer-encoding")) {
            readTransferEncoding(valueOfLine());
        }
    }

    private String valueOfLine() {
        // The value of a line that was not kept whole is unknown.
        require(line.length() == lineBytes);
        return BLANK.trimFrom(line.substring(nameBytes + 1));
    }

    private void readContentLength(String value) {
        require(contentLengthBytes == NO_LENGTH);
        require(!value.isEmpty() && value.length() <= MAX_LENGTH_DIGITS && DIGIT.matchesAllOf(value));
        contentLengthBytes = Long.parseLong(value);
    }

    private void readTransferEncoding(String value) {
        require(!chunked && Ascii.equalsIgnoreCase(value, "chunked") && minorVersion > 0);
        chunked = true;
    }

    private void require(boolean condition) {
        if (!condition) {
            throw fault(ResponseFault.BODY_LENGTH);
        }
    }

    /** Returns the state behind the empty line that ends a head or the trailers. */
    GrammarState endFields() {
        if (inTrailers) {
            return GrammarState.COMPLETE;
        }
        require(!chunked || contentLengthBytes == NO_LENGTH);
        final boolean interim = status < FIRST_FINAL_STATUS;
        if (interim) {
            countInterimResponse();
        }
        bodyless = interim || answersHead || status == NO_CONTENT || status == NOT_MODIFIED;
        if (bodyless || contentLengthBytes == 0) {
            return GrammarState.COMPLETE;
        }
        if (chunked) {
            return GrammarState.CHUNK_SIZE;
        }
        remainingBytes = contentLengthBytes;
        return contentLengthBytes == NO_LENGTH ? GrammarState.BODY_UNTIL_CLOSE : GrammarState.BODY_WITH_LENGTH;
    }

    private void countInterimResponse() {
        interimResponses++;
        if (status == SWITCHING_PROTOCOLS) {
            throw fault(ResponseFault.SWITCHED_PROTOCOL);
        }
        if (interimResponses > MAX_INTERIM_RESPONSES) {
            throw fault(ResponseFault.INTERIM_RESPONSES);
        }
    }

    void beginChunkSize() {
        remainingBytes = 0;
    }

    void addChunkSizeDigit(int digit) {
        remainingBytes = remainingBytes * 16 + digit;
        if (remainingBytes > Integer.MAX_VALUE) {
            throw fault(ResponseFault.CHUNK_SIZE);
        }
    }

    /** Returns the state behind the line with the size of a chunk. */
    GrammarState endChunkSize() {
        inTrailers = remainingBytes == 0;
        return inTrailers ? GrammarState.FIELD_START : GrammarState.CHUNK;
    }
}
