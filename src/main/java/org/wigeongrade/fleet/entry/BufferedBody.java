package org.wigeongrade.fleet.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/**
 * The body of a response that is not streamed, from its first bytes until it was written to the caller. Used on the
 * event loop only.
 *
 * <p>Invariants: its bytes count against the limits of {@link BufferedBodies} until it is released; it takes about as much
 * memory in many small pieces as in one.
 */
final class BufferedBody {
    /** The connection that a body is read from. */
    interface Source {
        /** Resumes or pauses reading. */
        void setReading(boolean enabled);

        /** Ends the response, because its body cannot be held. */
        void giveUp(String cause);
    }

    /** Smaller pieces are copied into a part of this size. */
    private static final int PART_BYTES = 8 * 1024;

    private final BufferedBodies bodies;
    private final Source source;
    private final List<ByteBuf> parts = new ArrayList<>();
    private int sizeBytes;
    private boolean reading = true;
    private boolean complete;
    private boolean released;

    BufferedBody(BufferedBodies bodies, Source source) {
        this.bodies = bodies;
        this.source = source;
    }

    /** Adds bytes, unless a limit is reached and the response was given up. */
    void append(byte[] bytes) {
        if (sizeBytes + (long) bytes.length > bodies.maxBodyBytes()) {
            giveUp("the response exceeds " + bodies.maxBodyBytes() + " bytes");
        } else if (bodies.add(this, bytes.length)) {
            hold(bytes);
        }
    }

    private void hold(byte[] bytes) {
        if (!parts.isEmpty() && parts.get(parts.size() - 1).maxWritableBytes() >= bytes.length) {
            parts.get(parts.size() - 1).writeBytes(bytes);
        } else if (bytes.length >= PART_BYTES) {
            parts.add(Unpooled.wrappedBuffer(bytes));
        } else {
            parts.add(Unpooled.buffer(bytes.length, PART_BYTES).writeBytes(bytes));
        }
    }

    int sizeBytes() {
        return sizeBytes;
    }

    boolean isReleased() {
        return released;
    }

    /** Returns whether this node has stopped reading the body for now. */
    boolean isPaused() {
        return !reading;
    }

    /** Returns whether all bytes have arrived. */
    boolean isComplete() {
        return complete;
    }

    void markComplete() {
        complete = true;
    }

    /** Returns the bytes without copying them; they must not be modified. */
    ByteBuf toBuffer() {
        return Unpooled.wrappedBuffer(parts.toArray(new ByteBuf[0]));
    }

    /** Frees the bytes, once they were written or are no longer needed. May be called more than once. */
    void release() {
        if (!released) {
            released = true;
            bodies.remove(this);
            parts.clear();
        }
    }

    void reserved(int bytes) {
        sizeBytes += bytes;
    }

    void giveUp(String cause) {
        release();
        source.giveUp(cause);
    }

    void setReading(boolean enabled) {
        if (reading != enabled) {
            reading = enabled;
            source.setReading(enabled);
        }
    }
}
