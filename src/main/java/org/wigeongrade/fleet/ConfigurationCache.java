package org.wigeongrade.fleet;

import java.util.Optional;
import org.wigeongrade.decisions.published.PublishedConfiguration;
import org.wigeongrade.fleet.control.DocumentReader;

/** Caches the configuration that was parsed last, by its version. Thread safe. */
public final class ConfigurationCache {
    private final DocumentReader reader;
    private Optional<PublishedConfiguration> latest = Optional.empty();

    public ConfigurationCache(DocumentReader reader) {
        this.reader = reader;
    }

    /** Returns the parsed configuration of the document that was accepted with this version. */
    public synchronized PublishedConfiguration get(long version, byte[] document) {
        if (latest.filter(cached -> cached.version() == version).isEmpty()) {
            latest = Optional.of(reader.read(document));
        }
        return latest.get();
    }
}
