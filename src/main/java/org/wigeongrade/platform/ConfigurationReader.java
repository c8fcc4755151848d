package org.wigeongrade.platform;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import org.wigeongrade.decisions.published.CallerLimits;
import org.wigeongrade.decisions.published.EngineProfile;
import org.wigeongrade.decisions.published.GroupedModel;
import org.wigeongrade.decisions.published.PublishedConfiguration;
import org.wigeongrade.decisions.published.PublishedOrganisation;
import org.wigeongrade.decisions.published.PublishedService;
import org.wigeongrade.decisions.published.Route;
import org.wigeongrade.decisions.published.RouteKind;
import org.wigeongrade.decisions.published.WeightedTarget;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.fleet.control.DocumentReader;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.ids.RouteName;
import org.wigeongrade.ids.ServiceName;

/** Parses the platform's configuration document. Stateless; safe for use from any thread. */
public final class ConfigurationReader implements DocumentReader {
    private static final int MS_PER_S = 1_000;
    private static final int DEFAULT_PRIORITY = 1;

    @Override
    public PublishedConfiguration read(byte[] document) {
        try {
            final WireJson json = WireJson.parse(document);
            return new PublishedConfiguration(
                    version(json),
                    json.objects("routes").stream()
                            .map(ConfigurationReader::route)
                            .toList(),
                    json.objects("services").stream()
                            .map(ConfigurationReader::service)
                            .toList(),
                    json.object("limits").map(ConfigurationReader::limits).orElse(CallerLimits.DEFAULT),
                    organisations(json));
        } catch (IllegalArgumentException e) {
            throw new WigeongradeException(ErrorKind.INVALID_CONFIGURATION, e.getMessage(), e);
        }
    }

    private static long version(WireJson json) {
        final long version = json.integer("version");
        if (version <= 0) {
            throw new WigeongradeException(ErrorKind.INVALID_CONFIGURATION, "document.version must be at least 1");
        }
        return version;
    }

    private static Route route(WireJson json) {
        return new Route(
                RouteName.of(json.string("name")),
                json.string("hostname"),
                json.string("pathPrefix"),
                kind(json.string("kind")),
                json.integer("timeoutMs"),
                Math.round(json.number("targetLatencyMs", 0)),
                // The name means inter-token latency (ITL), but the value bounds the pause between two events.
                Math.round(json.number("targetItlMs", 0)),
                (int) json.number("priority", DEFAULT_PRIORITY),
                targets(json),
                Math.max(1, (int) json.number("maxAttempts", 1)),
                json.bool("anonymous", false),
                json.bool("resumable", false));
    }

    private static RouteKind kind(String text) {
        return switch (text) {
            case "idempotent" -> RouteKind.IDEMPOTENT;
            case "non_idempotent" -> RouteKind.NON_IDEMPOTENT;
            case "streaming" -> RouteKind.STREAMING;
            default ->
                throw new WigeongradeException(ErrorKind.INVALID_CONFIGURATION, "unknown route kind '" + text + "'");
        };
    }

    private static List<WeightedTarget> targets(WireJson json) {
        if (!json.has("trafficSplit")) {
            return ImmutableList.of(new WeightedTarget(ServiceName.of(json.string("service")), 1));
        }
        return json.objects("trafficSplit").stream()
                .map(share -> new WeightedTarget(ServiceName.of(share.string("service")), share.number("weight")))
                .toList();
    }

    private static PublishedService service(WireJson json) {
        return new PublishedService(
                ServiceName.of(json.string("name")),
                (int) json.number("maxConnections", Integer.MAX_VALUE),
                json.number("coldRateS", 0),
                json.optionalString("healthPath"),
                json.object("engine").map(ConfigurationReader::engine));
    }

    private static EngineProfile engine(WireJson json) {
        return new EngineProfile(
                json.smallInteger("slots"),
                json.smallInteger("stride"),
                json.objects("models").stream().map(ConfigurationReader::model).toList(),
                json.number("step_ms"),
                json.number("per_seq_ms"),
                json.number("context_per_k"),
                json.number("read_per_s"),
                json.number("pairs_per_m"),
                json.smallInteger("chunk"),
                json.number("loadsPerS"),
                json.smallInteger("loads_at_once"),
                Math.round(json.number("formationMs", 0)),
                json.number("far_x", 1));
    }

    private static GroupedModel model(WireJson json) {
        return new GroupedModel(
                ModelVersionName.of(json.string("name")),
                Math.max(1, (int) json.number("size", 1)),
                json.number("share", 1),
                json.number("pace", 1),
                Math.round(json.number("loadS", 0) * MS_PER_S),
                Math.round(json.number("warmupS", 0) * MS_PER_S));
    }

    private static CallerLimits limits(WireJson json) {
        return new CallerLimits(
                json.smallInteger("maxHeaderBytes"),
                json.smallInteger("maxBodyBytes"),
                json.integer("headerTimeoutMs"),
                json.integer("idleTimeoutMs"));
    }

    private static List<PublishedOrganisation> organisations(WireJson json) {
        return Optional.of(json).filter(document -> document.has("tenants")).stream()
                .flatMap(document -> document.objects("tenants").stream())
                .map(tenant -> new PublishedOrganisation(
                        OrganisationName.of(tenant.string("name")),
                        ImmutableSet.copyOf(tenant.strings("apiKeys")),
                        (int) tenant.number("priority", DEFAULT_PRIORITY)))
                .toList();
    }
}
