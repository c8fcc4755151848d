package org.wigeongrade.fleet.control;

import org.wigeongrade.decisions.published.PublishedConfiguration;

/** Parses configuration documents of operators. Implementations are stateless and safe for use from any thread. */
@FunctionalInterface
public interface DocumentReader {
    /**
     * Parses the whole document, without checking references between its objects.
     *
     * @throws org.wigeongrade.errors.WigeongradeException of kind INVALID_CONFIGURATION if any part cannot be parsed
     */
    PublishedConfiguration read(byte[] document);
}
