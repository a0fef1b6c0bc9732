package org.hibiscusreel.daemon.forward;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.hibiscusreel.core.forward.StreamOrigin;
import org.hibiscusreel.core.forward.StreamReport;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.daemon.platform.JsonBodies;

/**
 * JSON form of reports of streams: {@code streams} as arrays of service, version and requests, and
 * {@code upstreams} as arrays of identifier, service, address, failure domain, slots, version and
 * start. {@code holders} is an empty array, since daemons of earlier releases take any object with
 * that field for copies of rows and any other object for a crash report.
 */
final class StreamReportFormat {

  private static final String STREAMS = "streams";
  private static final String UPSTREAMS = "upstreams";
  private static final int STREAM_HEADER_FIELDS = 2;
  private static final int UPSTREAM_FIELDS = 7;
  private static final int MAX_SLOTS = 1_000_000;

  private StreamReportFormat() {}

  static boolean isReport(JsonNode root) {
    return root.has(STREAMS);
  }

  static byte[] write(StreamReport report) {
    ObjectNode root = JsonBodies.MAPPER.createObjectNode();
    root.putArray(UdpLoadTransport.HOLDERS);
    ArrayNode streams = root.putArray(STREAMS);
    for (StreamReport.Streams s : report.streams()) {
      ArrayNode fields = streams.addArray();
      fields.add(s.origin().service()).add(s.origin().softwareVersion());
      s.requests().forEach(fields::add);
    }
    ArrayNode upstreams = root.putArray(UPSTREAMS);
    for (UpstreamEntry u : report.upstreams()) {
      ArrayNode fields = upstreams.addArray();
      fields.add(u.id()).add(u.service()).add(u.address()).add(u.failureDomain()).add(u.slots());
      fields.add(u.softwareVersion()).add(u.startedAtMillis());
    }
    return JsonBodies.write(root);
  }

  static StreamReport read(JsonNode root) throws IOException {
    List<StreamReport.Streams> streams = new ArrayList<>();
    for (JsonNode s : root.path(STREAMS)) {
      requireFields(s, STREAM_HEADER_FIELDS);
      List<String> requests = new ArrayList<>();
      for (int i = STREAM_HEADER_FIELDS; i < s.size(); i++) {
        requests.add(JsonBodies.text(s.get(i)));
      }
      StreamOrigin origin = new StreamOrigin(JsonBodies.text(s.get(0)), JsonBodies.text(s.get(1)));
      streams.add(new StreamReport.Streams(origin, requests));
    }
    List<UpstreamEntry> upstreams = new ArrayList<>();
    for (JsonNode u : root.path(UPSTREAMS)) {
      requireFields(u, UPSTREAM_FIELDS);
      upstreams.add(
          new UpstreamEntry(
              JsonBodies.text(u.get(0)),
              JsonBodies.text(u.get(1)),
              JsonBodies.text(u.get(2)),
              JsonBodies.text(u.get(3)),
              false,
              (int) JsonBodies.wholeNumber(u.get(4), MAX_SLOTS),
              JsonBodies.text(u.get(5)),
              JsonBodies.wholeNumber(u.get(6), Long.MAX_VALUE)));
    }
    return new StreamReport(streams, upstreams);
  }

  private static void requireFields(JsonNode fields, int count) throws IOException {
    if (fields.size() < count) {
      throw new IOException("an entry of a report of streams is incomplete");
    }
  }
}
