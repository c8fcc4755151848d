package org.wigeongrade.fleet.control;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.discovery.GroupReport;
import org.wigeongrade.decisions.discovery.GroupState;
import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.decisions.discovery.VmRecord;
import org.wigeongrade.fleet.thrift.HeartbeatRecord;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.FabricDomain;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;
import org.wigeongrade.settings.NodeAddress;

/** Converts heartbeats to and from the records that control VMs exchange. Stateless; safe for use from any thread. */
final class HeartbeatCodec {
    private HeartbeatCodec() {}

    static HeartbeatRecord encode(VmRecord vm, long nowNanos) {
        final VmHeartbeat heartbeat = vm.heartbeat();
        final HeartbeatRecord encoded = new HeartbeatRecord()
                .setVm(vm.vm().vm().value())
                .setIncarnation(vm.vm().incarnation())
                .setSequence(heartbeat.sequence())
                .setServiceName(heartbeat.service().value())
                .setAddress(heartbeat.address())
                .setAvailabilityZone(heartbeat.zone().value())
                .setSoftwareVersion(heartbeat.softwareVersion())
                .setSlots(heartbeat.slots())
                .setDraining(heartbeat.draining())
                .setColdForMs(heartbeat.coldForMs())
                .setFabricDomain(heartbeat.domain().map(FabricDomain::value).orElse(""))
                .setStagedModels(heartbeat.stagedModels().stream()
                        .map(ModelVersionName::value)
                        .toList())
                .setLoadedModel(
                        heartbeat.loadedModel().map(ModelVersionName::value).orElse(""))
                .setAgeMs(TimeUnit.NANOSECONDS.toMillis(vm.sinceHeartbeatNanos(nowNanos)))
                .setDeparted(vm.departed());
        heartbeat.group().ifPresentOrElse(group -> encodeGroup(group, encoded), () -> encoded.setGroupState(""));
        return encoded;
    }

    private static void encodeGroup(GroupReport group, HeartbeatRecord encoded) {
        encoded.setGroupName(group.group().value())
                .setGroupEpoch(group.epoch())
                .setGroupRank(group.rank())
                .setGroupState(group.state().name());
    }

    static VmHeartbeat decode(HeartbeatRecord encoded) {
        return new VmHeartbeat(
                new VmIncarnation(VmName.of(encoded.getVm()), encoded.getIncarnation()),
                encoded.getSequence(),
                ServiceName.of(encoded.getServiceName()),
                NodeAddress.ofVm(encoded.getAddress()).toString(),
                AvailabilityZone.of(encoded.getAvailabilityZone()),
                encoded.getSoftwareVersion(),
                encoded.getSlots(),
                encoded.isDraining(),
                encoded.getColdForMs(),
                nonEmpty(encoded.getFabricDomain()).map(FabricDomain::of),
                encoded.getStagedModels().stream().map(ModelVersionName::of).collect(ImmutableSet.toImmutableSet()),
                nonEmpty(encoded.getLoadedModel()).map(ModelVersionName::of),
                decodeGroup(encoded));
    }

    private static Optional<GroupReport> decodeGroup(HeartbeatRecord encoded) {
        return nonEmpty(encoded.getGroupState())
                .map(state -> new GroupReport(
                        GroupName.of(encoded.getGroupName()),
                        encoded.getGroupEpoch(),
                        encoded.getGroupRank(),
                        GroupState.valueOf(state)));
    }

    private static Optional<String> nonEmpty(String text) {
        return Optional.ofNullable(text).filter(value -> !value.isEmpty());
    }
}
