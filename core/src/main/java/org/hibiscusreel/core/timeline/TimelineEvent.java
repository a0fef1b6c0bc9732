package org.hibiscusreel.core.timeline;

/**
 * One event of the time line.
 *
 * @param at hybrid logical clock stamp
 * @param process incarnation or program that observed the event
 * @param kind stable lower-case name of the event, for example {@code bill_flushed}
 * @param account client account concerned, or empty
 * @param request request identifier concerned, or empty
 * @param budget budget concerned, or empty
 * @param upstream upstream concerned, or empty
 * @param detail further text for people, or empty
 */
public record TimelineEvent(
    HybridTimestamp at,
    String process,
    String kind,
    String account,
    String request,
    String budget,
    String upstream,
    String detail) {}
