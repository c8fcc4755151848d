package org.wigeongrade.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.decisions.published.GroupedModel;
import org.wigeongrade.decisions.published.PublishedConfiguration;
import org.wigeongrade.decisions.published.Route;
import org.wigeongrade.decisions.published.RouteKind;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.ids.ServiceName;

final class ConfigurationReaderTest {
    private static final String DOCUMENT = """
            {"version":7,"routes":[
              {"name":"chat","hostname":"desk.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":8000,
               "targetLatencyMs":500,"priority":1,"trafficSplit":[{"service":"pool","weight":90},
               {"service":"app","weight":10}],"maxAttempts":2,"resumable":true,"targetItlMs":300,"unknown":1},
              {"name":"pay","hostname":"desk.example","pathPrefix":"/pay/","kind":"non_idempotent","timeoutMs":800,
               "service":"app"}],
             "services":[
              {"name":"pool","maxConnections":384,"coldRateS":36.0,"engine":{"slots":18,"stride":5,"models":[
               {"name":"m0","size":4,"share":0.67,"pace":1.0,"loadS":16.0,"warmupS":1.6}],"step_ms":6.07,
               "per_seq_ms":0.35,"context_per_k":0.007,"read_per_s":46000.0,"pairs_per_m":0.7,"chunk":2048,
               "loadsPerS":4.0,"loads_at_once":6,"formationMs":300.0}},
              {"name":"app","maxConnections":49}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
             "tenants":[{"name":"shop","apiKeys":["key-1","key-2"],"priority":1}]}
            """;

    private final ConfigurationReader reader = new ConfigurationReader();

    @Test
    void readsAllFieldsThatAffectRouting() {
        final PublishedConfiguration read = read(DOCUMENT);
        final Route chat = read.route("desk.example", "/chat/1").orElseThrow();

        assertThat(read.version()).isEqualTo(7);
        assertThat(chat.kind()).isEqualTo(RouteKind.STREAMING);
        assertThat(chat.mayRetry()).isTrue();
        assertThat(chat.targets()).hasSize(2);
        assertThat(chat.targetPauseMs()).isEqualTo(300);
        assertThat(read.route("desk.example", "/pay/").orElseThrow().mayRetry()).isFalse();
        assertThat(read.organisationOf("key-2")).hasValue(OrganisationName.of("shop"));
        final GroupedModel model = read.service(ServiceName.of("pool"))
                .orElseThrow()
                .engine()
                .orElseThrow()
                .models()
                .get(0);
        assertThat(model.groupSize()).isEqualTo(4);
        assertThat(model.loadMs()).isEqualTo(16_000);
        assertThat(read.service(ServiceName.of("app")).orElseThrow().engine()).isEqualTo(Optional.empty());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"version\":7 | \"version\":\"7\"",
                "\"version\":7 | \"version\":0",
                "\"kind\":\"streaming\" | \"kind\":\"stream\"",
                "\"timeoutMs\":800 | \"timeoutMs\":\"800\"",
                "\"pathPrefix\":\"/pay/\" | \"path\":\"/pay/\"",
                "\"services\":[ | \"servers\":[",
                "\"apiKeys\":[\"key-1\" | \"apiKeys\":[1",
                "\"weight\":10 | \"weight\":null",
            })
    void rejectsMalformedFields(String part, String replacement) {
        final String malformed = DOCUMENT.replace(part, replacement);

        assertThat(malformed).isNotEqualTo(DOCUMENT);
        assertRejected(malformed);
    }

    @Test
    void rejectsTruncatedAndExtendedDocuments() {
        assertRejected(DOCUMENT.substring(0, DOCUMENT.length() / 2));
        assertRejected(DOCUMENT + "{}");
        assertRejected("[]");
        assertRejected("");
    }

    private void assertRejected(String document) {
        final WigeongradeException error = assertThrows(WigeongradeException.class, () -> read(document));
        assertThat(error.kind()).isEqualTo(ErrorKind.INVALID_CONFIGURATION);
    }

    private PublishedConfiguration read(String document) {
        return reader.read(document.getBytes(StandardCharsets.UTF_8));
    }
}
