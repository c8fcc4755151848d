package org.wigeongrade.bench;

/** Figures of one run of {@link FairnessSimulation}: requests served at their first asking. Immutable. */
public record FairnessResult(
        String mechanism,
        long smallOffered,
        double smallServed,
        long greedyOffered,
        double greedyServed,
        double slotsInUse) {}
