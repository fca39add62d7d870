package org.gradeledge.settings;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * A port that a box listens on.
 *
 * @param host IP address to bind
 * @param port port to bind, 0 for any free port
 * @param tls certificate and key; plain text where absent
 * @param allowPlain whether plain text is allowed on interfaces other than loopback
 * @since 0.1
 */
public record ListenSettings(
    String host, int port, Optional<TlsSettings> tls, Optional<Boolean> allowPlain) {

  /** Returns the address to bind. */
  public InetSocketAddress address() {
    return new InetSocketAddress(host, port);
  }

  /** Returns whether plain text is exposed on a non-loopback interface without permission. */
  public boolean exposesPlainText() {
    boolean loopback = new InetSocketAddress(host, 0).getAddress().isLoopbackAddress();
    return tls.isEmpty() && !loopback && !allowPlain.orElse(false);
  }
}
