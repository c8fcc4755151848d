package org.wigeongrade.nodes;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.google.common.base.Ascii;
import com.google.common.base.Enums;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.wigeongrade.decisions.config.ObjectId;
import org.wigeongrade.decisions.config.ObjectKind;
import org.wigeongrade.decisions.control.Decision;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.nodes.control.ControlRole;
import org.wigeongrade.nodes.entry.DecisionRecord;
import org.wigeongrade.nodes.entry.EntryRole;

/** Collects the decisions that this process made about an object. Thread safe: holds no state of its own. */
public final class LocalExplanations {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_RECORDS = 50;

    private final EntryRole entry;
    private final Optional<ControlRole> control;
    private final LongSupplier epochMsClock;

    public LocalExplanations(EntryRole entry, Optional<ControlRole> control) {
        this.entry = entry;
        this.control = control;
        this.epochMsClock = System::currentTimeMillis;
    }

    /** Returns a JSON array of decisions, each with {@code at}, {@code node}, {@code what} and {@code why}. */
    public byte[] explain(String kind, String id) {
        final ArrayNode records = MAPPER.createArrayNode();
        entry.decisions().find(kind, id, MAX_RECORDS).forEach(record -> addDecision(records, record));
        control.ifPresent(role -> objectKind(kind)
                .ifPresent(objectKind -> role.state()
                        .decisions(new ObjectId(objectKind, id))
                        .forEach(decision -> addDecision(records, decision))));
        if (kind.equals("group")) {
            control.flatMap(role -> role.holdReason(new GroupName(id)))
                    .ifPresent(reason -> records.addObject()
                            .put(
                                    "at",
                                    Instant.ofEpochMilli(epochMsClock.getAsLong())
                                            .toString())
                            .put("node", entry.self().value())
                            .put("what", "not formed")
                            .put("why", reason));
        }
        return records.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static Optional<ObjectKind> objectKind(String kind) {
        return switch (kind) {
            case "zone" -> Optional.of(ObjectKind.AVAILABILITY_ZONE);
            case "endpoint" -> Optional.of(ObjectKind.GROUP);
            default ->
                Enums.getIfPresent(ObjectKind.class, Ascii.toUpperCase(kind)).toJavaUtil();
        };
    }

    private static void addDecision(ArrayNode records, DecisionRecord record) {
        records.addObject()
                .put("at", Instant.ofEpochMilli(record.atEpochMs()).toString())
                .put("node", record.node().value())
                .put("request", record.request().value())
                .put("endpoint", record.endpoint())
                .put("what", record.what())
                .put("why", record.why());
    }

    private static void addDecision(ArrayNode records, Decision decision) {
        records.addObject()
                .put("at", Instant.ofEpochMilli(decision.atEpochMs()).toString())
                .put("node", "log:" + decision.index())
                .put("revision", decision.revision().value())
                .put("what", decision.what())
                .put("why", decision.why())
                .put("by", decision.by());
    }
}
