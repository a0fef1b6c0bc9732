package org.hibiscusreel.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import org.hibiscusreel.coordination.request.AnswerEnd;

/**
 * Compares the text that is sent to a caller with the end mark of the answer, so that no partial or
 * mixed answer leaves as a whole one.
 */
final class AnswerCheck {

  private final MessageDigest digest = CanonicalJson.newSha256();
  private long length;

  void add(String text) {
    byte[] b = text.getBytes(StandardCharsets.UTF_8);
    digest.update(b);
    length += b.length;
  }

  /** Tells whether all text so far is the whole answer. Called once, at the end. */
  boolean isWhole(AnswerEnd end) {
    return length == end.lengthBytes()
        && HexFormat.of().formatHex(digest.digest()).equals(end.sha256());
  }
}
