package org.hibiscusreel.bench.standin;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;

/** One outside system that a stand-in process plays. */
interface Role {

  /** Returns whether this role serves the path. */
  boolean serves(String path);

  /** Returns whether the request writes, so that its response can be lost after the effect. */
  boolean isWrite(HttpRequest request);

  /**
   * Serves a request whose body is loaded.
   *
   * @param request the request
   * @param path the decoded path
   * @param body the body, empty if absent
   * @return the response
   */
  Promise<HttpResponse> serve(HttpRequest request, String path, byte[] body);

  /** Returns what the role saw, to be written as JSON. */
  Object observed();

  /** Loses everything that a crashed process loses. */
  default void crash() {}
}
