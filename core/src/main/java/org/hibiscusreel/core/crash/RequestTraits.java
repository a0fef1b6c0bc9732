package org.hibiscusreel.core.crash;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Traits by which a request that crashes upstreams can be recognized. */
public final class RequestTraits {

  private static final String ANSWER_PREFIX = "answer:";
  private static final int MAX_ID_LENGTH = 24;
  private static final int DIGEST_BYTES = 8;

  private RequestTraits() {}

  /**
   * Returns the traits of a request. A part of a prompt counts both for itself and together with
   * its account, so that an account whose requests crash upstreams does not get the parts blocked
   * that it shares with others.
   *
   * @param account client account, empty if there is none
   * @param target method, host, path and query
   * @param body body
   * @param sharedParts identifiers of the parts of the prompt that others may share
   * @return the traits
   */
  public static Set<String> of(
      String account, String target, byte[] body, List<String> sharedParts) {
    MessageDigest digest = newDigest();
    update(digest, account);
    update(digest, target);
    digest.update(body);
    Set<String> traits = new HashSet<>();
    traits.add("request:" + toHex(digest));
    for (String id : sharedParts) {
      String part = "part:" + shorten(id);
      traits.add(part);
      traits.add(part + "@" + shorten(account));
    }
    return traits;
  }

  /**
   * Returns the traits by which a request is recognized that crashes upstreams after they have
   * begun to answer it. They differ from the traits of the request, since an answer that has begun
   * proves that the start of the request is harmless, and only a complete one that the whole of it
   * is.
   *
   * @param traits traits of the request
   * @return the traits
   */
  public static Set<String> ofAnswer(Set<String> traits) {
    return traits.stream().map(t -> ANSWER_PREFIX + t).collect(Collectors.toUnmodifiableSet());
  }

  private static String shorten(String id) {
    if (id.length() <= MAX_ID_LENGTH) {
      return id;
    }
    MessageDigest digest = newDigest();
    update(digest, id);
    return "#" + toHex(digest);
  }

  private static void update(MessageDigest digest, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    digest.update((bytes.length + ":").getBytes(StandardCharsets.UTF_8));
    digest.update(bytes);
  }

  private static String toHex(MessageDigest digest) {
    return HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES);
  }

  private static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
