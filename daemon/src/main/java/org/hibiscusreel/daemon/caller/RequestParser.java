package org.hibiscusreel.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Set;
import org.hibiscusreel.coordination.request.ModelRequest;
import org.hibiscusreel.coordination.request.ServiceRequest;
import org.hibiscusreel.core.config.ClientAccount;
import org.hibiscusreel.core.config.Configuration;
import org.hibiscusreel.core.config.ModelSettings;
import org.hibiscusreel.core.config.PlainService;
import org.hibiscusreel.core.request.ProblemCode;
import org.hibiscusreel.core.request.RequestKey;

/** Validates the bodies and headers of callers and converts them into requests. */
final class RequestParser {

  /**
   * Fields that concern the delivery of the answer and not its content; they are not part of the
   * fingerprint.
   */
  private static final Set<String> DELIVERY_FIELDS = Set.of("stream", "stream_options");

  private static final String MAX_TOKENS = "max_tokens";
  private static final String MAX_COMPLETION_TOKENS = "max_completion_tokens";

  /**
   * Headers of a request.
   *
   * @param requestId the caller's request identifier
   * @param budget value of {@code X-Budget}, or empty
   * @param requestClass value of {@code X-Class}, or empty
   * @param deadlineMillis value of {@code X-Deadline-Ms}, 0 if absent
   * @param contentType content type of the body, or empty
   */
  record RequestHeaders(
      String requestId,
      String budget,
      String requestClass,
      long deadlineMillis,
      String contentType) {}

  /**
   * A validated call to a model.
   *
   * @param request the validated request
   * @param isStreamed whether the caller wants server-sent events
   */
  record ChatRequest(ModelRequest request, boolean isStreamed) {}

  private RequestParser() {}

  static ChatRequest parseChat(
      Configuration configuration, ClientAccount account, RequestHeaders headers, byte[] body)
      throws ProblemException {
    ObjectNode content = parseObject(body);
    final boolean isStreamed = parseStream(content);
    String modelName = requireText(content, "model");
    checkMessages(content);
    checkChoices(content);
    ModelSettings model = configuration.models().get(modelName);
    if (model == null) {
      throw new ProblemException(ProblemCode.UNKNOWN_MODEL, "no model \"" + modelName + "\"");
    }
    final int maxTokens = parseMaxTokens(configuration, model, content);
    if (!headers.requestClass().isEmpty()
        && !configuration.classes().containsKey(headers.requestClass())) {
      throw malformed("no request class \"" + headers.requestClass() + "\"");
    }
    content.remove(DELIVERY_FIELDS);
    byte[] normalized = CanonicalJson.write(content);
    final String fingerprint = CanonicalJson.sha256(normalized);
    content.remove(MAX_COMPLETION_TOKENS);
    content.put(MAX_TOKENS, maxTokens).put("stream", true);
    return new ChatRequest(
        new ModelRequest(
            new RequestKey(account.id(), headers.requestId()),
            modelName,
            chooseBudget(account, headers),
            headers.requestClass(),
            CanonicalJson.write(content),
            normalized.length,
            maxTokens,
            PromptPrefixHashes.of(content.get("messages")),
            fingerprint,
            headers.deadlineMillis()),
        isStreamed);
  }

  static ServiceRequest parseServiceCall(
      Configuration configuration,
      ClientAccount account,
      RequestHeaders headers,
      String service,
      String method,
      byte[] body)
      throws ProblemException {
    PlainService plainService = configuration.services().get(service);
    if (plainService == null || !plainService.methods().containsKey(method)) {
      throw new ProblemException(
          ProblemCode.UNKNOWN_SERVICE, "no method \"" + method + "\" of \"" + service + "\"");
    }
    byte[] normalized = body;
    if (isJson(headers.contentType()) && body.length > 0) {
      try {
        normalized = CanonicalJson.write(CanonicalJson.read(body));
      } catch (IOException e) {
        throw malformed("the body is not valid JSON");
      }
    }
    String content = CanonicalJson.sha256(normalized);
    return new ServiceRequest(
        new RequestKey(account.id(), headers.requestId()),
        service,
        method,
        chooseBudget(account, headers),
        headers.contentType(),
        body,
        CanonicalJson.sha256(service + "\n" + method + "\n" + content),
        headers.deadlineMillis());
  }

  private static boolean isJson(String contentType) {
    return contentType.startsWith("application/json");
  }

  private static ObjectNode parseObject(byte[] body) throws ProblemException {
    try {
      if (CanonicalJson.read(body) instanceof ObjectNode object) {
        return object;
      }
    } catch (IOException e) {
      throw malformed("the body is not valid JSON");
    }
    throw malformed("the body must be a JSON object");
  }

  private static boolean parseStream(ObjectNode content) throws ProblemException {
    JsonNode n = content.path("stream");
    if (!n.isMissingNode() && !n.isNull() && !n.isBoolean()) {
      throw malformed("stream must be true or false");
    }
    return n.asBoolean(false);
  }

  private static String requireText(ObjectNode content, String field) throws ProblemException {
    JsonNode n = content.path(field);
    if (!n.isTextual() || n.asText().isEmpty()) {
      throw malformed(field + " must be a text that is not empty");
    }
    return n.asText();
  }

  private static void checkMessages(ObjectNode content) throws ProblemException {
    JsonNode messages = content.path("messages");
    if (!messages.isArray() || messages.isEmpty()) {
      throw malformed("messages must be an array that is not empty");
    }
    for (JsonNode message : messages) {
      JsonNode messageContent = message.path("content");
      boolean hasContent =
          messageContent.isTextual()
              || messageContent.isArray()
              || message.hasNonNull("tool_calls");
      if (!message.path("role").isTextual() || !hasContent) {
        throw malformed("each message needs a role and a content");
      }
    }
  }

  private static void checkChoices(ObjectNode content) throws ProblemException {
    JsonNode n = content.path("n");
    if (!n.isMissingNode() && !n.isNull() && !(n.isInt() && n.intValue() == 1)) {
      throw malformed("n must be 1");
    }
  }

  private static int parseMaxTokens(
      Configuration configuration, ModelSettings model, ObjectNode content)
      throws ProblemException {
    int limit = 0;
    for (String field : new String[] {MAX_COMPLETION_TOKENS, MAX_TOKENS}) {
      JsonNode n = content.path(field);
      if (n.isMissingNode() || n.isNull()) {
        continue;
      }
      if (!n.isInt() || n.intValue() < 1 || n.intValue() > model.maxTokens()) {
        throw malformed(field + " must be a whole number from 1 to " + model.maxTokens());
      }
      limit = limit == 0 ? n.intValue() : Math.min(limit, n.intValue());
    }
    return limit > 0 ? limit : Math.min(configuration.serving().maxTokens(), model.maxTokens());
  }

  private static String chooseBudget(ClientAccount account, RequestHeaders headers)
      throws ProblemException {
    if (headers.budget().isEmpty()) {
      if (account.budgets().isEmpty()) {
        throw new ProblemException(ProblemCode.UNKNOWN_BUDGET, "the client account has no budget");
      }
      return account.budgets().get(0);
    }
    if (!account.budgets().contains(headers.budget())) {
      throw new ProblemException(
          ProblemCode.UNKNOWN_BUDGET, "no budget \"" + headers.budget() + "\"");
    }
    return headers.budget();
  }

  private static ProblemException malformed(String detail) {
    return new ProblemException(ProblemCode.MALFORMED_REQUEST, detail);
  }
}
