package org.hibiscusreel.coordination.forward;

import java.util.List;

/**
 * Position at which a stream broke off, and the content type that its caller was told.
 *
 * @param lastEventId identifier of the last event that was passed on, a decimal number, or empty if
 *     no event had one
 * @param contentType content type of the stream, or empty
 */
record StreamPosition(String lastEventId, String contentType) {

  private static final String CONTENT_TYPE = "Content-Type";

  /** Returns the position of a stream of which no event with an identifier was passed on. */
  static StreamPosition start(List<HeaderField> fields) {
    return new StreamPosition("", contentTypeOf(fields));
  }

  /** Returns the position after an event; one without an identifier does not change it. */
  StreamPosition after(String eventId) {
    return eventId.isEmpty() ? this : new StreamPosition(eventId, contentType);
  }

  /** Returns whether another upstream can be asked for the events after this position. */
  boolean isResumable() {
    return !lastEventId.isEmpty();
  }

  /** Returns whether a response with these header fields can continue the stream. */
  boolean isContinuedBy(List<HeaderField> fields) {
    return contentType.equalsIgnoreCase(contentTypeOf(fields));
  }

  /** Returns whether an event is not after this position, so that its caller has it already. */
  boolean covers(String eventId) {
    return eventId.length() < lastEventId.length()
        || (eventId.length() == lastEventId.length() && eventId.compareTo(lastEventId) <= 0);
  }

  private static String contentTypeOf(List<HeaderField> fields) {
    return fields.stream()
        .filter(f -> f.name().equalsIgnoreCase(CONTENT_TYPE))
        .map(HeaderField::value)
        .findFirst()
        .orElse("");
  }
}
