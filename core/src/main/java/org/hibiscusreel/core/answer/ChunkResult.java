package org.hibiscusreel.core.answer;

import java.util.List;

/** Result of processing a chunk. */
public sealed interface ChunkResult {
  /**
   * The chunk was accepted; it may have made buffered chunks deliverable.
   *
   * @param texts texts to deliver now, in order; empty if an earlier chunk is missing
   */
  record Accepted(List<String> texts) implements ChunkResult {}

  /** The chunk had already been accepted. */
  record Duplicate() implements ChunkResult {}

  /** The chunk belongs to another attempt. */
  record Foreign() implements ChunkResult {}

  /** The chunk is too far ahead to be buffered; it must be fetched again. */
  record TooFarAhead() implements ChunkResult {}
}
