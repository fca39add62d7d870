package org.gradeledge.standin.fleet;

import java.util.Locale;
import java.util.Map;

/**
 * Request received by an engine.
 *
 * @param method HTTP method
 * @param path request path
 * @param headers header values by lower-case name
 * @param body request body
 */
public record ReceivedRequest(
    String method, String path, Map<String, String> headers, String body) {

  /** Returns the value of a header, or an empty string. */
  public String header(String name) {
    return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
  }
}
