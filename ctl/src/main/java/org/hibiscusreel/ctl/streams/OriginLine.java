package org.hibiscusreel.ctl.streams;

import java.util.Optional;
import org.hibiscusreel.core.forward.StreamOrigin;

/**
 * What is kept of a log line {@code stream_origin}.
 *
 * @param atMillis time of day at its daemon in milliseconds
 * @param request request that brought the first event, or empty if the caller named none
 * @param daemon incarnation of the daemon
 * @param source from what the daemon concluded
 * @param origin service and version, or empty if they could not be found out
 * @param outcome the version, or why it is not known
 * @param evidence fields that tell what the conclusion was worth
 */
record OriginLine(
    long atMillis,
    String request,
    String daemon,
    String source,
    Optional<StreamOrigin> origin,
    String outcome,
    String evidence) {}
