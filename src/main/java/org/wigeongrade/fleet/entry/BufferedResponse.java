package org.wigeongrade.fleet.entry;

import io.netty.handler.codec.http.HttpHeaders;

/** An endpoint's complete response that is not streamed. Never modified; used on the event loop only. */
record BufferedResponse(int status, HttpHeaders headers, BufferedBody body) {}
