package org.wigeongrade.fleet.entry;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import org.wigeongrade.ids.VmName;

/**
 * Status and headers of an endpoint's answer, decoded. The headers are not changed after this.
 *
 * @param attemptId id of the request that the answer belongs to, if it says so
 * @param notRun whether the endpoint says that it did not run the request
 * @param signed whether the endpoint signed the answer
 * @param encoded whether the body is not that of the endpoint
 * @param faultyVm VM that the endpoint blames for a refusal
 * @param reusableForMs how long the connection may stay idle; absent if it must not be used again
 * @param headers headers that may be passed on
 */
public record AnswerHead(
        int status,
        Optional<String> attemptId,
        boolean notRun,
        boolean signed,
        boolean encoded,
        Optional<VmName> faultyVm,
        OptionalLong reusableForMs,
        HttpHeaders headers) {
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int FIRST_SERVER_ERROR = 500;

    public boolean isSuccess() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }

    public boolean isServerError() {
        return status >= FIRST_SERVER_ERROR;
    }
}
