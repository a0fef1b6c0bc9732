package org.hibiscusreel.bench.demo;

import org.hibiscusreel.bench.check.Attempt;
import org.hibiscusreel.bench.check.Outcome;
import org.hibiscusreel.core.request.RequestKey;

/**
 * One attempt to send a request of the load.
 *
 * @param call the request
 * @param host host whose daemon it was sent to
 * @param submittedAtMillis wall-clock time of the submission in milliseconds since the epoch
 * @param outcome classification of the response
 */
record DemoAttempt(DemoCall call, String host, long submittedAtMillis, Outcome outcome) {

  /** Converts to the form of the checker, with the incarnation that served the attempt. */
  Attempt toAttempt(String server) {
    return new Attempt(
        new RequestKey(call.account(), call.id()),
        server,
        call.expected(),
        call.isService(),
        call.kind() != DemoCall.Kind.SIGN,
        1,
        submittedAtMillis,
        submittedAtMillis,
        submittedAtMillis,
        outcome);
  }
}
