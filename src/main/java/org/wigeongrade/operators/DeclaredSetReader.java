package org.wigeongrade.operators;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Function;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;
import org.wigeongrade.decisions.config.DeclaredSet;
import org.wigeongrade.decisions.config.GroupDeclaration;
import org.wigeongrade.decisions.config.ModelVersionDeclaration;
import org.wigeongrade.decisions.config.ObjectId;
import org.wigeongrade.decisions.config.ObjectKind;
import org.wigeongrade.decisions.config.OrganisationDeclaration;
import org.wigeongrade.decisions.config.PlacementObjective;
import org.wigeongrade.decisions.config.PoolDeclaration;
import org.wigeongrade.decisions.config.ServiceDeclaration;
import org.wigeongrade.decisions.config.ZoneDeclaration;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.ids.PoolName;
import org.wigeongrade.ids.ServiceName;

/**
 * Reads declared files in TOML into one declared set and lists all faults with file and line.
 *
 * <p>Invariant: an unknown key or table is a fault, so that a misspelt field never silently gets its default value. A
 * reader reads a single set of files; not thread safe.
 */
public final class DeclaredSetReader {
    private static final int DEFAULT_VMS_PER_REPLICA = 1;
    private static final int DEFAULT_CAPACITY = 32;
    private static final int DEFAULT_COLD_CAPACITY = 2;
    private static final long DEFAULT_POOL_LONGEST_RUN_MS = 300_000;
    private static final long DEFAULT_SERVICE_LONGEST_RUN_MS = 30_000;
    private static final int DEFAULT_MAX_LOADS = 4;
    private static final int DEFAULT_REQUESTS_PER_SECOND = 100;
    private static final int DEFAULT_REQUESTS_IN_FLIGHT = 200;
    private static final long DEFAULT_TOKENS_PER_MINUTE = 1_000_000;
    private static final List<String> DEFAULT_IDEMPOTENT_METHODS = List.of("GET", "HEAD", "OPTIONS");

    private final List<FileFault> faults = new ArrayList<>();
    private final Map<ObjectId, DeclaredSetReadResult.FilePosition> positions = new HashMap<>();
    private final List<ZoneDeclaration> zones = new ArrayList<>();
    private final List<ModelVersionDeclaration> modelVersions = new ArrayList<>();
    private final List<PoolDeclaration> pools = new ArrayList<>();
    private final List<GroupDeclaration> groups = new ArrayList<>();
    private final List<ServiceDeclaration> services = new ArrayList<>();
    private final List<OrganisationDeclaration> organisations = new ArrayList<>();

    private DeclaredSetReader() {}

    /** Reads all files as one set. */
    public static DeclaredSetReadResult read(List<DeclaredFile> files) {
        final DeclaredSetReader reader = new DeclaredSetReader();
        files.forEach(reader::readFile);
        return reader.result();
    }

    private DeclaredSetReadResult result() {
        final DeclaredSet set = new DeclaredSet(zones, modelVersions, pools, groups, services, organisations);
        return new DeclaredSetReadResult(set, faults, positions);
    }

    private void readFile(DeclaredFile file) {
        final TomlParseResult parsed = Toml.parse(file.text());
        if (parsed.hasErrors()) {
            parsed.errors().forEach(error -> faults.add(syntaxFault(file, error)));
            return;
        }
        for (final String tableName : parsed.keySet()) {
            readTables(file, parsed, tableName);
        }
    }

    private void readTables(DeclaredFile file, TomlParseResult parsed, String tableName) {
        final TomlPosition position = parsed.inputPositionOf(List.of(tableName));
        final ObjectKind kind = kindOf(tableName);
        if (kind == null) {
            final String message = TableReader.unknownNameMessage("there is no table", tableName, tableNames());
            faults.add(fileFault(file, position, TableReader.UNKNOWN_KEY, message));
            return;
        }
        if (!(parsed.get(List.of(tableName)) instanceof TomlArray array) || !isListOfTables(array)) {
            final String message = tableName + " must be a list of tables; write [[" + tableName + "]]";
            faults.add(fileFault(file, position, TableReader.WRONG_TYPE, message));
            return;
        }
        for (int i = 0; i < array.size(); i++) {
            final TomlPosition itemPosition = array.inputPositionOf(i);
            final TableReader table = new TableReader(file.name(), tableName, array.getTable(i), itemPosition, faults);
            final Object name = readObject(kind, table);
            table.reportUnknownKeys();
            final ObjectId id = ObjectId.of(kind, name);
            positions.put(id, new DeclaredSetReadResult.FilePosition(file.name(), itemPosition.line()));
        }
    }

    private Object readObject(ObjectKind kind, TableReader table) {
        return switch (kind) {
            case AVAILABILITY_ZONE -> readZone(table);
            case MODEL_VERSION -> readModelVersion(table);
            case POOL -> readPool(table);
            case GROUP -> readGroup(table);
            case SERVICE -> readService(table);
            case ORGANISATION -> readOrganisation(table);
            case CONFIGURATION, VM, REQUEST -> throw new IllegalArgumentException(kind + " is not declared in files");
        };
    }

    private Object readZone(TableReader table) {
        final AvailabilityZone name = table.requiredValue("name", AvailabilityZone::of);
        zones.add(new ZoneDeclaration(name, table.optionalValue("region", Function.identity(), "")));
        return name;
    }

    private Object readModelVersion(TableReader table) {
        final ModelVersionName name = table.requiredValue("name", ModelVersionName::of);
        final String model = table.requiredValue("model", Function.identity());
        final String weights = table.requiredValue("weights", Function.identity());
        modelVersions.add(new ModelVersionDeclaration(name, model, weights));
        return name;
    }

    private Object readPool(TableReader table) {
        final PoolName name = table.requiredValue("name", PoolName::of);
        pools.add(new PoolDeclaration(
                name,
                table.requiredValue("model_version", ModelVersionName::of),
                table.requiredInt("replicas"),
                table.optionalInt("vms_per_replica", DEFAULT_VMS_PER_REPLICA),
                table.optionalInt("capacity", DEFAULT_CAPACITY),
                table.optionalInt("cold_capacity", DEFAULT_COLD_CAPACITY),
                table.optionalValue("weighs", PlacementObjective::of, PlacementObjective.GROUP_DOWNTIME),
                table.optionalInt("warm_spares", 0),
                table.optionalBoolean("fencing_checked", false),
                table.optionalLong("longest_run_ms", DEFAULT_POOL_LONGEST_RUN_MS),
                table.optionalInt("max_loads", DEFAULT_MAX_LOADS),
                table.optionalList("availability_zones", AvailabilityZone::of, List.of())));
        return name;
    }

    private Object readGroup(TableReader table) {
        final GroupName name = table.requiredValue("name", GroupName::of);
        final PoolName pool = table.requiredValue("pool", PoolName::of);
        groups.add(new GroupDeclaration(name, pool, table.requiredValue("availability_zone", AvailabilityZone::of)));
        return name;
    }

    private Object readService(TableReader table) {
        final ServiceName name = table.requiredValue("name", ServiceName::of);
        services.add(new ServiceDeclaration(
                name,
                table.optionalInt("capacity", DEFAULT_CAPACITY),
                table.optionalInt("cold_capacity", DEFAULT_COLD_CAPACITY),
                table.optionalLong("longest_run_ms", DEFAULT_SERVICE_LONGEST_RUN_MS),
                table.optionalList("idempotent_methods", Function.identity(), DEFAULT_IDEMPOTENT_METHODS),
                table.optionalList("availability_zones", AvailabilityZone::of, List.of())));
        return name;
    }

    private Object readOrganisation(TableReader table) {
        final OrganisationName name = table.requiredValue("name", OrganisationName::of);
        organisations.add(new OrganisationDeclaration(
                name,
                table.optionalList("key_sha256", Function.identity(), List.of()),
                table.optionalInt("requests_per_second", DEFAULT_REQUESTS_PER_SECOND),
                table.optionalInt("requests_in_flight", DEFAULT_REQUESTS_IN_FLIGHT),
                table.optionalLong("tokens_per_minute", DEFAULT_TOKENS_PER_MINUTE)));
        return name;
    }

    private static boolean isListOfTables(TomlArray array) {
        return array.toList().stream().allMatch(TomlTable.class::isInstance);
    }

    private static ObjectKind kindOf(String tableName) {
        return ObjectKind.declared().stream()
                .filter(kind -> kind.label().equals(tableName))
                .findFirst()
                .orElse(null);
    }

    private static SortedSet<String> tableNames() {
        final SortedSet<String> names = new TreeSet<>();
        ObjectKind.declared().forEach(kind -> names.add(kind.label()));
        return names;
    }

    private static FileFault syntaxFault(DeclaredFile file, TomlParseError error) {
        return fileFault(file, error.position(), "malformed_toml", error.getMessage());
    }

    private static FileFault fileFault(DeclaredFile file, TomlPosition position, String code, String message) {
        return new FileFault(file.name(), position.line(), position.column(), code, message);
    }
}
