package org.wigeongrade.fleet.control;

import org.wigeongrade.decisions.published.PublishedConfiguration;

/** Reads a configuration as operators hand it in. Implementations are stateless and safe for use from any thread. */
@FunctionalInterface
public interface DocumentReader {
    /**
     * Reads the whole document, without checking what its objects say of each other.
     *
     * @throws org.wigeongrade.errors.WigeongradeException of kind INVALID_CONFIGURATION if it cannot be read in full
     */
    PublishedConfiguration read(byte[] document);
}
