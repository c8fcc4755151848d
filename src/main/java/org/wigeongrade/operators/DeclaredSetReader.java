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
import org.wigeongrade.decisions.config.PlacementWeight;
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
 * <p>Invariant: a key or table that is not known is a fault, so that a misspelt field never falls back to its default
 * in silence. One reader reads one set of files; not thread safe.
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
    private final Map<ObjectId, ReadResult.FilePosition> positions = new HashMap<>();
    private final List<ZoneDeclaration> zones = new ArrayList<>();
    private final List<ModelVersionDeclaration> modelVersions = new ArrayList<>();
    private final List<PoolDeclaration> pools = new ArrayList<>();
    private final List<GroupDeclaration> groups = new ArrayList<>();
    private final List<ServiceDeclaration> services = new ArrayList<>();
    private final List<OrganisationDeclaration> organisations = new ArrayList<>();

    private DeclaredSetReader() {}

    /** Reads all files as one set. */
    public static ReadResult read(List<DeclaredFile> files) {
        final DeclaredSetReader reader = new DeclaredSetReader();
        files.forEach(reader::readFile);
        return reader.result();
    }

    private ReadResult result() {
        final DeclaredSet set = new DeclaredSet(zones, modelVersions, pools, groups, services, organisations);
        return new ReadResult(set, faults, positions);
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
            final String message = TableReader.unknown("there is no table", tableName, tableNames());
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
            positions.put(id, new ReadResult.FilePosition(file.name(), itemPosition.line()));
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
        final AvailabilityZone name = table.required("name", AvailabilityZone::of);
        zones.add(new ZoneDeclaration(name, table.optional("region", Function.identity(), "")));
        return name;
    }

    private Object readModelVersion(TableReader table) {
        final ModelVersionName name = table.required("name", ModelVersionName::of);
        final String model = table.required("model", Function.identity());
        final String weights = table.required("weights", Function.identity());
        modelVersions.add(new ModelVersionDeclaration(name, model, weights));
        return name;
    }

    private Object readPool(TableReader table) {
        final PoolName name = table.required("name", PoolName::of);
        pools.add(new PoolDeclaration(
                name,
                table.required("model_version", ModelVersionName::of),
                table.requiredNumber("replicas"),
                table.number("vms_per_replica", DEFAULT_VMS_PER_REPLICA),
                table.number("capacity", DEFAULT_CAPACITY),
                table.number("cold_capacity", DEFAULT_COLD_CAPACITY),
                table.optional("weighs", PlacementWeight::of, PlacementWeight.GROUP_DOWNTIME),
                table.number("warm_spares", 0),
                table.flag("fencing_checked", false),
                table.bigNumber("longest_run_ms", DEFAULT_POOL_LONGEST_RUN_MS),
                table.number("max_loads", DEFAULT_MAX_LOADS),
                table.list("availability_zones", AvailabilityZone::of, List.of())));
        return name;
    }

    private Object readGroup(TableReader table) {
        final GroupName name = table.required("name", GroupName::of);
        final PoolName pool = table.required("pool", PoolName::of);
        groups.add(new GroupDeclaration(name, pool, table.required("availability_zone", AvailabilityZone::of)));
        return name;
    }

    private Object readService(TableReader table) {
        final ServiceName name = table.required("name", ServiceName::of);
        services.add(new ServiceDeclaration(
                name,
                table.number("capacity", DEFAULT_CAPACITY),
                table.number("cold_capacity", DEFAULT_COLD_CAPACITY),
                table.bigNumber("longest_run_ms", DEFAULT_SERVICE_LONGEST_RUN_MS),
                table.list("idempotent_methods", Function.identity(), DEFAULT_IDEMPOTENT_METHODS),
                table.list("availability_zones", AvailabilityZone::of, List.of())));
        return name;
    }

    private Object readOrganisation(TableReader table) {
        final OrganisationName name = table.required("name", OrganisationName::of);
        organisations.add(new OrganisationDeclaration(
                name,
                table.list("key_sha256", Function.identity(), List.of()),
                table.number("requests_per_second", DEFAULT_REQUESTS_PER_SECOND),
                table.number("requests_in_flight", DEFAULT_REQUESTS_IN_FLIGHT),
                table.bigNumber("tokens_per_minute", DEFAULT_TOKENS_PER_MINUTE)));
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
