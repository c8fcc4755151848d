package org.wigeongrade.decisions.outcomes;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Assembles one caller's streamed response from the streams of one or more attempts.
 *
 * <p>Invariants: {@link #text()} is exactly the text that was forwarded to the caller, so a continuation after it
 * neither loses nor repeats text. Events of an abandoned attempt have no effect. The caller's stream ends as complete
 * only after an attempt sent both a finish reason and the {@code [DONE]} marker. The finish event and the events after
 * it are held back until that marker arrives, since the stream may still break off between them. Held are at most
 * {@link #MAX_HELD_CHARS} of such events, and {@link #MAX_TEXT_CHARS} of text; a longer text is forwarded, but is no
 * longer kept, so that no other attempt can continue it.
 *
 * <p>Not thread-safe: used by one request's worker.
 */
public final class StreamAssembler {
    /** Data of the event that ends a complete stream. */
    public static final String DONE_MARKER = "[DONE]";

    /** Longest text that is kept so that another attempt can continue it, in characters. */
    static final int MAX_TEXT_CHARS = 2 * 1024 * 1024;
    /** Longest events that are held back from the finish event on, in characters of all together. */
    static final int MAX_HELD_CHARS = 1024 * 1024;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final String responseId;
    private final StringBuilder text = new StringBuilder();
    private int attempt;
    private boolean attemptOpen;
    private boolean forwardedAny;
    private boolean resumable = true;
    private boolean complete;
    private Optional<String> upstreamId = Optional.empty();
    private final List<String> heldFinishEvents = new ArrayList<>();
    private long heldChars;

    /** @param responseId the id that all events forwarded to the caller carry */
    public StreamAssembler(String responseId) {
        this.responseId = responseId;
    }

    /**
     * Starts the next attempt, which must continue after {@link #text()}, and returns its number for {@link #accept}.
     */
    public int beginAttempt() {
        attempt++;
        attemptOpen = true;
        upstreamId = Optional.empty();
        heldFinishEvents.clear();
        heldChars = 0;
        return attempt;
    }

    /** Processes the data of one complete event of the attempt. */
    public StreamAction accept(int fromAttempt, String data) {
        if (fromAttempt != attempt || !attemptOpen) {
            return new StreamAction.Nothing();
        }
        if (complete) {
            return fail(AttemptEvent.ANSWER_MISMATCHED, "the stream continued after its [DONE] marker");
        }
        if (data.equals(DONE_MARKER)) {
            return finish();
        }
        return parse(data)
                .map(this::acceptChunk)
                .orElseGet(() -> fail(AttemptEvent.CUT_SHORT, "an event of the stream is not a JSON object"));
    }

    /**
     * Handles the end of the attempt's stream. Returns the failure; empty if the response was already complete or the
     * attempt is no longer active.
     */
    public Optional<StreamAction.Fail> ended(int fromAttempt) {
        if (complete || fromAttempt != attempt || !attemptOpen) {
            return Optional.empty();
        }
        return Optional.of(fail(AttemptEvent.CUT_SHORT, "the stream ended before its [DONE] marker"));
    }

    /**
     * Returns the text forwarded so far, which the next attempt must carry in {@code continue_from}; of use only while
     * the response is resumable.
     */
    public String text() {
        return text.toString();
    }

    /** Returns whether any event was forwarded. */
    public boolean forwardedAny() {
        return forwardedAny;
    }

    /**
     * Returns whether another attempt may continue: the response is not complete, has one choice and consists only of
     * text that is short enough to be kept.
     */
    public boolean isResumable() {
        return resumable && !complete;
    }

    /** Returns whether the caller's response is complete. */
    public boolean isComplete() {
        return complete;
    }

    private StreamAction finish() {
        if (heldFinishEvents.isEmpty()) {
            return fail(AttemptEvent.CUT_SHORT, "the stream sent its [DONE] marker without a finish reason");
        }
        complete = true;
        forwardedAny = true;
        heldFinishEvents.add(DONE_MARKER);
        return new StreamAction.Finish(heldFinishEvents);
    }

    private StreamAction acceptChunk(ObjectNode chunk) {
        if (chunk.has("error")) {
            return fail(AttemptEvent.CUT_SHORT, "the endpoint ended the stream with an error event");
        }
        if (!isOfSameResponse(chunk)) {
            return fail(AttemptEvent.ANSWER_MISMATCHED, "the stream contains events of two responses");
        }
        if (!heldFinishEvents.isEmpty() && StreamChunk.hasContent(chunk)) {
            return fail(AttemptEvent.ANSWER_MISMATCHED, "the stream continued after its finish reason");
        }
        resumable &= StreamChunk.isPlainText(chunk);
        chunk.put("id", responseId);
        boolean hold = StreamChunk.isFinish(chunk) || !heldFinishEvents.isEmpty();
        return hold ? holdBack(chunk) : forward(chunk);
    }

    private StreamAction holdBack(ObjectNode chunk) {
        String content = StreamChunk.content(chunk);
        String held = (content.isEmpty() ? chunk : StreamChunk.withoutContent(chunk)).toString();
        heldChars += held.length();
        if (heldChars > MAX_HELD_CHARS) {
            heldFinishEvents.clear();
            return fail(
                    AttemptEvent.ANSWER_MISMATCHED,
                    "the events from the finish reason on exceed " + MAX_HELD_CHARS + " characters");
        }
        heldFinishEvents.add(held);
        return content.isEmpty() ? new StreamAction.Nothing() : forward(StreamChunk.withoutFinish(chunk));
    }

    private StreamAction forward(ObjectNode chunk) {
        String content = StreamChunk.content(chunk);
        boolean repeatsRoleEvent = attempt > 1 && forwardedAny && StreamChunk.isPlainText(chunk) && content.isEmpty();
        if (repeatsRoleEvent) {
            return new StreamAction.Nothing();
        }
        keep(content);
        forwardedAny = true;
        return new StreamAction.Forward(chunk.toString());
    }

    private void keep(String content) {
        if (text.length() + content.length() > MAX_TEXT_CHARS) {
            resumable = false;
        }
        if (resumable) {
            text.append(content);
        } else {
            text.setLength(0);
            text.trimToSize();
        }
    }

    private boolean isOfSameResponse(ObjectNode chunk) {
        Optional<String> id = Optional.ofNullable(chunk.get("id")).map(JsonNode::asText);
        if (id.isEmpty() || upstreamId.isEmpty()) {
            upstreamId = upstreamId.or(() -> id);
            return true;
        }
        return upstreamId.equals(id);
    }

    private StreamAction.Fail fail(AttemptEvent event, String message) {
        attemptOpen = false;
        return new StreamAction.Fail(event, message);
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
