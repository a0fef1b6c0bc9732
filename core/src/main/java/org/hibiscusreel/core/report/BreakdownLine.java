package org.hibiscusreel.core.report;

/**
 * Counters of one client account or site.
 *
 * @param name name of the client account or site
 * @param served complete answers
 * @param late complete answers after their deadline
 * @param refused refused requests
 * @param falseRefusals requests refused although their budget sufficed
 * @param unknownOutcomes callers that were told that the outcome is unknown
 * @param billedTokens tokens billed on the day
 * @param known whether nothing is missing
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
