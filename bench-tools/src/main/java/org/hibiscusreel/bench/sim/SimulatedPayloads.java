package org.hibiscusreel.bench.sim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Bodies of requests and the answers of simulated engines, which depend only on the request. */
public final class SimulatedPayloads {

  /** Text in a prompt that crashes the engine that runs the request. */
  public static final String CRASH_MARKER = "crash-the-engine";

  private static final Pattern PIECE_COUNT = Pattern.compile("\"pieces\":(\\d+)");
  private static final int VOCABULARY_SIZE = 997;

  private SimulatedPayloads() {}

  /**
   * Returns the body of a request.
   *
   * @param prompt the prompt, without quotes
   * @param pieces number of pieces in the answer
   * @return JSON text
   */
  public static byte[] body(String prompt, int pieces) {
    return ("{\"prompt\":\"" + prompt + "\",\"pieces\":" + pieces + ",\"stream\":true}")
        .getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Returns the pieces of the answer to a request.
   *
   * @param body body of the request
   * @return the pieces in order
   * @throws IllegalArgumentException if the body has no number of pieces
   */
  public static List<String> pieces(byte[] body) {
    String text = new String(body, StandardCharsets.UTF_8);
    Matcher m = PIECE_COUNT.matcher(text);
    if (!m.find()) {
      throw new IllegalArgumentException("the body names no number of pieces");
    }
    int n = Integer.parseInt(m.group(1));
    int h = text.hashCode();
    List<String> out = new ArrayList<>(n);
    for (int i = 0; i < n; i++) {
      h = h * 31 + i;
      out.add("w" + Math.floorMod(h, VOCABULARY_SIZE) + " ");
    }
    return out;
  }

  /**
   * Returns the complete answer to a request.
   *
   * @param body body of the request
   * @return the joined pieces
   */
  public static String answer(byte[] body) {
    return String.join("", pieces(body));
  }
}
