package org.hibiscusreel.daemon.caller;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.hibiscusreel.coordination.request.AnswerEnd;
import org.hibiscusreel.daemon.platform.JsonBodies;

/** Writes the JSON documents and events of the response to one chat-completions request. */
final class ChatResponseWriter {

  private static final String DONE_EVENT = "data: [DONE]\n\n";
  private static final String CHUNK_SUFFIX = "\"},\"finish_reason\":null}]}\n\n";

  private final String requestId;
  private final String model;
  private final long createdSeconds;
  private final String chunkPrefix;

  /**
   * Creates the writer.
   *
   * @param requestId the caller's request identifier
   * @param model name of the model
   * @param createdSeconds wall-clock time in seconds since the epoch
   */
  ChatResponseWriter(String requestId, String model, long createdSeconds) {
    this.requestId = requestId;
    this.model = model;
    this.createdSeconds = createdSeconds;
    this.chunkPrefix = createChunkPrefix();
  }

  /** Returns the caller's request identifier. */
  String requestId() {
    return requestId;
  }

  /** Returns the document of a complete answer. */
  byte[] completeDocument(String text, AnswerEnd end) {
    ObjectNode document = newDocument("chat.completion");
    ObjectNode choice = document.putArray("choices").addObject().put("index", 0);
    choice.putObject("message").put("role", "assistant").put("content", text);
    choice.put("finish_reason", end.finishReason());
    putUsageAndDigest(document, end);
    return JsonBodies.write(document);
  }

  /** Returns the event of one chunk. */
  byte[] chunkEvent(String text) {
    // The chunks of an answer differ only in their text, so the rest is serialized once.
    StringBuilder event =
        new StringBuilder(chunkPrefix.length() + text.length() + CHUNK_SUFFIX.length());
    event.append(chunkPrefix);
    JsonStringEncoder.getInstance().quoteAsString(text, event);
    return event.append(CHUNK_SUFFIX).toString().getBytes(StandardCharsets.UTF_8);
  }

  private String createChunkPrefix() {
    String document = newDocument("chat.completion.chunk").toString();
    String open = document.substring(0, document.length() - 1);
    return "data: " + open + ",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"";
  }

  /** Returns the events of the last chunk and of the end of the stream. */
  byte[] finalEvents(AnswerEnd end) {
    ObjectNode document = newDocument("chat.completion.chunk");
    ObjectNode choice = document.putArray("choices").addObject().put("index", 0);
    choice.putObject("delta");
    choice.put("finish_reason", end.finishReason());
    putUsageAndDigest(document, end);
    byte[] chunk = event("", document);
    byte[] done = DONE_EVENT.getBytes(StandardCharsets.UTF_8);
    byte[] all = new byte[chunk.length + done.length];
    System.arraycopy(chunk, 0, all, 0, chunk.length);
    System.arraycopy(done, 0, all, chunk.length, done.length);
    return all;
  }

  /** Returns the event that ends a failed stream. */
  static byte[] error(ObjectNode problem) {
    return event("event: error\n", problem);
  }

  private ObjectNode newDocument(String object) {
    return JsonBodies.MAPPER
        .createObjectNode()
        .put("id", requestId)
        .put("object", object)
        .put("created", createdSeconds)
        .put("model", model);
  }

  private static void putUsageAndDigest(ObjectNode document, AnswerEnd end) {
    document
        .putObject("usage")
        .put("prompt_tokens", end.promptTokens())
        .put("completion_tokens", end.completionTokens())
        .put("total_tokens", end.promptTokens() + end.completionTokens());
    document.putObject("hibiscusreel").put("length", end.lengthBytes()).put("sha256", end.sha256());
  }

  private static byte[] event(String prefix, ObjectNode document) {
    return (prefix + "data: " + document + "\n\n").getBytes(StandardCharsets.UTF_8);
  }
}
