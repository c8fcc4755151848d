package org.wigeongrade.responses;

import org.wigeongrade.metrics.ResponseFault;

/**
 * What is due next in a response. A state of syntax takes one byte at a time, where a line feed stands for a line end;
 * a state of a body takes bytes without looking at them. Immutable; safe for use from any thread.
 */
enum GrammarState {
    STATUS_LINE {
        @Override
        GrammarState next(ResponseGrammar grammar, int value) {
            final int at = grammar.lineBytes();
            if (at < STATUS_AT) {
                acceptVersion(grammar, at, value);
                return STATUS_LINE;
            }
            if (at < REASON_AT) {
                final boolean valid = isDigit(value) && (at > STATUS_AT || (value >= '1' && value <= '5'));
                require(grammar, valid, ResponseFault.STATUS);
                grammar.addStatusDigit(value - '0');
                return STATUS_LINE;
            }
            require(grammar, value == ' ' || value == LINE_FEED, ResponseFault.STATUS);
            return value == LINE_FEED ? FIELD_START : REASON;
        }
    },
    REASON {
        @Override
        GrammarState next(ResponseGrammar grammar, int value) {
            if (value == LINE_FEED) {
                return FIELD_START;
            }
            grammar.acceptText(value);
            return REASON;
        }
    },
    FIELD_START {
        @Override
        GrammarState next(ResponseGrammar grammar, int value) {
            if (value == LINE_FEED) {
                return grammar.endFields();
            }
            require(grammar, isToken(value), ResponseFault.FIELD_NAME);
            return FIELD_NAME;
        }
    },
    FIELD_NAME {
        @Override
        GrammarState next(ResponseGrammar grammar, int value) {
            if (value == ':') {
                grammar.endFieldName();
                return FIELD_VALUE;
            }
            require(grammar, isToken(value), ResponseFault.FIELD_NAME);
            return FIELD_NAME;
        }
    },
    FIELD_VALUE {
        @Override
        GrammarState next(ResponseGrammar grammar, int value) {
            if (value == LINE_FEED) {
                grammar.endField();
                return FIELD_START;
            }
            grammar.acceptText(value);
            return FIELD_VALUE;
        }
    },
    CHUNK_SIZE {
        @Override
        GrammarState next(ResponseGrammar grammar, int value) {
            if (grammar.lineBytes() == 0) {
                grammar.beginChunkSize();
            } else if (value == LINE_FEED) {
                return grammar.endChunkSize();
            } else if (isBlank(value)) {
                return CHUNK_EXTENSION_START;
            } else if (value == ';') {
                return CHUNK_EXTENSION;
            }
            final int digit = Character.digit(value, HEXADECIMAL);
            require(grammar, digit >= 0, ResponseFault.CHUNK_SIZE);
            grammar.addChunkSizeDigit(digit);
            return CHUNK_SIZE;
        }
    },
    CHUNK_EXTENSION_START {
        @Override
        GrammarState next(ResponseGrammar grammar, int value) {
            if (value == ';') {
                return CHUNK_EXTENSION;
            }
            require(grammar, isBlank(value), ResponseFault.CHUNK_SIZE);
            return CHUNK_EXTENSION_START;
        }
    },
    /** Recipients ignore extensions that they do not know, whatever their names and values are. */
    CHUNK_EXTENSION {
        @Override
        GrammarState next(ResponseGrammar grammar, int value) {
            if (value == LINE_FEED) {
                return grammar.endChunkSize();
            }
            requireText(grammar, value);
            return CHUNK_EXTENSION;
        }
    },
    CHUNK {
        @Override
        boolean isBody() {
            return true;
        }

        @Override
        GrammarState afterBody() {
            return CHUNK_END;
        }
    },
    CHUNK_END {
        @Override
        GrammarState next(ResponseGrammar grammar, int value) {
            require(grammar, value == LINE_FEED, ResponseFault.CHUNK_END);
            return CHUNK_SIZE;
        }
    },
    BODY_WITH_LENGTH {
        @Override
        boolean isBody() {
            return true;
        }

        @Override
        GrammarState afterBody() {
            return COMPLETE;
        }
    },
    BODY_UNTIL_CLOSE {
        @Override
        boolean isBody() {
            return true;
        }
    },
    COMPLETE;

    static final int LINE_FEED = '\n';

    private static final String VERSION = "HTTP/1.";
    /** Index of the status in its line; the minor version and a blank precede it. */
    private static final int STATUS_AT = VERSION.length() + 2;

    private static final int REASON_AT = STATUS_AT + 3;
    private static final int HEXADECIMAL = 16;
    private static final int DELETE = 0x7f;
    private static final boolean[] IS_TOKEN = new boolean[256];

    static {
        for (int value = 0; value < DELETE; value++) {
            IS_TOKEN[value] = Character.isLetterOrDigit(value) || "!#$%&'*+-.^_`|~".indexOf(value) >= 0;
        }
    }

    /** Returns whether the bytes are those of a body. */
    boolean isBody() {
        return false;
    }

    /**
     * Accepts a byte of syntax and returns the state behind it.
     *
     * @throws InvalidResponseException if the byte cannot stand here
     */
    GrammarState next(ResponseGrammar grammar, int value) {
        throw new IllegalStateException(this + " takes no syntax, but got byte " + value);
    }

    /** Returns the state behind the last byte of a body whose length is known. */
    GrammarState afterBody() {
        throw new IllegalStateException(this + " does not end with a number of bytes");
    }

    static void requireText(ResponseGrammar grammar, int value) {
        require(grammar, value == '\t' || (value >= ' ' && value != DELETE), ResponseFault.TEXT);
    }

    private static void acceptVersion(ResponseGrammar grammar, int at, int value) {
        if (at < VERSION.length()) {
            require(grammar, value == VERSION.charAt(at), ResponseFault.STATUS_LINE);
        } else if (at == VERSION.length()) {
            require(grammar, isDigit(value), ResponseFault.STATUS_LINE);
            grammar.setMinorVersion(value - '0');
        } else {
            require(grammar, value == ' ', ResponseFault.STATUS_LINE);
        }
    }

    private static void require(ResponseGrammar grammar, boolean valid, ResponseFault fault) {
        if (!valid) {
            throw grammar.fault(fault);
        }
    }

    private static boolean isDigit(int value) {
        return value >= '0' && value <= '9';
    }

    private static boolean isBlank(int value) {
        return value == ' ' || value == '\t';
    }

    private static boolean isToken(int value) {
        return IS_TOKEN[value];
    }
}
