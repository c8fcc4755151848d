package org.wigeongrade.fleet.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.balancing.EndpointLoad;
import org.wigeongrade.decisions.balancing.EngineModel;
import org.wigeongrade.decisions.balancing.LearnedOverhead;
import org.wigeongrade.decisions.published.PublishedConfiguration;
import org.wigeongrade.decisions.published.PublishedService;
import org.wigeongrade.fleet.thrift.CrashRecord;
import org.wigeongrade.fleet.thrift.RoutableRecord;
import org.wigeongrade.fleet.thrift.UsageRecord;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;

/**
 * The endpoints of the latest view with what this node saw of each. Used on the event loop only.
 *
 * <p>Invariant: an endpoint that left the view is kept while requests are in flight there, and gets no new ones.
 */
final class EndpointFleet {
    /** Endpoints that were used within this time are reported to the leader. */
    private static final long REPORTED_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** A report of other entry nodes that is older than this tells little of what they do now. */
    private static final long STALE_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    private final EventLog events;
    private final Map<VmName, EndpointLoad> routable = new HashMap<>();
    private final List<EndpointLoad> retired = new ArrayList<>();
    private final List<CrashRecord> crashes = new ArrayList<>();
    private final Map<VmName, String> faultyVms = new HashMap<>();
    private ImmutableMap<ModelVersionName, EngineModel> engines = ImmutableMap.of();
    private EntryView view;

    EndpointFleet(EventLog events, long nowNanos) {
        this.events = events;
        this.view = EntryView.nothing(nowNanos);
    }

    EntryView view() {
        return view;
    }

    /** Takes a newer view. */
    void apply(EntryView next, long nowNanos) {
        if (next.version() != view.version()) {
            engines = next.configuration().map(EndpointFleet::enginesOf).orElse(ImmutableMap.of());
        }
        if (next.term() != view.term() || next.changeNumber() != view.changeNumber()) {
            next.endpoints().forEach((vm, record) -> addOrUpdate(vm, record, nowNanos));
            retireMissing(next);
        }
        routable.forEach((vm, load) -> load.elsewhere(
                next.inFlightElsewhere().getOrDefault(vm.value(), 0),
                next.unreadTokensElsewhere().getOrDefault(vm.value(), 0)));
        retired.removeIf(load -> load.inFlight() == 0);
        view = next;
    }

    /** Returns the endpoints of a service, or of one of its models, in the zones that are in. */
    List<EndpointLoad> candidates(ServiceName service, Optional<ModelVersionName> model, long nowNanos) {
        if (nowNanos - view.sentNanos() > STALE_NANOS) {
            routable.values().forEach(this::estimateElsewhere);
        }
        return routable.values().stream()
                .filter(load -> load.service().equals(service))
                .filter(load -> load.model().equals(model))
                .filter(load -> !view.zonesOut().contains(load.zone()))
                .collect(ImmutableList.toImmutableList());
    }

    Optional<EngineModel> engine(Optional<ModelVersionName> model) {
        return model.map(engines::get);
    }

    /** Takes it that other entry nodes have as many requests at an endpoint as this one, at most those reported last. */
    private void estimateElsewhere(EndpointLoad load) {
        final int others = Math.max(0, view.entryNodes() - 1);
        final String vm = load.vm().vm().value();
        load.elsewhere(
                Math.min(view.inFlightElsewhere().getOrDefault(vm, 0), others * load.inFlight()),
                Math.min(view.unreadTokensElsewhere().getOrDefault(vm, 0), others * load.ownUnreadTokens()));
    }

    /** Takes the news that a request was in flight at an endpoint whose connection broke. */
    void crashed(String requestDigest, EndpointLoad load) {
        crashes.add(
                new CrashRecord(requestDigest, load.vm().vm().value(), load.vm().incarnation()));
    }

    /** Takes the news that an endpoint blamed a VM for its refusal. */
    void blamed(EndpointLoad load, VmName faulty) {
        faultyVms.put(load.vm().vm(), faulty.value());
    }

    /** Returns what happened at the endpoints of late, for the leader. */
    ImmutableList<UsageRecord> takeUsage(long nowNanos) {
        final ImmutableList.Builder<UsageRecord> usage = ImmutableList.builder();
        routable.values().stream()
                .filter(load -> load.wasActiveWithin(REPORTED_NANOS, nowNanos))
                .forEach(load -> usage.add(usageOf(load, nowNanos)));
        retired.forEach(load -> usage.add(usageOf(load, nowNanos)));
        return usage.build();
    }

    /** Returns the crashes since the last call. */
    ImmutableList<CrashRecord> takeCrashes() {
        final ImmutableList<CrashRecord> taken = ImmutableList.copyOf(crashes);
        crashes.clear();
        return taken;
    }

    /** Puts back crashes that the leader did not get. */
    void returnCrashes(List<CrashRecord> untold) {
        crashes.addAll(untold);
    }

    private UsageRecord usageOf(EndpointLoad load, long nowNanos) {
        return new UsageRecord(
                load.vm().vm().value(),
                load.vm().incarnation(),
                load.inFlight(),
                TimeUnit.NANOSECONDS.toMillis(load.stalledNanos(nowNanos)),
                load.takeRefusedConnection(),
                load.takeProgressed(),
                Optional.ofNullable(faultyVms.remove(load.vm().vm())).orElse(""),
                load.ownUnreadTokens());
    }

    private void addOrUpdate(VmName vm, RoutableRecord record, long nowNanos) {
        final long coldUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(record.getColdForMs());
        final EndpointLoad known = routable.get(vm);
        if (known != null && isSame(known, record)) {
            known.coldUntil(coldUntilNanos);
            known.suspected(record.isSuspect());
            return;
        }
        if (known != null) {
            retire(known);
        }
        final EndpointLoad added = Routables.decode(record, coldUntilNanos, nowNanos);
        added.suspected(record.isSuspect());
        routable.put(vm, added);
        events.write(
                LogEvent.ENDPOINT_ROUTABLE,
                added.vm(),
                added.address(),
                added.zone(),
                added.model().map(ModelVersionName::value).orElse("-"));
    }

    private void retireMissing(EntryView next) {
        final List<EndpointLoad> gone = routable.values().stream()
                .filter(load -> !next.endpoints().containsKey(load.vm().vm()))
                .toList();
        gone.forEach(load -> {
            routable.remove(load.vm().vm());
            retire(load);
        });
    }

    private void retire(EndpointLoad load) {
        events.write(LogEvent.ENDPOINT_NOT_ROUTABLE, load.vm(), load.inFlight());
        if (load.inFlight() > 0) {
            retired.add(load);
        }
    }

    private static boolean isSame(EndpointLoad load, RoutableRecord record) {
        return load.vm().incarnation() == record.getIncarnation()
                && load.address().equals(record.getAddress())
                && load.model().map(ModelVersionName::value).orElse("").equals(record.getModel());
    }

    private static ImmutableMap<ModelVersionName, EngineModel> enginesOf(PublishedConfiguration configuration) {
        return configuration.services().stream()
                .map(PublishedService::engine)
                .flatMap(Optional::stream)
                .flatMap(engine -> engine.models().stream()
                        .map(model -> Map.entry(model.name(), new EngineModel(engine, model, new LearnedOverhead()))))
                .collect(
                        ImmutableMap.toImmutableMap(Map.Entry::getKey, Map.Entry::getValue, (first, second) -> second));
    }
}
