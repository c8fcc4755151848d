package org.wigeongrade.decisions.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Lists and compares the objects of declared sets by their ids. Stateless; safe for use from any thread. */
public final class DeclaredObjects {
    private DeclaredObjects() {}

    /** Returns the ids of all objects in the order of declaration; a name declared twice is listed twice. */
    public static List<ObjectId> ids(DeclaredSet set) {
        final List<ObjectId> ids = new ArrayList<>();
        set.zones().forEach(zone -> ids.add(ObjectId.of(ObjectKind.AVAILABILITY_ZONE, zone.name())));
        set.modelVersions().forEach(version -> ids.add(ObjectId.of(ObjectKind.MODEL_VERSION, version.name())));
        set.pools().forEach(pool -> ids.add(ObjectId.of(ObjectKind.POOL, pool.name())));
        set.groups().forEach(group -> ids.add(ObjectId.of(ObjectKind.GROUP, group.name())));
        set.services().forEach(service -> ids.add(ObjectId.of(ObjectKind.SERVICE, service.name())));
        set.organisations().forEach(organisation -> ids.add(ObjectId.of(ObjectKind.ORGANISATION, organisation.name())));
        return ids;
    }

    /** Returns the ids of the objects that were added, removed or changed between two sets, sorted. */
    public static List<ObjectId> changed(DeclaredSet before, DeclaredSet after) {
        final Map<ObjectId, Record> oldObjects = byId(before);
        final Map<ObjectId, Record> newObjects = byId(after);
        final List<ObjectId> changed = new ArrayList<>();
        newObjects.forEach((id, object) -> {
            if (!object.equals(oldObjects.get(id))) {
                changed.add(id);
            }
        });
        oldObjects.keySet().stream().filter(id -> !newObjects.containsKey(id)).forEach(changed::add);
        changed.sort(null);
        return changed;
    }

    private static Map<ObjectId, Record> byId(DeclaredSet set) {
        final List<ObjectId> ids = ids(set);
        final List<Record> objects = new ArrayList<>();
        objects.addAll(set.zones());
        objects.addAll(set.modelVersions());
        objects.addAll(set.pools());
        objects.addAll(set.groups());
        objects.addAll(set.services());
        objects.addAll(set.organisations());
        final Map<ObjectId, Record> byId = new TreeMap<>();
        for (int i = 0; i < ids.size(); i++) {
            byId.put(ids.get(i), objects.get(i));
        }
        return byId;
    }
}
