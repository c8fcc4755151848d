package org.wigeongrade.bench;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.wigeongrade.standin.Prompt;
import org.wigeongrade.standin.ResponseText;
import org.wigeongrade.standin.StandinJson;

/**
 * One request to a model together with the expected text of its response.
 *
 * <p>Immutable; safe for use from any thread.
 */
public record ModelCall(String path, String body, String operation, String promptDigest, String expectedText) {
    /** Returns a call; {@code operation} identifies it in the journals of the stand-ins. */
    public static ModelCall of(Workload workload, String model, String promptText, int maxTokens, String operation) {
        ObjectNode body = StandinJson.MAPPER.createObjectNode();
        body.put("model", model);
        body.put("max_tokens", maxTokens);
        body.put("stream", workload.isStream());
        body.put("user", operation);
        if (workload.isChat()) {
            body.putArray("messages")
                    .add(StandinJson.MAPPER.valueToTree(Map.of("role", "user", "content", promptText)));
        } else {
            body.put("prompt", promptText);
        }
        Prompt prompt = Prompt.of(body).orElseThrow();
        return new ModelCall(
                workload.path(),
                body.toString(),
                operation,
                prompt.digest(),
                ResponseText.firstTokens(model, prompt.digest(), maxTokens));
    }
}
