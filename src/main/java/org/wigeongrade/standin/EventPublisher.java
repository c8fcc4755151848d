package org.wigeongrade.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Publishes text events to one subscriber, limited by its demand.
 *
 * <p>Invariant: events are delivered in the order in which they were published; nothing follows the end. Safe for use
 * from any thread.
 */
final class EventPublisher implements Publisher<String>, Subscription {
    private final Deque<String> events = new ArrayDeque<>();
    private final Runnable onCancel;
    private Subscriber<? super String> subscriber;
    private long demand;
    private boolean ended;
    private boolean closed;
    private boolean draining;

    /** Creates a publisher that calls {@code onCancel} when the subscriber cancels before the end. */
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

    /** Queues an event for delivery. */
    void publish(String event) {
        synchronized (this) {
            events.addLast(event);
        }
        drain();
    }

    /** Ends the stream after the events published so far. */
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
        boolean more = deliverNext();
        while (more) {
            more = deliverNext();
        }
    }

    private boolean deliverNext() {
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
