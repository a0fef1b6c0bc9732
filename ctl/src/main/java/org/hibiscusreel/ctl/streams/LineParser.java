package org.hibiscusreel.ctl.streams;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hibiscusreel.core.forward.StreamOrigin;

/** Reads the fields of the log lines of daemons that tell of the origins of streams. */
final class LineParser {

  /** Fields of {@code stream_origin} that tell what a conclusion was worth. */
  static final List<String> ORIGIN_EVIDENCE =
      List.of("followed_ms", "upstreams_age_ms", "reporting", "daemons", "configuration");

  /** Fields of {@code request} that tell how old the knowledge of the daemon was. */
  static final List<String> REQUEST_EVIDENCE = List.of("upstreams_age_ms", "version");

  /** Field of {@code stream_origin} with the service at which the stream began. */
  static final String ORIGIN_SERVICE = "origin_service";

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Pattern ATTEMPT = Pattern.compile("(.*?)@\\d+ (.*)", Pattern.DOTALL);
  private static final List<String> WITHOUT_EVENTS =
      List.of(
          "NOT_SENT",
          "NO_PATH",
          "NOT_EXECUTED",
          "status ",
          "not needed",
          "the earlier upstream went on");
  private static final String ANSWERING = "ANSWERING";
  private static final List<String> NO_ORIGIN = List.of("Unknown", "Unavailable");

  private LineParser() {}

  /** Returns whether a line is one of an event, without reading all of it. */
  static boolean isOf(String line, String event) {
    return line.contains("\"event\":\"" + event + "\"");
  }

  /** Returns whether the line of a request is one of a take-up. */
  static boolean isTakeUp(String line) {
    return line.contains("\"resumes\":");
  }

  /** Returns the fields of a line, or empty if it is not JSON. */
  static Optional<JsonNode> parse(String line) {
    try {
      return Optional.of(MAPPER.readTree(line)).filter(JsonNode::isObject);
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }

  static RequestLine request(JsonNode line) {
    return new RequestLine(
        line.path("at_ms").asLong(),
        text(line, "id"),
        text(line, "incarnation"),
        text(line, "resumes"),
        text(line, "service"),
        text(line, "software"),
        upstreams(line),
        line.path("events").asLong(),
        text(line, "outcome"),
        evidence(line, REQUEST_EVIDENCE));
  }

  static OriginLine origin(JsonNode line) {
    String outcome = text(line, "outcome");
    // Earlier releases wrote the service of the request alone.
    String service = text(line, line.has(ORIGIN_SERVICE) ? ORIGIN_SERVICE : "service");
    Optional<StreamOrigin> origin =
        NO_ORIGIN.contains(outcome)
            ? Optional.empty()
            : Optional.of(new StreamOrigin(service, outcome));
    return new OriginLine(
        line.path("at_ms").asLong(),
        text(line, "request"),
        text(line, "incarnation"),
        text(line, "source"),
        origin,
        outcome,
        evidence(line, ORIGIN_EVIDENCE));
  }

  static StreamOrigin upstreamOrigin(JsonNode line) {
    return new StreamOrigin(text(line, "service"), text(line, "software"));
  }

  static String text(JsonNode line, String field) {
    return line.path(field).asText("");
  }

  private static List<String> upstreams(JsonNode line) {
    JsonNode attempts = line.path("attempts");
    JsonNode progress = line.path("attempt_progress");
    List<String> possible = new ArrayList<>();
    List<String> answering = new ArrayList<>();
    for (int i = 0; i < attempts.size(); i++) {
      Matcher m = ATTEMPT.matcher(attempts.get(i).asText());
      if (m.matches() && WITHOUT_EVENTS.stream().noneMatch(m.group(2)::startsWith)) {
        possible.add(m.group(1));
        if (progress.path(i).asText().equals(ANSWERING)) {
          answering.add(m.group(1));
        }
      }
    }
    return answering.isEmpty() ? possible : answering;
  }

  private static String evidence(JsonNode line, List<String> fields) {
    StringBuilder text = new StringBuilder();
    for (String f : fields) {
      if (line.has(f)) {
        text.append(' ').append(f).append('=').append(line.get(f).asText());
      }
    }
    return text.toString();
  }
}
