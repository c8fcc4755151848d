package org.wigeongrade.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.wigeongrade.proof.Await;

/** What each client of a crowd sends before it stops and leaves its connection open, reading nothing. */
enum CrowdBehaviour {
    /** Opens a connection and sends nothing. */
    SILENT(600) {
        @Override
        void send(OutputStream out, String path) {}
    },
    /** A body within the limits in one piece, except for its last byte. */
    ONE_PIECE(100) {
        @Override
        void send(OutputStream out, String path) throws IOException {
            write(out, head(path, "Content-Length: " + BODY_BYTES + "\r\n") + "b".repeat(BODY_BYTES - 1));
        }
    },
    /** A body within the limits, one byte at a time, except for its last byte. */
    SMALL_PIECES(200) {
        @Override
        void send(OutputStream out, String path) throws IOException {
            write(out, head(path, "Content-Length: " + PIECES + "\r\n"));
            for (int piece = 1; piece < PIECES; piece++) {
                write(out, "b");
            }
        }
    },
    /** A body within the limits in chunks of one byte, without the last chunk. */
    CHUNKS(200) {
        @Override
        void send(OutputStream out, String path) throws IOException {
            write(out, head(path, "Transfer-Encoding: chunked\r\n") + "1\r\nb\r\n".repeat(CHUNKS_SENT));
        }
    },
    /** A body far over the limit, with its length. */
    FAR_OVER(100) {
        @Override
        void send(OutputStream out, String path) throws IOException {
            write(out, head(path, "Content-Length: " + 1_000L * FAR_OVER_BYTES + "\r\n") + "b".repeat(FAR_OVER_BYTES));
        }
    },
    /** A body far over the limit, in chunks. */
    FAR_OVER_CHUNKED(100) {
        @Override
        void send(OutputStream out, String path) throws IOException {
            final String chunk = "8000\r\n" + "b".repeat(0x8000) + "\r\n";
            write(out, head(path, "Transfer-Encoding: chunked\r\n"));
            for (int sent = 0; sent < FAR_OVER_BYTES; sent += 0x8000) {
                write(out, chunk);
            }
        }
    },
    /** A head within the limits that consists of very short fields, and a body without its last byte. */
    MANY_FIELDS(200) {
        @Override
        void send(OutputStream out, String path) throws IOException {
            write(out, head(path, "Content-Length: 10\r\n" + "a:1\r\n".repeat(FIELDS)) + "123456789");
        }
    },
    /** Many requests one after the other, whose responses are not read. */
    SENT_AHEAD(50) {
        @Override
        void send(OutputStream out, String path) throws IOException {
            final String request = "GET " + path + " HTTP/1.1\r\nHost: " + "h".repeat(LONG_HOST_CHARS) + "\r\n\r\n";
            for (int number = 0; number < REQUESTS_SENT_AHEAD; number++) {
                write(out, request);
            }
        }
    },
    /** Very many short requests one after the other, whose responses are not read. */
    SHORT_SENT_AHEAD(20) {
        @Override
        void send(OutputStream out, String path) throws IOException {
            final String requests = ("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n").repeat(SHORT_REQUESTS_AT_ONCE);
            for (int number = 0; number < SHORT_REQUESTS; number += SHORT_REQUESTS_AT_ONCE) {
                write(out, requests);
            }
        }
    },
    /** A head that arrives a byte at a time and stops half-way. */
    SLOW_HEAD(600) {
        @Override
        void send(OutputStream out, String path) throws IOException {
            final String head = head(path, "X-A: b\r\n");
            for (int at = 0; at < head.length() / 2; at++) {
                write(out, head.substring(at, at + 1));
                Await.sleepMs(SLOW_MS);
            }
        }
    },
    /** A body within the limits that arrives slowly and stops half-way. */
    SLOW_BODY(200) {
        @Override
        void send(OutputStream out, String path) throws IOException {
            write(out, head(path, "Content-Length: " + BODY_BYTES + "\r\n"));
            for (int sent = 0; sent < BODY_BYTES / 2; sent += SLOW_PIECE_BYTES) {
                write(out, "b".repeat(SLOW_PIECE_BYTES));
                Await.sleepMs(SLOW_MS);
            }
        }
    };

    /** Host that the published routes serve. */
    static final String HOST = "127.81.2.1";

    private static final int BODY_BYTES = 60_000;
    private static final int PIECES = 3_000;
    private static final int CHUNKS_SENT = 20_000;
    private static final int FAR_OVER_BYTES = 16 * 1_048_576;
    private static final int FIELDS = 3_100;
    private static final int LONG_HOST_CHARS = 8_000;
    private static final int REQUESTS_SENT_AHEAD = 2_000;
    private static final int SHORT_REQUESTS = 60_000;
    private static final int SHORT_REQUESTS_AT_ONCE = 500;
    private static final int SLOW_MS = 20;
    private static final int SLOW_PIECE_BYTES = 600;

    private final int clients;

    CrowdBehaviour(int clients) {
        this.clients = clients;
    }

    /** Returns the number of clients of the crowd. */
    int clients() {
        return clients;
    }

    /** Sends what this behaviour sends on one connection. */
    abstract void send(OutputStream out, String path) throws IOException;

    private static String head(String path, String fields) {
        return "POST " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Attempt-Id: crowd\r\n" + fields + "\r\n";
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
