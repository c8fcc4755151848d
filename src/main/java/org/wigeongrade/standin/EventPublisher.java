package org.wigeongrade.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Hands text events to one subscriber as fast as it asks for them.
 *
 * <p>Invariant: events come in the order in which they were put; nothing follows the end. Safe for use from any thread.
 */
final class EventPublisher implements Publisher<String>, Subscription {
    private final Deque<String> events = new ArrayDeque<>();
    private final Runnable onCancel;
    private Subscriber<? super String> subscriber;
    private long demand;
    private boolean ended;
    private boolean closed;
    private boolean draining;

    /** {@code onCancel} is called when the subscriber goes away before the end. */
    EventPublisher(Runnable onCancel) {
        this.onCancel = onCancel;
    }

    @Override
    public void subscribe(Subscriber<? super String> newSubscriber) {
        synchronized (this) {
            subscriber = newSubscriber;
        }
        newSubscriber.onSubscribe(this);
        drain();
    }

    /** Adds an event. */
    void put(String event) {
        synchronized (this) {
            events.addLast(event);
        }
        drain();
    }

    /** Ends the stream after the events that were put. */
    void end() {
        synchronized (this) {
            ended = true;
        }
        drain();
    }

    @Override
    public void request(long count) {
        synchronized (this) {
            demand = Math.min(Long.MAX_VALUE - count, demand) + count;
        }
        drain();
    }

    @Override
    public void cancel() {
        synchronized (this) {
            closed = true;
            events.clear();
        }
        onCancel.run();
    }

    private void drain() {
        synchronized (this) {
            if (draining || subscriber == null) {
                return;
            }
            draining = true;
        }
        boolean more = handOne();
        while (more) {
            more = handOne();
        }
    }

    private boolean handOne() {
        String event;
        synchronized (this) {
            if (closed || (events.isEmpty() && !ended) || (!events.isEmpty() && demand == 0)) {
                draining = false;
                return false;
            }
            event = events.pollFirst();
            if (event == null) {
                closed = true;
                draining = false;
            } else {
                demand--;
            }
        }
        if (event == null) {
            subscriber.onComplete();
            return false;
        }
        subscriber.onNext(event);
        return true;
    }
}
