package org.wigeongrade.fleet.entry;

import io.netty.handler.codec.http.HttpHeaders;

/** An endpoint's answer that is not streamed. Not changed after it was made; used on the event loop only. */
@SuppressWarnings("ArrayRecordComponent")
record WholeAnswer(int status, HttpHeaders headers, byte[] body) {}
