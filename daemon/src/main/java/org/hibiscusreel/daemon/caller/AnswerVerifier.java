package org.hibiscusreel.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import org.hibiscusreel.coordination.request.AnswerEnd;

/**
 * Verifies the text that is sent to a caller against the length and digest of the complete answer,
 * so that a partial or mixed answer is never reported as complete.
 */
final class AnswerVerifier {

  private final MessageDigest digest = CanonicalJson.newSha256();
  private long length;

  void add(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    digest.update(bytes);
    length += bytes.length;
  }

  /**
   * Tells whether the text added so far is the complete answer. Must be called only once, because
   * it resets the digest.
   */
  boolean isComplete(AnswerEnd end) {
    return length == end.lengthBytes()
        && HexFormat.of().formatHex(digest.digest()).equals(end.sha256());
  }
}
