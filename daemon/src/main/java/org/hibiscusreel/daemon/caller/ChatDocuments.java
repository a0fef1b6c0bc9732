package org.hibiscusreel.daemon.caller;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.hibiscusreel.coordination.request.AnswerEnd;
import org.hibiscusreel.daemon.platform.JsonBodies;

/** Writes the documents of one chat-completions answer. */
final class ChatDocuments {

  private static final String DONE = "data: [DONE]\n\n";
  private static final String PIECE_TAIL = "\"},\"finish_reason\":null}]}\n\n";

  private final String requestId;
  private final String model;
  private final long createdSeconds;
  private final String pieceHead;

  /**
   * Creates the writer.
   *
   * @param requestId the caller's request identifier
   * @param model name of the model
   * @param createdSeconds wall-clock time in seconds since the epoch
   */
  ChatDocuments(String requestId, String model, long createdSeconds) {
    this.requestId = requestId;
    this.model = model;
    this.createdSeconds = createdSeconds;
    this.pieceHead = toPieceHead();
  }

  /** Returns the caller's request identifier. */
  String requestId() {
    return requestId;
  }

  /** Returns the whole answer. */
  byte[] whole(String text, AnswerEnd end) {
    ObjectNode n = head("chat.completion");
    ObjectNode choice = n.putArray("choices").addObject().put("index", 0);
    choice.putObject("message").put("role", "assistant").put("content", text);
    choice.put("finish_reason", end.finishReason());
    putEnd(n, end);
    return JsonBodies.write(n);
  }

  /** Returns the event of a piece. */
  byte[] piece(String text) {
    // All pieces of an answer differ only in their text, so the rest is written once.
    StringBuilder b = new StringBuilder(pieceHead.length() + text.length() + PIECE_TAIL.length());
    b.append(pieceHead);
    JsonStringEncoder.getInstance().quoteAsString(text, b);
    return b.append(PIECE_TAIL).toString().getBytes(StandardCharsets.UTF_8);
  }

  private String toPieceHead() {
    String n = head("chat.completion.chunk").toString();
    String open = n.substring(0, n.length() - 1);
    return "data: " + open + ",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"";
  }

  /** Returns the last chunk and the end mark. */
  byte[] end(AnswerEnd end) {
    ObjectNode n = head("chat.completion.chunk");
    ObjectNode choice = n.putArray("choices").addObject().put("index", 0);
    choice.putObject("delta");
    choice.put("finish_reason", end.finishReason());
    putEnd(n, end);
    byte[] chunk = event("", n);
    byte[] done = DONE.getBytes(StandardCharsets.UTF_8);
    byte[] all = new byte[chunk.length + done.length];
    System.arraycopy(chunk, 0, all, 0, chunk.length);
    System.arraycopy(done, 0, all, chunk.length, done.length);
    return all;
  }

  /** Returns the event that ends a stream that failed. */
  static byte[] error(ObjectNode problem) {
    return event("event: error\n", problem);
  }

  private ObjectNode head(String object) {
    return JsonBodies.MAPPER
        .createObjectNode()
        .put("id", requestId)
        .put("object", object)
        .put("created", createdSeconds)
        .put("model", model);
  }

  private static void putEnd(ObjectNode n, AnswerEnd end) {
    n.putObject("usage")
        .put("prompt_tokens", end.promptTokens())
        .put("completion_tokens", end.completionTokens())
        .put("total_tokens", end.promptTokens() + end.completionTokens());
    n.putObject("hibiscusreel").put("length", end.lengthBytes()).put("sha256", end.sha256());
  }

  private static byte[] event(String prefix, ObjectNode n) {
    return (prefix + "data: " + n + "\n\n").getBytes(StandardCharsets.UTF_8);
  }
}
