package org.hibiscusreel.bench.demo;

import org.hibiscusreel.bench.check.Attempt;
import org.hibiscusreel.bench.check.Outcome;
import org.hibiscusreel.core.request.RequestKey;

/**
 * One attempt of the load.
 *
 * @param call the request
 * @param host host whose daemon it was sent to
 * @param submittedAt wall-clock time in milliseconds since the epoch
 * @param outcome what came back
 */
record DemoAttempt(DemoCall call, String host, long submittedAt, Outcome outcome) {

  Attempt toAttempt(String server) {
    return new Attempt(
        new RequestKey(call.account(), call.id()),
        server,
        call.expected(),
        call.isService(),
        call.kind() != DemoCall.Kind.SIGN,
        1,
        submittedAt,
        submittedAt,
        submittedAt,
        outcome);
  }
}
