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
 * A caller's answer body that grows while it is sent.
 *
 * <p>Invariant: pieces reach the one subscriber in order; while {@link #MAX_QUEUED_BYTES} or more wait for the caller,
 * the source is not asked for more. Thread safe: every field is guarded by this object's lock; the subscriber is called
 * under it, so that calls never overlap, and callbacks of the source run outside it.
 */
final class BodyStream implements Publisher<ByteBuf> {
    private static final int MAX_QUEUED_BYTES = 256 * 1024;

    private final Runnable onCancel;
    private final Deque<byte[]> queue = new ArrayDeque<>();
    private Optional<Subscriber<? super ByteBuf>> subscriber = Optional.empty();
    private Optional<Runnable> readMore = Optional.empty();
    private Optional<Throwable> failure = Optional.empty();
    private long demand;
    private int queuedBytes;
    private boolean completed;
    private boolean ended;

    /**
     * {@code onCancel} runs if the caller goes away before the end; it must take no lock on the calling thread, as that
     * thread may hold this object's lock.
     */
    BodyStream(Runnable onCancel) {
        this.onCancel = onCancel;
    }

    /** Adds a piece; {@code more} runs once the source may go on. */
    void push(byte[] piece, Runnable more) {
        final Optional<Runnable> due;
        synchronized (this) {
            if (!ended) {
                queue.addLast(piece);
                queuedBytes += piece.length;
            }
            readMore = Optional.of(more);
            due = drain();
        }
        due.ifPresent(Runnable::run);
    }

    /** Returns whether the caller takes the body so slowly that the source waits. */
    synchronized boolean isBlocked() {
        return readMore.isPresent();
    }

    /** Ends the body as whole. */
    void complete() {
        synchronized (this) {
            completed = true;
            drain();
        }
    }

    /** Ends the body early, by closing the caller's connection. */
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
                demanded(count);
            }

            @Override
            public void cancel() {
                cancelled();
            }
        });
    }

    private void demanded(long count) {
        final Optional<Runnable> due;
        synchronized (this) {
            demand = demand + count < 0 ? Long.MAX_VALUE : demand + count;
            due = drain();
        }
        due.ifPresent(Runnable::run);
    }

    private void cancelled() {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            queue.clear();
        }
        onCancel.run();
    }

    /** Sends what the caller asked for and returns the source's callback if it may go on. */
    private Optional<Runnable> drain() {
        if (ended || subscriber.isEmpty()) {
            return Optional.empty();
        }
        while (demand > 0 && !queue.isEmpty()) {
            final byte[] piece = queue.removeFirst();
            queuedBytes -= piece.length;
            demand--;
            subscriber.get().onNext(Unpooled.wrappedBuffer(piece));
        }
        if (queue.isEmpty() && failure.isPresent()) {
            ended = true;
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
        final Optional<Runnable> due = readMore;
        readMore = Optional.empty();
        return due;
    }
}
