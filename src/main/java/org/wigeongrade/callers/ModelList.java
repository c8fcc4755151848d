package org.wigeongrade.callers;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSortedSet;
import java.util.Comparator;
import org.wigeongrade.decisions.config.DeclaredSet;
import org.wigeongrade.decisions.config.ModelVersionDeclaration;
import org.wigeongrade.nodes.entry.EntryRole;

/** The models that callers may request: those that some pool serves. Thread safe: reads the current view. */
final class ModelList {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EntryRole entry;

    ModelList(EntryRole entry) {
        this.entry = entry;
    }

    ImmutableSortedSet<String> names() {
        final DeclaredSet set = entry.view().configuration().declaredSet();
        return set.modelVersions().stream()
                .filter(version -> set.pools().stream()
                        .anyMatch(pool -> pool.modelVersion().equals(version.name())))
                .map(ModelVersionDeclaration::model)
                .collect(ImmutableSortedSet.toImmutableSortedSet(Comparator.naturalOrder()));
    }

    /** Returns the list in the JSON format that common completion clients expect. */
    String json() {
        final ObjectNode list = MAPPER.createObjectNode();
        list.put("object", "list");
        final ArrayNode data = list.putArray("data");
        for (final String name : names()) {
            data.addObject().put("id", name).put("object", "model").put("owned_by", "wigeongrade");
        }
        return list.toString();
    }
}
