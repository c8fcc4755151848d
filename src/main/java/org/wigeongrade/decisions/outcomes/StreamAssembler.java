package org.wigeongrade.decisions.outcomes;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Puts one caller's streamed answer together from the streams of one or more attempts.
 *
 * <p>Invariants: {@link #text()} is exactly the text that was handed on for the caller, so a continuation after it loses
 * and doubles nothing; an event of an attempt that was given up changes nothing; the caller's stream ends as whole only
 * after an attempt sent both a finish reason and the end mark. The finish event and what follows it are held back
 * until the end mark, as the stream may still be cut between them.
 *
 * <p>Not thread-safe: one request's worker uses it.
 */
public final class StreamAssembler {
    /** Event that ends a whole stream. */
    public static final String END_MARK = "[DONE]";

    private static final ObjectMapper JSON = new ObjectMapper();

    private final String answerId;
    private final StringBuilder text = new StringBuilder();
    private int attempt;
    private boolean attemptOpen;
    private boolean forwardedAny;
    private boolean resumable = true;
    private boolean whole;
    private Optional<String> upstreamId = Optional.empty();
    private final List<String> heldFinish = new ArrayList<>();

    /** @param answerId the id that all events carry towards the caller */
    public StreamAssembler(String answerId) {
        this.answerId = answerId;
    }

    /**
     * Begins the next attempt, which must continue after {@link #text()}, and returns its number for {@link #accept}.
     */
    public int beginAttempt() {
        attempt++;
        attemptOpen = true;
        upstreamId = Optional.empty();
        heldFinish.clear();
        return attempt;
    }

    /** Takes in the data of one whole event of the attempt. */
    public StreamStep accept(int fromAttempt, String data) {
        if (fromAttempt != attempt || !attemptOpen) {
            return new StreamStep.Nothing();
        }
        if (whole) {
            return fail(AttemptEvent.ANSWER_MISMATCHED, "the stream went on after its end mark");
        }
        if (data.equals(END_MARK)) {
            return finish();
        }
        return parse(data)
                .map(this::acceptChunk)
                .orElseGet(() -> fail(AttemptEvent.CUT_SHORT, "an event of the stream is no JSON object"));
    }

    /** Tells that the attempt's stream ended; empty if the answer was whole by then. */
    public Optional<StreamStep.Fail> ended(int fromAttempt) {
        if (whole || fromAttempt != attempt || !attemptOpen) {
            return Optional.empty();
        }
        return Optional.of(fail(AttemptEvent.CUT_SHORT, "the stream ended before its end mark"));
    }

    /** Returns the text handed on so far: what {@code continue_from} of the next attempt must carry. */
    public String text() {
        return text.toString();
    }

    /** Returns whether any event was handed on. */
    public boolean forwardedAny() {
        return forwardedAny;
    }

    /** Returns whether another attempt may continue: the answer has one choice and nothing but text. */
    public boolean isResumable() {
        return resumable && !whole;
    }

    /** Returns whether the caller's answer is whole. */
    public boolean isWhole() {
        return whole;
    }

    private StreamStep finish() {
        if (heldFinish.isEmpty()) {
            return fail(AttemptEvent.CUT_SHORT, "the end mark came without a finish reason");
        }
        whole = true;
        forwardedAny = true;
        heldFinish.add(END_MARK);
        return new StreamStep.Finish(heldFinish);
    }

    private StreamStep acceptChunk(ObjectNode chunk) {
        if (chunk.has("error")) {
            return fail(AttemptEvent.CUT_SHORT, "the endpoint ended the stream with an error event");
        }
        if (!isOfSameAnswer(chunk)) {
            return fail(AttemptEvent.ANSWER_MISMATCHED, "the stream carries events of two answers");
        }
        if (!heldFinish.isEmpty() && StreamChunk.hasContent(chunk)) {
            return fail(AttemptEvent.ANSWER_MISMATCHED, "the stream went on after its finish reason");
        }
        resumable &= StreamChunk.isPlainText(chunk);
        chunk.put("id", answerId);
        boolean hold = StreamChunk.isFinish(chunk) || !heldFinish.isEmpty();
        return hold ? hold(chunk) : forward(chunk);
    }

    private StreamStep hold(ObjectNode chunk) {
        String content = StreamChunk.content(chunk);
        if (content.isEmpty()) {
            heldFinish.add(chunk.toString());
            return new StreamStep.Nothing();
        }
        heldFinish.add(StreamChunk.withoutContent(chunk).toString());
        return forward(StreamChunk.withoutFinish(chunk));
    }

    private StreamStep forward(ObjectNode chunk) {
        String content = StreamChunk.content(chunk);
        boolean repeatsOpening = attempt > 1 && forwardedAny && StreamChunk.isPlainText(chunk) && content.isEmpty();
        if (repeatsOpening) {
            return new StreamStep.Nothing();
        }
        text.append(content);
        forwardedAny = true;
        return new StreamStep.Forward(chunk.toString());
    }

    private boolean isOfSameAnswer(ObjectNode chunk) {
        Optional<String> id = Optional.ofNullable(chunk.get("id")).map(JsonNode::asText);
        if (id.isEmpty() || upstreamId.isEmpty()) {
            upstreamId = upstreamId.or(() -> id);
            return true;
        }
        return upstreamId.equals(id);
    }

    private StreamStep.Fail fail(AttemptEvent event, String message) {
        attemptOpen = false;
        return new StreamStep.Fail(event, message);
    }

    private static Optional<ObjectNode> parse(String data) {
        try {
            JsonNode node = JSON.readTree(data);
            return node instanceof ObjectNode object ? Optional.of(object) : Optional.empty();
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}
