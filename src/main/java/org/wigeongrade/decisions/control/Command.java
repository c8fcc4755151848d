package org.wigeongrade.decisions.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Objects;
import org.wigeongrade.decisions.config.DeclaredSet;
import org.wigeongrade.errors.RunClaim;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.ChangeId;
import org.wigeongrade.ids.FabricDomain;
import org.wigeongrade.ids.FencingToken;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.ids.PoolName;
import org.wigeongrade.ids.RequestId;
import org.wigeongrade.ids.Revision;
import org.wigeongrade.ids.VmIncarnation;

/**
 * A decision of the leader, written to the replicated log and applied by {@link ControlState} on every control VM.
 *
 * <p>Every time in a command is the wall clock of the leader that proposed it, in milliseconds since the epoch; the
 * state machine reads no clock. A command with a required field missing cannot be made, so that applying one never fails.
 * Immutable; safe for use from any thread.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Command.ApplyConfiguration.class, name = "apply_configuration"),
    @JsonSubTypes.Type(value = Command.SetZoneState.class, name = "set_zone_state"),
    @JsonSubTypes.Type(value = Command.FormGroup.class, name = "form_group"),
    @JsonSubTypes.Type(value = Command.DissolveGroup.class, name = "dissolve_group"),
    @JsonSubTypes.Type(value = Command.ClaimRequest.class, name = "claim_request"),
    @JsonSubTypes.Type(value = Command.FinishClaim.class, name = "finish_claim"),
    @JsonSubTypes.Type(value = Command.QuarantineRequest.class, name = "quarantine_request"),
    @JsonSubTypes.Type(value = Command.ExpireRecords.class, name = "expire_records")
})
public sealed interface Command {
    /** Replaces the declared set if {@code baseRevision} is the current revision. */
    record ApplyConfiguration(
            ChangeId changeId, String operator, Revision baseRevision, DeclaredSet declaredSet, long proposedAtEpochMs)
            implements Command {
        public ApplyConfiguration {
            requireAll(changeId, operator, baseRevision, declaredSet);
        }
    }

    /** Takes an availability zone out of service or back in; stays in force across later declared sets. */
    record SetZoneState(
            ChangeId changeId, String operator, AvailabilityZone zone, ZoneState zoneState, long proposedAtEpochMs)
            implements Command {
        public SetZoneState {
            requireAll(changeId, operator, zone, zoneState);
        }
    }

    /** Binds VMs to a group; refused if any VM belongs to another group. The first member takes the requests. */
    record FormGroup(
            GroupName group,
            PoolName pool,
            ModelVersionName modelVersion,
            AvailabilityZone zone,
            FabricDomain fabricDomain,
            List<VmIncarnation> members,
            FencingToken fencingToken,
            String reason,
            long proposedAtEpochMs)
            implements Command {
        public FormGroup {
            requireAll(group, pool, modelVersion, zone, fabricDomain, members, fencingToken, reason);
            members = List.copyOf(members);
        }
    }

    /** Frees the VMs of a group; refused if the group was formed again with a larger token. */
    record DissolveGroup(GroupName group, FencingToken fencingToken, String reason, long proposedAtEpochMs)
            implements Command {
        public DissolveGroup {
            requireAll(group, fencingToken, reason);
        }
    }

    /**
     * Claims the single send of a non-idempotent request. {@code requestDigest} is the SHA-256 of target and body in
     * hexadecimal. {@code requestId} must be unique to the claim and made by the entry VM: the same one claims again
     * after a lost answer, so an id that a caller chose would let two copies of a request run.
     */
    record ClaimRequest(
            OrganisationName organisation,
            String idempotencyKey,
            String requestDigest,
            RequestId requestId,
            NodeName entryVm,
            long sendDeadlineEpochMs,
            long proposedAtEpochMs)
            implements Command {
        public ClaimRequest {
            requireAll(organisation, idempotencyKey, requestDigest, requestId, entryVm);
        }
    }

    /**
     * Records how the claimed send ended. {@code outcome} NOT_RUN frees the key; {@code answer} is set for COMPLETED.
     */
    record FinishClaim(
            OrganisationName organisation,
            String idempotencyKey,
            RequestId requestId,
            RunClaim outcome,
            StoredAnswer answer,
            long proposedAtEpochMs)
            implements Command {
        public FinishClaim {
            requireAll(organisation, idempotencyKey, requestId, outcome);
        }
    }

    /** Refuses a request digest fleet-wide until the deadline. */
    record QuarantineRequest(String requestDigest, String reason, long untilEpochMs, long proposedAtEpochMs)
            implements Command {
        public QuarantineRequest {
            requireAll(requestDigest, reason);
        }
    }

    /** Removes claims and quarantined digests whose retention has passed. */
    record ExpireRecords(long proposedAtEpochMs) implements Command {}

    private static void requireAll(Object... fields) {
        for (final Object field : fields) {
            Objects.requireNonNull(field, "a required field of the command has no value");
        }
    }
}
