package org.wigeongrade.callers;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * The body of a response to a caller, sent chunk by chunk while it is produced, with backpressure to its source.
 *
 * <p>Invariant: chunks reach the one subscriber in order; while {@link #MAX_QUEUED_BYTES} or more are queued for the
 * caller, the source is not asked for more. Thread safe: every field is guarded by this object's lock. The subscriber
 * is called while the lock is held, so that calls never overlap; callbacks of the source run without it.
 */
final class ResponseBodyStream implements Publisher<ByteBuf> {
    private static final int MAX_QUEUED_BYTES = 256 * 1024;

    private final Runnable onCancel;
    private final Deque<byte[]> queue = new ArrayDeque<>();
    private Runnable resetConnection = () -> {};
    private Optional<Subscriber<? super ByteBuf>> subscriber = Optional.empty();
    private Optional<Runnable> readMore = Optional.empty();
    private Optional<Throwable> failure = Optional.empty();
    private long demand;
    private int queuedBytes;
    private boolean completed;
    private boolean ended;

    /**
     * Creates an empty body. {@code onCancel} runs if the caller disconnects before the end; it must not take a lock on
     * the calling thread, because that thread may hold this object's lock.
     */
    ResponseBodyStream(Runnable onCancel) {
        this.onCancel = onCancel;
    }

    /**
     * Sets what resets the caller's connection if the body fails. Ratpack ends a body that fails like a complete one, and
     * an orderly close is the end of a body that is not sent in chunks. Call it before the body is sent.
     */
    synchronized void resetOnFailure(Runnable resetCallerConnection) {
        resetConnection = resetCallerConnection;
    }

    /** Queues a chunk; {@code resumeSource} runs once the source may produce the next one. */
    void push(byte[] chunk, Runnable resumeSource) {
        final Optional<Runnable> callback;
        synchronized (this) {
            if (!ended) {
                queue.addLast(chunk);
                queuedBytes += chunk.length;
            }
            readMore = Optional.of(resumeSource);
            callback = drain();
        }
        callback.ifPresent(Runnable::run);
    }

    /** Returns whether the source is paused because the caller reads the body too slowly. */
    synchronized boolean isSourcePaused() {
        return readMore.isPresent();
    }

    /** Marks the body as complete. */
    void complete() {
        synchronized (this) {
            completed = true;
            drain();
        }
    }

    /** Ends the body early, which resets the caller's connection. */
    void fail(Throwable cause) {
        synchronized (this) {
            failure = Optional.of(cause);
            drain();
        }
    }

    @Override
    public void subscribe(Subscriber<? super ByteBuf> newSubscriber) {
        synchronized (this) {
            subscriber = Optional.of(newSubscriber);
        }
        newSubscriber.onSubscribe(new Subscription() {
            @Override
            public void request(long count) {
                addDemand(count);
            }

            @Override
            public void cancel() {
                onSubscriptionCancelled();
            }
        });
    }

    private void addDemand(long count) {
        final Optional<Runnable> callback;
        synchronized (this) {
            demand = demand + count < 0 ? Long.MAX_VALUE : demand + count;
            callback = drain();
        }
        callback.ifPresent(Runnable::run);
    }

    private void onSubscriptionCancelled() {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            queue.clear();
        }
        onCancel.run();
    }

    /** Sends queued chunks up to the caller's demand; returns the source's callback if the source may continue. */
    private Optional<Runnable> drain() {
        if (ended || subscriber.isEmpty()) {
            return Optional.empty();
        }
        while (demand > 0 && !queue.isEmpty()) {
            final byte[] chunk = queue.removeFirst();
            queuedBytes -= chunk.length;
            demand--;
            subscriber.get().onNext(Unpooled.wrappedBuffer(chunk));
        }
        if (queue.isEmpty() && failure.isPresent()) {
            ended = true;
            resetConnection.run();
            subscriber.get().onError(failure.get());
        } else if (queue.isEmpty() && completed) {
            ended = true;
            subscriber.get().onComplete();
        }
        return takeReadMore();
    }

    private Optional<Runnable> takeReadMore() {
        if (queuedBytes >= MAX_QUEUED_BYTES) {
            return Optional.empty();
        }
        final Optional<Runnable> callback = readMore;
        readMore = Optional.empty();
        return callback;
    }
}
