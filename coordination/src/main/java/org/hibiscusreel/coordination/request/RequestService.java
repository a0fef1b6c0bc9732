package org.hibiscusreel.coordination.request;

import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.core.request.RequestKey;

/** Serves validated requests: admission, reservation, routing, dispatch, retry and billing. */
public interface RequestService {

  /**
   * Serves a call to a model.
   *
   * @param request the call
   * @param listener receives the answer
   * @return the call in progress
   */
  ModelCall submit(ModelRequest request, AnswerListener listener);

  /**
   * Serves a call to a plain service.
   *
   * @param request the call
   * @return the outcome; never exceptional
   */
  CompletableFuture<ServiceOutcome> submit(ServiceRequest request);

  /**
   * Tells the outcome of an earlier request.
   *
   * @param key the request
   * @return what is known; never exceptional
   */
  CompletableFuture<RequestStatus> lookUp(RequestKey key);

  /**
   * Returns the number of requests in progress.
   *
   * @return 0 or more
   */
  int inProgress();

  /** Refuses new requests from now on; those in progress finish. */
  void stopAccepting();
}
