package org.hibiscusreel.daemon.forward;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hibiscusreel.core.crash.Block;
import org.hibiscusreel.core.crash.Clearance;
import org.hibiscusreel.core.crash.CrashDetector.Sighting;
import org.hibiscusreel.core.crash.CrashReport;
import org.hibiscusreel.core.forward.AttemptProgress;
import org.hibiscusreel.daemon.platform.JsonBodies;

/**
 * JSON form of crash reports: {@code reply_to}, {@code sightings} as arrays of upstream, progress
 * ({@code true} if just started, {@code "answering"}, or {@code false}), age and traits, {@code
 * blocks} as objects of traits and epochs, and {@code clearances} as arrays of trait, epoch and
 * age.
 */
final class CrashReportFormat {

  private static final String REPLY_TO = "reply_to";
  private static final String SIGHTINGS = "sightings";
  private static final String BLOCKS = "blocks";
  private static final String CLEARANCES = "clearances";

  /** Daemons of earlier releases, which expect a boolean, read this text as {@code false}. */
  private static final String ANSWERING = "answering";

  /** Largest age in a report, 31 years; the difference to a time does not overflow. */
  private static final long MAX_AGE_MILLIS = 1_000_000_000_000L;

  private static final int SIGHTING_HEADER_FIELDS = 3;
  private static final int CLEARANCE_FIELDS = 3;

  private CrashReportFormat() {}

  static byte[] write(CrashReport report) {
    ObjectNode root = JsonBodies.MAPPER.createObjectNode();
    root.put(REPLY_TO, report.replyTo());
    ArrayNode sightings = root.putArray(SIGHTINGS);
    for (Sighting s : report.sightings()) {
      ArrayNode fields = sightings.addArray().add(s.upstream());
      if (s.progress() == AttemptProgress.ANSWERING) {
        fields.add(ANSWERING);
      } else {
        fields.add(s.progress() == AttemptProgress.STARTED);
      }
      fields.add(s.atMillis());
      s.traits().forEach(fields::add);
    }
    ArrayNode blocks = root.putArray(BLOCKS);
    for (Block b : report.blocks()) {
      ObjectNode epochs = blocks.addObject();
      b.epochs().forEach(epochs::put);
    }
    ArrayNode clearances = root.putArray(CLEARANCES);
    for (Clearance c : report.clearances()) {
      clearances.addArray().add(c.trait()).add(c.epoch()).add(c.atMillis());
    }
    return JsonBodies.write(root);
  }

  static CrashReport read(JsonNode root) throws IOException {
    List<Sighting> sightings = new ArrayList<>();
    for (JsonNode s : root.path(SIGHTINGS)) {
      requireFields(s, SIGHTING_HEADER_FIELDS);
      Set<String> traits = new HashSet<>();
      for (int i = SIGHTING_HEADER_FIELDS; i < s.size(); i++) {
        traits.add(JsonBodies.text(s.get(i)));
      }
      sightings.add(
          new Sighting(traits, progress(s.get(1)), JsonBodies.text(s.get(0)), age(s.get(2))));
    }
    List<Block> blocks = new ArrayList<>();
    for (JsonNode b : root.path(BLOCKS)) {
      Map<String, Long> epochs = new HashMap<>();
      for (Map.Entry<String, JsonNode> e : b.properties()) {
        epochs.put(e.getKey(), JsonBodies.wholeNumber(e.getValue(), Long.MAX_VALUE));
      }
      if (epochs.isEmpty()) {
        throw new IOException("a block without traits");
      }
      blocks.add(new Block(epochs));
    }
    List<Clearance> clearances = new ArrayList<>();
    for (JsonNode c : root.path(CLEARANCES)) {
      requireFields(c, CLEARANCE_FIELDS);
      clearances.add(
          new Clearance(
              JsonBodies.text(c.get(0)),
              JsonBodies.wholeNumber(c.get(1), Long.MAX_VALUE),
              age(c.get(2))));
    }
    return new CrashReport(root.path(REPLY_TO).asText(), sightings, blocks, clearances);
  }

  private static AttemptProgress progress(JsonNode field) {
    if (ANSWERING.equals(field.asText())) {
      return AttemptProgress.ANSWERING;
    }
    return field.asBoolean() ? AttemptProgress.STARTED : AttemptProgress.WAITING;
  }

  private static long age(JsonNode field) throws IOException {
    boolean isNegative = field.isIntegralNumber() && field.doubleValue() < 0;
    return isNegative ? 0 : JsonBodies.wholeNumber(field, MAX_AGE_MILLIS);
  }

  private static void requireFields(JsonNode fields, int count) throws IOException {
    if (fields.size() < count) {
      throw new IOException("an entry of a crash report is incomplete");
    }
  }
}
