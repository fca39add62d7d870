package org.gradeledge.standin.fleet;

import java.util.Locale;
import java.util.Map;

/**
 * A request as an engine got it.
 *
 * @param method its method
 * @param path its path
 * @param headers its headers, names in lower case
 * @param body its body
 */
public record ReceivedRequest(
    String method, String path, Map<String, String> headers, String body) {

  /** Returns a header, empty where there is none. */
  public String header(String name) {
    return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
  }
}
