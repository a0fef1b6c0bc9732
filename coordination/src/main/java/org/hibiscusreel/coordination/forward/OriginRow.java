package org.hibiscusreel.coordination.forward;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.core.forward.StreamOrigin;

/**
 * Row in which a daemon records at which upstreams the streams of a few seconds have begun.
 *
 * @param atMillis time of the store at which the row was written, in milliseconds
 * @param versions services with the versions of their upstreams that the daemon has seen
 * @param streams streams by what began them
 * @param routes digests of the routes of the configurations by which the daemon has served lately;
 *     empty if an earlier release wrote the row
 */
record OriginRow(
    long atMillis, List<Versions> versions, List<Streams> streams, Optional<List<Long>> routes) {

  /** Versions of the software of the upstreams of a service. */
  record Versions(String service, List<String> software) {}

  /** Identifiers of the requests that brought the first events of streams. */
  record Streams(String service, String software, List<String> requests) {}

  /** Fields of each release. */
  private record Required(long atMillis, List<Versions> versions, List<Streams> streams) {}

  /** Fields that earlier releases did not write. */
  private record Added(List<Long> routes) {}

  /** All fields, as they are written. */
  private record Written(
      long atMillis, List<Versions> versions, List<Streams> streams, List<Long> routes) {}

  /**
   * Reads a row.
   *
   * @throws IOException if a field is malformed, or one that each release writes is missing
   */
  static OriginRow parse(String text) throws IOException {
    try {
      Written w = Json.readExact(text, Written.class);
      return new OriginRow(w.atMillis(), w.versions(), w.streams(), Optional.of(w.routes()));
    } catch (IOException e) {
      return parseEarlier(text);
    }
  }

  private static OriginRow parseEarlier(String text) throws IOException {
    Required r = Json.readExact(text, Required.class);
    Optional<List<Long>> routes;
    try {
      routes = Optional.ofNullable(Json.read(text, Added.class).routes());
    } catch (UncheckedIOException e) {
      throw new IOException("the digests are no numbers", e);
    }
    return new OriginRow(r.atMillis(), r.versions(), r.streams(), routes);
  }

  /** Returns all versions. */
  Set<StreamOrigin> origins() {
    Set<StreamOrigin> origins = new HashSet<>();
    versions.forEach(v -> v.software().forEach(s -> origins.add(new StreamOrigin(v.service(), s))));
    return origins;
  }

  /** Returns the text of the row. */
  String toText() {
    return Json.write(new Written(atMillis, versions, streams, routes.orElse(List.of())));
  }
}
