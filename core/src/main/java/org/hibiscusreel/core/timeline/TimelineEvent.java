package org.hibiscusreel.core.timeline;

/**
 * Event of the time line.
 *
 * @param at timestamp of the hybrid logical clock
 * @param process incarnation or program that recorded the event
 * @param kind stable lower-case name of the event, for example {@code bill_flushed}
 * @param account related client account, or empty
 * @param request identifier of the related request, or empty
 * @param budget related budget, or empty
 * @param upstream related upstream, or empty
 * @param detail additional human-readable text, or empty
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
