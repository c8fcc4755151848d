package org.wigeongrade.decisions.control;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.hash.Hashing;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Encodes commands, results and snapshots as JSON in UTF-8.
 *
 * <p>Invariant: equal values have equal encodings, because properties are sorted and maps are not used. Stateless; safe
 * for use from any thread.
 */
public final class ControlCodec {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
            .defaultPropertyInclusion(
                    JsonInclude.Value.construct(JsonInclude.Include.NON_NULL, JsonInclude.Include.ALWAYS))
            .build();

    private ControlCodec() {}

    public static byte[] encode(Command command) {
        return encode(Command.class, command);
    }

    public static byte[] encode(CommandResult result) {
        return encode(CommandResult.class, result);
    }

    public static byte[] encode(ControlSnapshot snapshot) {
        return encode(ControlSnapshot.class, snapshot);
    }

    /** Decodes a command; throws {@link UncheckedIOException} if the bytes are not one. */
    public static Command decodeCommand(byte[] bytes) {
        return decode(Command.class, bytes);
    }

    /** Decodes a result; throws {@link UncheckedIOException} if the bytes are not one. */
    public static CommandResult decodeResult(byte[] bytes) {
        return decode(CommandResult.class, bytes);
    }

    /** Decodes a snapshot; throws {@link UncheckedIOException} if the bytes are not one. */
    public static ControlSnapshot decodeSnapshot(byte[] bytes) {
        return decode(ControlSnapshot.class, bytes);
    }

    /** Returns the SHA-256 of a command's encoding, in hexadecimal. */
    static String digest(Command command) {
        return Hashing.sha256().hashBytes(encode(command)).toString();
    }

    private static <T> byte[] encode(Class<T> type, T value) {
        try {
            return MAPPER.writerFor(type).writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(type.getSimpleName() + " cannot be encoded", e);
        }
    }

    private static <T> T decode(Class<T> type, byte[] bytes) {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException e) {
            throw new UncheckedIOException(type.getSimpleName() + " cannot be decoded", e);
        }
    }
}
