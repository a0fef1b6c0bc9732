package org.hibiscusreel.core.report;

/**
 * Counters of one client account or site.
 *
 * @param name name of the client account or site
 * @param served complete responses
 * @param late responses completed after their deadline
 * @param refused refused requests
 * @param falseRefusals requests refused although their budget was sufficient
 * @param unknownOutcomes requests whose callers were told that the outcome is unknown
 * @param billedTokens tokens billed on the day
 * @param known whether the counters are complete
 */
public record BreakdownLine(
    String name,
    Tally served,
    Tally late,
    Tally refused,
    Tally falseRefusals,
    Tally unknownOutcomes,
    long billedTokens,
    boolean known) {}
