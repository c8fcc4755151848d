package org.wigeongrade.bench;

/**
 * Result of one run of {@link FairnessSimulation}. {@code smallServed} and {@code greedyServed} are the ratios of
 * offered requests that were served at the first attempt; {@code slotsInUse} is the ratio of slots that were in use on
 * average. Immutable.
 */
public record FairnessResult(
        String mechanism,
        long smallOffered,
        double smallServed,
        long greedyOffered,
        double greedyServed,
        double slotsInUse) {}
