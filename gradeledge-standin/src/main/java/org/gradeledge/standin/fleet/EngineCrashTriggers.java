package org.gradeledge.standin.fleet;

import java.util.Optional;
import java.util.stream.Stream;

/** Requests that crash an engine. Thread-safe. */
public final class EngineCrashTriggers {

  private volatile Optional<String> body = Optional.empty();
  private volatile Optional<String> part = Optional.empty();

  /** Makes the engine crash when it runs a request with the given body. */
  public void setBody(String crashingBody) {
    body = Optional.of(crashingBody);
  }

  /** Makes the engine crash when it begins to answer a request whose prompt has the given part. */
  public void setPart(String crashingPartId) {
    part = Optional.of(crashingPartId);
  }

  /** Returns whether running a request crashes the engine. */
  boolean matchesBody(ReceivedRequest request) {
    return body.filter(request.body()::equals).isPresent();
  }

  /** Returns whether beginning the answer to a request crashes the engine. */
  boolean matchesPart(ReceivedRequest request) {
    return part.filter(partId -> hasPart(request, partId)).isPresent();
  }

  private static boolean hasPart(ReceivedRequest request, String partId) {
    return Stream.of(request.header("X-Prompt-Prefix").split(","))
        .anyMatch(each -> each.startsWith(partId + ":"));
  }
}
