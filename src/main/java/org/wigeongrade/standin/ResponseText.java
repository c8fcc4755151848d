package org.wigeongrade.standin;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * The text that the stand-in engine generates. It is deterministic, so that a checker can verify a complete response.
 *
 * <p>Invariant: token {@code i} is a pure function of model, prompt digest and {@code i}; every token has
 * {@value #TOKEN_CHARS} characters. Stateless; safe for use from any thread.
 */
public final class ResponseText {
    /** Length of each token in characters, including its trailing space. */
    public static final int TOKEN_CHARS = 7;

    private ResponseText() {}

    /** Returns the digest that identifies a prompt: the first 16 hexadecimal digits of its SHA-256. */
    public static String digest(String prompt) {
        return Hashing.sha256()
                .hashString(prompt, StandardCharsets.UTF_8)
                .toString()
                .substring(0, 16);
    }

    /** Returns token {@code index} (from 0) of the response. */
    public static String token(String model, String promptDigest, int index) {
        String seed = model + '\n' + promptDigest + '\n' + index;
        String hash = Hashing.sha256().hashString(seed, StandardCharsets.UTF_8).toString();
        return hash.substring(0, TOKEN_CHARS - 1) + ' ';
    }

    /** Returns the first {@code tokens} tokens of the response. */
    public static String firstTokens(String model, String promptDigest, int tokens) {
        StringBuilder text = new StringBuilder(tokens * TOKEN_CHARS);
        for (int i = 0; i < tokens; i++) {
            text.append(token(model, promptDigest, i));
        }
        return text.toString();
    }
}
