package org.hibiscusreel.core.answer;

import java.util.List;

/** What became of a chunk. */
public sealed interface ChunkResult {
  /**
   * The chunk was taken; it may have made held chunks deliverable.
   *
   * @param texts texts to deliver now, in order; empty if an earlier chunk is missing
   */
  record Accepted(List<String> texts) implements ChunkResult {}

  /** The chunk was taken before. */
  record Duplicate() implements ChunkResult {}

  /** The chunk belongs to another attempt. */
  record Foreign() implements ChunkResult {}

  /** The chunk is too far ahead to be held; it must be fetched again. */
  record TooFarAhead() implements ChunkResult {}
}
