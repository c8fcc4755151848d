package org.wigeongrade.decisions.balancing;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.wigeongrade.decisions.published.EngineProfile;
import org.wigeongrade.decisions.published.GroupedModel;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/** Groups of one model, with the engine of a published profile, for load patterns on a clock of their own. */
public final class SimulatedGroups {
    public static final GroupedModel MODEL = new GroupedModel(ModelVersionName.of("m"), 12, 1, 1, 16_000, 1_600);
    public static final EngineProfile PROFILE =
            new EngineProfile(34, 5, ImmutableList.of(MODEL), 6.45, 0.137, 0.004, 56_100, 0.309, 2_048, 4, 6, 300, 4);
    public static final AvailabilityZone ZONE = AvailabilityZone.of("zone-a");

    private SimulatedGroups() {}

    /** Returns what one entry node knows of the groups before the first request. */
    public static List<EndpointLoad> view(int groups) {
        return IntStream.range(0, groups).mapToObj(SimulatedGroups::group).toList();
    }

    private static EndpointLoad group(int index) {
        return new EndpointLoad(
                new VmIncarnation(VmName.of("g" + index), 1),
                ServiceName.of("pool"),
                "10.0.0.1:80",
                ZONE,
                Optional.of(MODEL.name()),
                PROFILE.slots(),
                1,
                new SendRestriction(),
                0,
                0);
    }
}
